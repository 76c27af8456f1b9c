//! Client of the discovery service: watches the endpoint list for a frontend. It owns the connections to
//! discovery and the version of the list held. The router decides when to call again after a failure.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | off | the router asks for the list | calling |
//! | calling | an answer | pausing, then calling again |
//! | calling | a long poll gets no answer in time | pausing for no time, then calling on a new connection |
//! | calling | any other failure | off; with an agent, pausing |
//! | any | an answer to an earlier call, see `overdue` | pausing, then calling again |

mod call_timing;
mod overdue;
mod update;

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;

use super::Sockets;
use super::list_reader::{EndpointList, parse_list};
use crate::net::ConnId;
use crate::net::http;
use crate::routing::{CallFailure, Settings};
use crate::settings::Site;

pub use update::DiscoveryUpdate;

/// How long a connection may take to be established, in milliseconds. Nothing of the call has been sent until
/// then.
const CONNECT_TIMEOUT_MS: f64 = 2_500.0;
/// Time between a failed call to an agent and the next call, in milliseconds.
const AGENT_RETRY_INTERVAL_MS: f64 = 200.0;
/// If a reused connection is closed within this time after a call was sent on it, in milliseconds, the close
/// crossed the call: the service has not read the call, and it is sent again.
const CROSSED_CLOSE_MS: f64 = 500.0;
/// Maximum number of consecutive answers with an older version that are ignored; after that the service is
/// assumed to have restarted its version count.
const MAX_STALE_ANSWERS: u32 = 1;
/// Time between an answer and the next call of the watch, in milliseconds. A watch counts as broken if 200 ms
/// pass between the two.
const WATCH_INTERVAL_MS: f64 = 40.0;
/// Age in milliseconds after which a call may have lost its connection silently, and is replaced if the
/// router asks for another.
const MIN_CALL_AGE_MS: f64 = 1_000.0;

/// State of the watch.
enum Watch {
    Off,
    /// The process is stopping and sends no more calls.
    Stopped,
    Calling {
        started_at_ms: f64,
        /// When the call is given up, unless its connection is not established before.
        deadline_ms: f64,
        is_connecting: bool,
        /// Whether the call is a long poll. A long poll without an answer shows a broken watch, not that
        /// discovery has failed.
        is_long_poll: bool,
        /// Whether the call was sent on a connection that had answered before.
        is_reused: bool,
    },
    Pausing {
        deadline_ms: f64,
    },
}

/// The connection to discovery and the state of the watch.
pub struct Discovery {
    address: SocketAddr,
    /// The address in the configuration as last read. The environment may have set another one at the start.
    configured: Option<SocketAddr>,
    conn: Option<ConnId>,
    /// The connections of earlier calls that were not answered in time, oldest first.
    overdue: VecDeque<ConnId>,
    /// The version of the list held; `None` if the next call asks for the complete list.
    version: Option<u64>,
    /// Number of consecutive answers that were ignored because their version was older than the one held.
    stale_answers: u32,
    watch: Watch,
    /// Whether the next call asks for an immediate answer rather than waiting for changes: no call was
    /// answered since the start, or since the watch lost its connection silently.
    wants_immediate_answer: bool,
    /// How long the last call that was started may wait for changes, in milliseconds, until
    /// `take_started_call` reads it.
    started_wait_ms: Option<f64>,
    rng: fastrand::Rng,
}

impl Discovery {
    /// Creates a watch that has not started, for changes after `version`.
    pub fn new(address: SocketAddr, configured: Option<SocketAddr>, version: u64, seed: u64) -> Discovery {
        let rng = fastrand::Rng::with_seed(seed);
        Discovery {
            address,
            configured,
            conn: None,
            overdue: VecDeque::new(),
            version: Some(version),
            stale_answers: 0,
            watch: Watch::Off,
            wants_immediate_answer: true,
            started_wait_ms: None,
            rng,
        }
    }

    /// Starts the watch if an agent pushes lists. The router does not request calls to an agent: they cost
    /// nothing, and the list that the agent has counts as received whether or not a watch is open.
    pub fn start(&mut self, now_ms: f64, settings: &Settings) {
        if !settings.must_subscribe {
            self.watch = Watch::Pausing { deadline_ms: now_ms };
        }
    }

