//! Tests of `budget`.

use super::*;

/// Both ends of what the platform sets: clients may hold a third of the descriptors for requests.
#[test]
fn a_third_of_the_descriptors_can_hold_requests() {
    for (sockets, memory) in [(256, 32.0), (1024, 32.0), (256, 192.0), (1024, 192.0)] {
        let budget = Budget::from_limits(sockets, memory).unwrap();
        assert!(budget.jobs >= sockets / 3, "{budget:?}");
        assert!(budget.clients + budget.upstreams + RESERVED_DESCRIPTORS <= sockets, "{budget:?}");
        assert!(budget.bytes <= (memory as usize) << 18, "{budget:?}");
    }
}
