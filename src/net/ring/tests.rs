//! Tests of `ring`.

use std::collections::VecDeque;

use proptest::prelude::*;

use super::*;

proptest! {
    /// Bytes that are pushed or committed are consumed in order, and the buffer never exceeds its limit.
    #[test]
    fn it_behaves_like_a_bounded_queue(steps in proptest::collection::vec((0usize..5000, 0usize..5000, any::<bool>()), 1..60)) {
        let (mut ring, mut model, mut next) = (Ring::new(10_000), VecDeque::new(), 0u8);
        for (add, drop, direct) in steps {
            if direct {
                let spare = ring.spare(add);
                for byte in spare.iter_mut() {
                    (*byte, next) = (next, next.wrapping_add(7));
                    model.push_back(*byte);
                }
                let count = spare.len();
                prop_assert!(count > 0 || add == 0 || ring.free_space() == 0);
                ring.commit(count);
            } else {
                let bytes: Vec<u8> = (0..add).map(|i| (i as u8).wrapping_mul(31)).collect();
                let fits = add <= 10_000 - model.len();
                prop_assert_eq!(ring.push(&bytes), fits);
                model.extend(bytes.iter().filter(|_| fits));
            }
            prop_assert_eq!(ring.len(), model.len());
            let front = ring.front().to_vec();
            prop_assert!(front.iter().eq(model.iter().take(front.len())));
            prop_assert!(!front.is_empty() || model.is_empty());
            let drop = drop.min(model.len());
            ring.consume(drop);
            model.drain(..drop);
            if drop % 3 == 0 {
                prop_assert!(ring.bytes().iter().eq(model.iter()));
            }
        }
    }
}