    /// Whether the connection belongs to this watch.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.conn == Some(conn) || self.overdue.contains(&conn)
    }

    /// Returns when `tick` must be called next, in milliseconds of the clock.
    pub fn next_deadline(&self) -> f64 {
        match self.watch {
            Watch::Off | Watch::Stopped => f64::INFINITY,
            Watch::Calling { started_at_ms, deadline_ms, is_connecting: true, .. } => {
                deadline_ms.min(started_at_ms + CONNECT_TIMEOUT_MS)
            }
            Watch::Calling { deadline_ms, .. } | Watch::Pausing { deadline_ms } => deadline_ms,
        }
    }

    /// Returns the version of the list held, if any.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns how long the last call that was started may wait for changes, in milliseconds; `None` if no
    /// call was started since this was last read.
    pub fn take_started_call(&mut self) -> Option<f64> {
        self.started_wait_ms.take()
    }

    /// Calls discovery, unless a call was just started. A call that is older than `MIN_CALL_AGE_MS` is
    /// replaced on a new connection, because the old connection may be dead without an error.
    pub fn call(&mut self, net: &mut Sockets, now_ms: f64, settings: &Settings) -> Option<DiscoveryUpdate> {
        if let Watch::Stopped = self.watch {
            return None;
        }
        if let Watch::Calling { started_at_ms, is_connecting, .. } = self.watch {
            // A replaced call still takes discovery's time; many of them would only lengthen its queue.
            if now_ms < started_at_ms + MIN_CALL_AGE_MS || settings.is_large_fleet() {
                return None;
            }
            if !is_connecting {
                self.keep_overdue(net);
            }
            self.close(net);
        }
        let is_immediate = self.wants_immediate_answer || self.version.is_none();
        let wait_ms = if is_immediate { 0.0 } else { call_timing::watch_wait_ms(settings, &mut self.rng) };
        self.start_call(net, now_ms, wait_ms, settings)
    }

    /// Starts a call for changes after the version held, which discovery may hold for `wait_ms`.
    fn start_call(
        &mut self,
        net: &mut Sockets,
        now_ms: f64,
        wait_ms: f64,
        settings: &Settings,
    ) -> Option<DiscoveryUpdate> {
        let is_long_poll = wait_ms > 0.0;
        let timeout_ms = call_timing::silence_timeout_ms(settings, is_long_poll);
        let is_fresh = |id: &ConnId| net.conn(*id).is_some_and(|conn| conn.is_reusable());
        let reusable = self.conn.filter(is_fresh);
        self.watch = Watch::Calling {
            started_at_ms: now_ms,
            deadline_ms: now_ms + wait_ms + timeout_ms,
            is_long_poll,
            is_reused: reusable.is_some(),
            is_connecting: reusable.is_none(),
        };
        let conn = if let Some(conn) = reusable {
            Ok(conn)
        } else {
            self.close(net);
            net.open(self.address)
        };
        let conn = match conn {
            Ok(conn) => conn,
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                return self.on_failed(net, now_ms, settings, CallFailure::Refused);
            }
            Err(_) => return self.on_failed(net, now_ms, settings, CallFailure::Local),
        };
        self.conn = Some(conn);
        // Set only now: a call that could not be sent must not count as in flight.
        self.started_wait_ms = Some(wait_ms);
        let target = match self.version {
            Some(version) => format!("/discovery/hosts?since={version}&timeout_ms={}", wait_ms as u64),
            None => "/discovery/hosts".to_string(),
        };
        let host = [("Host", self.address.to_string())];
        net.write(conn, &http::write_request("GET", &target, &host, None));
        None
    }

    /// Handles a connection that became readable or failed.
    pub fn on_ready(
        &mut self,
        net: &mut Sockets,
        id: ConnId,
        now_ms: f64,
        site: &Site,
    ) -> Option<DiscoveryUpdate> {
        if self.overdue.contains(&id) {
            return self.on_overdue_ready(net, id, now_ms, site);
        }
        let conn = self.conn.and_then(|id| net.conn(id))?;
        conn.pump();
        let ended = conn.eof || conn.broken;
        let (is_connecting, is_refused) = (conn.connecting, conn.refused);
        let has_partial_answer = !conn.rx.is_empty();
        // A partial answer must not be taken for a complete one: an answer cut off by a reset has not ended.
        let message = http::read_response(&mut conn.rx, conn.eof && !conn.broken);
        if let Watch::Calling { is_connecting: was_connecting, .. } = &mut self.watch {
            *was_connecting = is_connecting;
        }
        let Watch::Calling { started_at_ms, is_long_poll, is_reused, .. } = self.watch else {
            // No call is in flight.
            if ended || !matches!(message, Ok(None)) {
                self.close(net);
            }
            return None;
        };
        match message {
            Ok(None) if !ended => None,
            // The call crossed the close of a reused connection, which is not a failure of discovery.
            Ok(None) if is_reused && now_ms < started_at_ms + CROSSED_CLOSE_MS => {
                self.close(net);
                let wait_ms = if is_long_poll {
                    call_timing::watch_wait_ms(&site.settings, &mut self.rng)
                } else {
                    0.0
                };
                self.start_call(net, now_ms, wait_ms, &site.settings)
            }
            Ok(Some(message)) if message.status == 200 => {
                if ended || message.close {
                    self.close(net);
                }
                self.on_list(net, now_ms, site, &message.body)
            }
            Ok(Some(_)) => self.on_failed(net, now_ms, &site.settings, CallFailure::Rejected),
            // Discovery counts an answer as received once it has written it, even if not all of it arrived.
            Ok(None) if has_partial_answer => {
                self.on_failed(net, now_ms, &site.settings, CallFailure::Incomplete)
            }
            Err(_) => self.on_failed(net, now_ms, &site.settings, CallFailure::Incomplete),
            Ok(None) => {
                let failure = if is_refused { CallFailure::Refused } else { CallFailure::Broken };
                self.on_failed(net, now_ms, &site.settings, failure)
            }
        }
    }

    /// Handles a complete answer.
    fn on_list(
        &mut self,
        net: &mut Sockets,
        now_ms: f64,
        site: &Site,
        body: &[u8],
    ) -> Option<DiscoveryUpdate> {
        let list = match parse_list(body, site) {
            Ok(list) => list,
            Err(e) => {
                crate::say(format_args!("discovery sent an invalid list: {e}"));
                return self.on_failed(net, now_ms, &site.settings, CallFailure::Incomplete);
            }
        };
        if self.is_stale(list.version) {
            return self.on_failed(net, now_ms, &site.settings, CallFailure::Stale);
        }
        self.drop_overdue(net);
        Some(self.accept_list(now_ms, list))
    }

    /// Adopts the version of a list that is not older than the one held, and continues the watch from it.
    fn accept_list(&mut self, now_ms: f64, list: EndpointList) -> DiscoveryUpdate {
        self.version = Some(list.version);
        self.wants_immediate_answer = false;
        self.watch = Watch::Pausing { deadline_ms: now_ms + WATCH_INTERVAL_MS };
        DiscoveryUpdate::List { lines: list.lines, scope: list.scope }
    }

    /// Whether a version is older than the one held. Ignoring such an answer keeps a lagging replica of the
    /// service from undoing a drain. A service that repeatedly answers with older versions has restarted its
    /// count, and is asked for the complete list.
    fn is_stale(&mut self, version: u64) -> bool {
        let stale = self.version.is_some_and(|held| version < held);
        self.stale_answers = if stale { self.stale_answers + 1 } else { 0 };
        if self.stale_answers > MAX_STALE_ANSWERS {
            self.version = None;
        }
        stale
    }

    /// Whether a configuration names a different discovery service than the last one read.
    pub fn names_other_service(&self, configured: Option<SocketAddr>) -> bool {
        configured.is_some() && configured != self.configured
    }

    /// Switches to the discovery service in the configuration, if it differs from the last one read. The
    /// versions of the new service are unrelated to those of the old one, which soon ends all its watches; so
    /// the complete list is requested first.
    pub fn switch_service(
        &mut self,
        net: &mut Sockets,
        now_ms: f64,
        configured: Option<SocketAddr>,
        settings: &Settings,
    ) -> Option<DiscoveryUpdate> {
        let address = configured.filter(|_| self.names_other_service(configured))?;
        self.close(net);
        self.drop_overdue(net);
        let watch = Watch::Pausing { deadline_ms: now_ms };
        (self.address, self.configured, self.version, self.watch) = (address, configured, None, watch);
        self.stale_answers = 0;
        self.tick(net, now_ms, settings)
    }

    /// Ends the watch permanently; this process receives no further changes.
    pub fn stop(&mut self, net: &mut Sockets) {
        self.close(net);
        self.drop_overdue(net);
        self.watch = Watch::Stopped;
    }

    /// Whether the watch was ended permanently.
    pub fn is_stopped(&self) -> bool {
        matches!(self.watch, Watch::Stopped)
    }

    fn close(&mut self, net: &mut Sockets) {
        if let Some(conn) = self.conn.take() {
            net.close(conn);
        }
    }

    /// Handles a failed call. The router decides when to call again, except for an agent, which is called
    /// again after `AGENT_RETRY_INTERVAL_MS`.
    fn on_failed(
        &mut self,
        net: &mut Sockets,
        now_ms: f64,
        settings: &Settings,
        failure: CallFailure,
    ) -> Option<DiscoveryUpdate> {
        self.close(net);
        if !settings.must_subscribe {
            self.watch = Watch::Pausing { deadline_ms: now_ms + AGENT_RETRY_INTERVAL_MS };
            return Some(DiscoveryUpdate::Retrying(failure));
        }
        self.watch = Watch::Off;
        Some(DiscoveryUpdate::Failed(failure))
    }

    /// Runs all work that is due.
    pub fn tick(&mut self, net: &mut Sockets, now_ms: f64, settings: &Settings) -> Option<DiscoveryUpdate> {
        if now_ms < self.next_deadline() {
            return None;
        }
        match self.watch {
            Watch::Calling { is_connecting: true, .. } => {
                self.on_failed(net, now_ms, settings, CallFailure::Unreachable)
            }
            // A watch that lost its connection silently is reopened at once on a new connection; otherwise
            // the loss would go unnoticed until the router calls again. The watches of many dispatchers end
            // at different times, so this causes no burst of calls. The next call is a separate step, because
            // it may fail in a different way.
            Watch::Calling { is_long_poll: true, .. } => {
                self.keep_overdue(net);
                self.wants_immediate_answer = true;
                self.watch = Watch::Pausing { deadline_ms: now_ms };
                Some(DiscoveryUpdate::Retrying(CallFailure::Silent))
            }
            Watch::Calling { .. } => {
                self.keep_overdue(net);
                self.on_failed(net, now_ms, settings, CallFailure::Silent)
            }
            Watch::Pausing { .. } => self.call(net, now_ms, settings),
            Watch::Off | Watch::Stopped => None,
        }
    }
}

#[cfg(test)]
mod tests;
