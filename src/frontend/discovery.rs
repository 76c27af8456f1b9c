//! Discovery: a watch of the endpoint list, for any frontend that takes it from there. It owns the one connection to
//! discovery and the version of the list that is held; when to call after a failure is the router's decision.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | off | the router asks for the list | calling |
//! | calling | an answer | pausing, then calling again |
//! | calling | a long poll is silent past its time | pausing for no time, then calling on a new connection |
//! | calling | any other failure | off; with an agent, pausing |

mod call_timing;
mod update;

use std::io::ErrorKind;
use std::net::SocketAddr;

use super::Sockets;
use super::list_reader::parse_list;
use crate::net::ConnId;
use crate::net::http;
use crate::routing::{CallFailure, Settings};
use crate::settings::Site;

pub use update::DiscoveryUpdate;

/// How long a connection may take to come up, in milliseconds: until then nothing of the call was sent.
const CONNECT_TIMEOUT_MS: f64 = 2_500.0;
/// Time between a failed call to an agent and the next, in milliseconds.
const AGENT_RETRY_INTERVAL_MS: f64 = 200.0;
/// A call on a reused connection that ends this soon has crossed its closing, in milliseconds: it was not read, and is made
/// again.
const CROSSED_CLOSE_MS: f64 = 500.0;
/// Answers in a row of older versions that are passed over before the service is held to count anew.
const MAX_STALE_ANSWERS: u32 = 1;
/// Time between an answer and the next call of the watch, in milliseconds: a watch breaks after 200 ms.
const WATCH_INTERVAL_MS: f64 = 40.0;
/// A call that has been out for longer may have fallen silent, in milliseconds, and is given up where another is asked for.
const MIN_CALL_AGE_MS: f64 = 1_000.0;

/// The state of the watch.
enum Watch {
    Off,
    /// The process ends, and asks no more.
    Stopped,
    Calling {
        started_at_ms: f64,
        /// When it is given up, unless its connection does not come up before.
        deadline_ms: f64,
        is_connecting: bool,
        /// It may wait for news: its silence says that the watch is broken, not that discovery is.
        is_long_poll: bool,
        /// It went out on a connection that had answered before.
        is_reused: bool,
    },
    Pausing {
        deadline_ms: f64,
    },
}

/// The one connection to discovery.
pub struct Discovery {
    address: SocketAddr,
    /// The address in the file as last read. The environment may have named another one at the start.
    configured: Option<SocketAddr>,
    conn: Option<ConnId>,
    /// The version held; none where the next call asks for the whole list.
    version: Option<u64>,
    /// Answers in a row that told an older version than the one held, and were not taken.
    stale_answers: u32,
    watch: Watch,
    /// The next call is to be answered at once, whether or not there is news: nothing was answered since the start, or since
    /// the watch fell silent.
    asks_at_once: bool,
    /// How long the call may wait that was begun last, in milliseconds, until it is asked for.
    started_wait_ms: Option<f64>,
    rng: fastrand::Rng,
}

impl Discovery {
    /// A watch that has not begun, from a version on.
    pub fn new(address: SocketAddr, configured: Option<SocketAddr>, version: u64, seed: u64) -> Discovery {
        let rng = fastrand::Rng::with_seed(seed);
        Discovery {
            address,
            configured,
            conn: None,
            version: Some(version),
            stale_answers: 0,
            watch: Watch::Off,
            asks_at_once: true,
            started_wait_ms: None,
            rng,
        }
    }

    /// Begins the watch where lists are pushed: no call of the router does, since calls to an agent cost nothing and
    /// what it has counts as told whether or not a watch is open.
    pub fn begin(&mut self, now_ms: f64, settings: &Settings) {
        if !settings.must_subscribe {
            self.watch = Watch::Pausing { deadline_ms: now_ms };
        }
    }

