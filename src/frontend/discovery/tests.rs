//! Tests for the reports of the watch about calls that cannot be sent.

use calloop::EventLoop;

use super::*;
use crate::frontend::Gateway;
use crate::net::Net;
use crate::routing::Settings;

/// An address to which connecting fails immediately.
const UNREACHABLE: ([u8; 4], u16) = ([127, 255, 255, 255], 9);

fn settings() -> Settings {
    Settings { must_subscribe: true, dispatchers: 7, ..Settings::default() }
}

fn discovery() -> (Sockets, Discovery, EventLoop<'static, Gateway>) {
    let events = EventLoop::try_new().unwrap();
    (Net::new(events.handle()), Discovery::new(UNREACHABLE.into(), None, 3, 1), events)
}

/// A call for the list that this process cannot send must not count as in flight.
///
/// After an outage, a dispatcher kept sending requests to a server for 2 s after the server's removal had to
/// be followed. The failure was reported before the start of the call, so a call counted as in flight that
/// was never sent. 2.5 s later it counted as a long poll accepted by discovery, and the list as watched.
/// Found by the soak with seed 771204 and logging of discovery: `call not made call_ms=0`, then `attempts by
/// the list allowed=true` 2.5 s later with no call in between, and `call not made call_ms=5999` for the next
/// call.
#[test]
fn a_call_that_cannot_be_sent_does_not_count_as_in_flight() {
    let (mut net, mut discovery, _events) = discovery();
    discovery.wants_immediate_answer = false;
    let update = discovery.call(&mut net, 1_000.0, &settings());
    assert!(matches!(update, Some(DiscoveryUpdate::Failed(CallFailure::Local))));
    assert_eq!(discovery.take_started_call(), None);
}

/// A watch falls silent, and the call that replaces it cannot be sent. The silence must be reported as such;
/// reported as another failure, the list would count as watched up to then.
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
