//! Tests of `lifecycle`.

use super::*;
use proptest::prelude::*;

/// Checks that evacuate and activate undo each other, and that a stop cannot be undone.
#[test]
fn console_calls_and_signals_change_the_phase() {
    let mut lifecycle = Lifecycle::new(0.0);
    assert!(lifecycle.is_serving());
    assert!(lifecycle.apply(1.0, Event::Evacuate));
    assert_eq!(
        (lifecycle.phase(), lifecycle.is_serving(), lifecycle.since_ms()),
        (Phase::Evacuating, false, 1.0)
    );
    assert!(!lifecycle.apply(2.0, Event::Evacuate), "a second evacuate changes nothing");
    assert!(lifecycle.apply(3.0, Event::Activate));
    assert!(lifecycle.is_serving());
    assert!(!lifecycle.apply(3.5, Event::Activate));
    assert!(!lifecycle.apply(3.6, Event::Finished), "a process that serves does not stop by itself");
    assert!(lifecycle.apply(4.0, Event::Terminate { successor: true }));
    assert_eq!(lifecycle.phase(), Phase::HandingOver);
    assert!(!lifecycle.apply(5.0, Event::Activate), "a stop cannot be cancelled");
    assert!(!lifecycle.apply(5.0, Event::Terminate { successor: false }), "a second signal changes nothing");
    assert!(lifecycle.apply(6.0, Event::Finished));
    assert_eq!(lifecycle.phase(), Phase::Stopped);
    let mut alone = Lifecycle::new(0.0);
    alone.apply(0.0, Event::Evacuate);
    alone.apply(1.0, Event::Terminate { successor: false });
    assert_eq!(alone.phase(), Phase::Draining);
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Evacuate),
        Just(Event::Activate),
        any::<bool>().prop_map(|successor| Event::Terminate { successor }),
        Just(Event::Finished),
    ]
}

proptest! {
    /// Checks that a process that began to stop never reports readiness again, whatever events follow, and
    /// that only a stopping process reaches `Stopped`.
    #[test]
    fn a_stop_cannot_be_undone(events in proptest::collection::vec(event(), 0..40)) {
        let mut lifecycle = Lifecycle::new(0.0);
        let mut stopping = false;
        for (at, event) in events.into_iter().enumerate() {
            lifecycle.apply(at as f64, event);
            if stopping {
                prop_assert!(lifecycle.is_stopping() && !lifecycle.is_serving());
            }
            stopping = lifecycle.is_stopping();
            prop_assert!(lifecycle.phase() != Phase::Stopped || stopping);
        }
    }
}
