//! What the watch reports of calls that cannot be made.

use calloop::EventLoop;

use super::*;
use crate::frontend::Gateway;
use crate::net::Net;
use crate::routing::Settings;

/// An address to which no connection can be begun: the system refuses at once.
const UNREACHABLE: ([u8; 4], u16) = ([127, 255, 255, 255], 9);

fn settings() -> Settings {
    Settings { must_subscribe: true, dispatchers: 7, ..Settings::default() }
}

fn discovery() -> (Sockets, Discovery, EventLoop<'static, Gateway>) {
    let events = EventLoop::try_new().unwrap();
    (Net::new(events.handle()), Discovery::new(UNREACHABLE.into(), None, 3, 1), events)
}

/// A call for the list that this process cannot make.
///
/// What was seen: after an outage a dispatcher sent to a server for 2 s after its removal had to be followed. Why: the failure was
/// reported first and the begin of the call after it, so that a call counted as out that nobody had made; 2.5 s later it counted as
/// a long poll that discovery had accepted, and the list as watched. What showed it: the soak's seed 771204 with its discovery
/// logged: `call not made call_ms=0`, then `attempts by the list allowed=true` 2.5 s later with no call in between, and `call not
/// made call_ms=5999` at the next.
#[test]
fn a_call_that_cannot_be_sent_does_not_count_as_in_flight() {
    let (mut net, mut discovery, _events) = discovery();
    discovery.wants_immediate_answer = false;
    let update = discovery.call(&mut net, 1_000.0, &settings());
    assert!(matches!(update, Some(DiscoveryUpdate::Failed(CallFailure::Local))));
    assert_eq!(discovery.take_started_call(), None);
}

/// A watch falls silent, and the call that is to follow it cannot be made. Guards against a silence that is reported as another
/// failure: the list would count as watched until then.
#[test]
fn a_silent_watch_is_reported_before_the_next_call_fails_locally() {
    let (mut net, mut discovery, _events) = discovery();
    discovery.watch = Watch::Calling {
        started_at_ms: 0.0,
        deadline_ms: 6_000.0,
        is_connecting: false,
        is_long_poll: true,
        is_reused: false,
    };
    let first = discovery.tick(&mut net, 6_000.0, &settings());
    assert!(matches!(first, Some(DiscoveryUpdate::Retrying(CallFailure::Silent))));
    assert!(discovery.next_deadline() <= 6_000.0, "the next call is due at once");
    let second = discovery.tick(&mut net, 6_000.0, &settings());
    assert!(matches!(second, Some(DiscoveryUpdate::Failed(CallFailure::Local))));
    assert_eq!(discovery.take_started_call(), None);
}
