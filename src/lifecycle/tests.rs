//! Tests of `lifecycle`.

use super::*;
use proptest::prelude::*;

/// Guards the operators' ways: evacuate and activate go back and forth, a stop is for good.
#[test]
fn calls_and_signals_move_it() {
    let mut life = Lifecycle::new(0.0);
    assert!(life.is_serving());
    assert!(life.apply(1.0, Cause::Evacuate));
    assert_eq!((life.phase(), life.is_serving(), life.since_ms()), (Phase::Evacuating, false, 1.0));
    assert!(!life.apply(2.0, Cause::Evacuate), "a second evacuate changes nothing");
    assert!(life.apply(3.0, Cause::Activate));
    assert!(life.is_serving());
    assert!(!life.apply(3.5, Cause::Activate));
    assert!(!life.apply(3.6, Cause::Finished), "a process that serves does not stop by itself");
    assert!(life.apply(4.0, Cause::Terminate { successor: true }));
    assert_eq!(life.phase(), Phase::HandingOver);
    assert!(!life.apply(5.0, Cause::Activate), "a stop cannot be called off");
    assert!(!life.apply(5.0, Cause::Terminate { successor: false }), "a second signal changes nothing");
    assert!(life.apply(6.0, Cause::Finished));
    assert_eq!(life.phase(), Phase::Stopped);
    let mut alone = Lifecycle::new(0.0);
    alone.apply(0.0, Cause::Evacuate);
    alone.apply(1.0, Cause::Terminate { successor: false });
    assert_eq!(alone.phase(), Phase::Draining);
}

fn cause() -> impl Strategy<Value = Cause> {
    prop_oneof![
        Just(Cause::Evacuate),
        Just(Cause::Activate),
        any::<bool>().prop_map(|successor| Cause::Terminate { successor }),
        Just(Cause::Finished),
    ]
}

proptest! {
    /// Guards that whatever comes, a process that began to stop never says yes again, and only a stop ends.
    #[test]
    fn a_stop_is_for_good(causes in proptest::collection::vec(cause(), 0..40)) {
        let mut life = Lifecycle::new(0.0);
        let mut stopping = false;
        for (at, cause) in causes.into_iter().enumerate() {
            life.apply(at as f64, cause);
            if stopping {
                prop_assert!(life.is_stopping() && !life.is_serving());
            }
            stopping = life.is_stopping();
            prop_assert!(life.phase() != Phase::Stopped || stopping);
        }
    }
}
