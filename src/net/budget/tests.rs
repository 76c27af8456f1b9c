//! Tests of `budget`.

use super::*;

/// At both ends of the limits that the platform sets, a third of the descriptors is available for requests of
/// clients.
#[test]
fn a_third_of_the_descriptors_can_hold_requests() {
    for (max_descriptors, memory) in [(256, 32.0), (1024, 32.0), (256, 192.0), (1024, 192.0)] {
        let budget = Budget::from_limits(max_descriptors, memory).unwrap();
        assert!(budget.jobs >= max_descriptors / 3, "{budget:?}");
        assert!(budget.clients + budget.upstreams + RESERVED_DESCRIPTORS <= max_descriptors, "{budget:?}");
        assert!(budget.bytes <= (memory as usize) << 18, "{budget:?}");
    }
}