    /// Whether a connection is its own.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.conn == Some(conn)
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> f64 {
        match self.watch {
            Watch::Off | Watch::Stopped => f64::INFINITY,
            Watch::Calling { started_at_ms, deadline_ms, is_connecting: true, .. } => {
                deadline_ms.min(started_at_ms + CONNECT_TIMEOUT_MS)
            }
            Watch::Calling { deadline_ms, .. } | Watch::Pausing { deadline_ms } => deadline_ms,
        }
    }

    /// The version of the list that is held, where one is.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// How long the call may wait for news that was begun since the last time that this was asked, in milliseconds.
    pub fn take_started_call(&mut self) -> Option<f64> {
        self.started_wait_ms.take()
    }

    /// Calls discovery, unless a call was begun just now. One that has waited for a while is begun anew, on a new
    /// connection: the old one may have fallen silent.
    pub fn call(&mut self, net: &mut Sockets, now_ms: f64, settings: &Settings) -> Option<DiscoveryUpdate> {
        if let Watch::Stopped = self.watch {
            return None;
        }
        if let Watch::Calling { started_at_ms, .. } = self.watch {
            // A call that is given up takes discovery's time all the same: many would only make the line longer.
            if now_ms < started_at_ms + MIN_CALL_AGE_MS || settings.is_large_fleet() {
                return None;
            }
            self.close(net);
        }
        let is_answered_at_once = self.asks_at_once || self.version.is_none();
        let wait_ms =
            if is_answered_at_once { 0.0 } else { call_timing::watch_wait_ms(settings, &mut self.rng) };
        self.start_call(net, now_ms, wait_ms, settings)
    }

    /// Asks for what is newer than the version held, and lets the call wait so long for it.
    fn start_call(
        &mut self,
        net: &mut Sockets,
        now_ms: f64,
        wait_ms: f64,
        settings: &Settings,
    ) -> Option<DiscoveryUpdate> {
        let is_long_poll = wait_ms > 0.0;
        let timeout_ms = call_timing::silence_timeout_ms(settings, is_long_poll);
        let fresh = |id: &ConnId| net.conn(*id).is_some_and(|conn| conn.is_reusable());
        let reusable = self.conn.filter(fresh);
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
        // Not before: a call that could not be made would count as one that is out.
        self.started_wait_ms = Some(wait_ms);
        let target = match self.version {
            Some(version) => format!("/discovery/hosts?since={version}&timeout_ms={}", wait_ms as u64),
            None => "/discovery/hosts".to_string(),
        };
        let host = [("Host", self.address.to_string())];
        net.write(conn, &http::write_request("GET", &target, &host, None));
        None
    }

    /// Its connection can be read, or broke.
    pub fn on_ready(&mut self, net: &mut Sockets, now_ms: f64, site: &Site) -> Option<DiscoveryUpdate> {
        let conn = self.conn.and_then(|id| net.conn(id))?;
        conn.pump();
        let ended = conn.eof || conn.broken;
        let (is_connecting, is_refused) = (conn.connecting, conn.refused);
        let has_begun_answer = !conn.rx.is_empty();
        // Guards against half an answer that is taken for a whole one: what a reset cuts off has not ended.
        let message = http::read_response(&mut conn.rx, conn.eof && !conn.broken);
        if let Watch::Calling { is_connecting: was_connecting, .. } = &mut self.watch {
            *was_connecting = is_connecting;
        }
        let Watch::Calling { started_at_ms, is_long_poll, is_reused, .. } = self.watch else {
            // Nothing was asked for.
            if ended || !matches!(message, Ok(None)) {
                self.close(net);
            }
            return None;
        };
        match message {
            Ok(None) if !ended => None,
            // Guards against a failure that is none: the call crossed the closing of a connection that was kept.
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
            Ok(Some(_)) => self.on_failed(net, now_ms, &site.settings, CallFailure::Broken),
            // What has been written counts as told, whether or not all of it came.
            Ok(None) if has_begun_answer => {
                self.on_failed(net, now_ms, &site.settings, CallFailure::Incomplete)
            }
            Err(_) => self.on_failed(net, now_ms, &site.settings, CallFailure::Incomplete),
            Ok(None) => {
                let failure = if is_refused { CallFailure::Refused } else { CallFailure::Broken };
                self.on_failed(net, now_ms, &site.settings, failure)
            }
        }
    }

    /// A complete answer has come.
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
                crate::say(format_args!("discovery's answer does not read: {e}"));
                return self.on_failed(net, now_ms, &site.settings, CallFailure::Incomplete);
            }
        };
        if self.is_stale(list.version) {
            return self.on_failed(net, now_ms, &site.settings, CallFailure::Stale);
        }
        self.version = Some(list.version);
        self.asks_at_once = false;
        self.watch = Watch::Pausing { deadline_ms: now_ms + WATCH_INTERVAL_MS };
        Some(DiscoveryUpdate::List { lines: list.lines, scope: list.scope })
    }

    /// Whether a version is older than the one held. Guards against a drain that is forgotten again as a late copy of
    /// the service answers. One that tells older versions again and again has begun to count anew: it is asked for the
    /// whole list.
    fn is_stale(&mut self, version: u64) -> bool {
        let stale = self.version.is_some_and(|held| version < held);
        self.stale_answers = if stale { self.stale_answers + 1 } else { 0 };
        if self.stale_answers > MAX_STALE_ANSWERS {
            self.version = None;
        }
        stale
    }

    /// Whether a configuration names another discovery service than before.
    pub fn is_other_service(&self, configured: Option<SocketAddr>) -> bool {
        configured.is_some() && configured != self.configured
    }

    /// Goes over to the discovery service that the configuration names, if it names another one than before.
    /// Its versions need not go on from those of the old one, which soon ends all watches: the whole list is
    /// asked for first.
    pub fn follow(
        &mut self,
        net: &mut Sockets,
        now_ms: f64,
        configured: Option<SocketAddr>,
        settings: &Settings,
    ) -> Option<DiscoveryUpdate> {
        let address = configured.filter(|_| self.is_other_service(configured))?;
        self.close(net);
        let watch = Watch::Pausing { deadline_ms: now_ms };
        (self.address, self.configured, self.version, self.watch) = (address, configured, None, watch);
        self.stale_answers = 0;
        self.tick(net, now_ms, settings)
    }

    /// Ends the watch for good: nothing new is told to this process from now on.
    pub fn stop(&mut self, net: &mut Sockets) {
        self.close(net);
        self.watch = Watch::Stopped;
    }

    /// Whether the watch was ended for good.
    pub fn is_stopped(&self) -> bool {
        matches!(self.watch, Watch::Stopped)
    }

    fn close(&mut self, net: &mut Sockets) {
        if let Some(conn) = self.conn.take() {
            net.close(conn);
        }
    }

    /// The router says when to call again, but for an agent, which is asked again at once.
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
            return Some(DiscoveryUpdate::Repeated(failure));
        }
        self.watch = Watch::Off;
        Some(DiscoveryUpdate::Failed(failure))
    }

    /// Does what is due by now.
    pub fn tick(&mut self, net: &mut Sockets, now_ms: f64, settings: &Settings) -> Option<DiscoveryUpdate> {
        if let Watch::Calling { is_connecting: true, .. } = self.watch
            && self.next_deadline() <= now_ms
        {
            return self.on_failed(net, now_ms, settings, CallFailure::Silent);
        }
        match self.watch {
            // Guards against a watch that has fallen silent and is missed only when the router calls again: it is
            // asked anew at once, on a new connection. Watches of many end at unlike times, so that this is no rush.
            // The next call is a step of its own, as it may fail in another way.
            Watch::Calling { deadline_ms, is_long_poll: true, .. } if deadline_ms <= now_ms => {
                self.close(net);
                self.asks_at_once = true;
                self.watch = Watch::Pausing { deadline_ms: now_ms };
                Some(DiscoveryUpdate::Repeated(CallFailure::Silent))
            }
            Watch::Calling { deadline_ms, .. } if deadline_ms <= now_ms => {
                self.on_failed(net, now_ms, settings, CallFailure::Silent)
            }
            Watch::Pausing { deadline_ms } if deadline_ms <= now_ms => self.call(net, now_ms, settings),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
