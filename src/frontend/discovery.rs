//! Discovery: a watch of the server table's list, for any front that takes it from there. It decides nothing.

use std::net::SocketAddr;

use thiserror::Error;

use super::Sockets;
use crate::core::{Core, ListScope, ListedEndpoint, micros, millis};
use crate::json::{self, JsonError, JsonValue, flag, number, text};
use crate::net::ConnId;
use crate::net::http;
use crate::routing::{Endpoint, EndpointId, EndpointStatus, Settings};
use crate::settings::Site;

/// How long a call waits for news, in milliseconds: silence on it is noticed, and made good, before what it missed
/// counts as told 6 s after it fell silent and is to be followed 2 s later.
const WAIT: f64 = 5_000.0;
/// How long a call that need not wait may take: discovery works through calls in turn. Where dispatchers are many a
/// call is kept open for longer, since one that is given up takes discovery's time all the same.
const GRACE: f64 = 2_500.0;
const LONG_GRACE: f64 = 3_500.0;
/// A watch that has not answered so long after its wait was over has fallen silent. What it missed counts as told 2 s
/// after that wait and is to be followed 2 s later: by then the call that follows has had its time as well.
const SILENT: f64 = 1_000.0;
/// The same two where an agent on this machine pushes lists: it answers at once and at no cost. While discovery is
/// down it is silent, and what it hears at the return counts as told at that moment.
const AGENT_WAIT: f64 = 1_000.0;
const AGENT_SILENT: f64 = 500.0;
/// Time between a failed call to an agent and the next.
const AGENT_PAUSE: f64 = 200.0;
/// A call on a kept connection that ends so soon has crossed its closing: it was not read, and is made again.
const CROSSED: f64 = 500.0;
/// Answers of older versions that are passed over before the service is held to count anew.
const STALE: u32 = 1;
/// Time between an answer and the next call of the watch: a watch breaks after 200 ms.
const PAUSE: f64 = 40.0;
/// The same where dispatchers are many, at most. Waits grow with their number, so that all of them together begin a
/// third of the calls that discovery gets through.
const LONG_WAIT: f64 = 55_000.0;
const WAITS: f64 = 3.0;
/// A call that has been out for longer may have fallen silent, and is given up where another is asked for.
const FRESH: f64 = 1_000.0;

/// The state of the watch.
enum Watch {
    Off,
    Calling {
        since: f64,
        until: f64,
        /// It may wait for news: its silence says that the watch is broken, not that discovery is.
        waits: bool,
        /// It went out on a connection that had answered before.
        kept: bool,
    },
    Pausing {
        until: f64,
    },
}

/// What a call has brought.
pub enum DiscoveryUpdate {
    /// The list, or its changes.
    List {
        /// Its lines.
        lines: Vec<ListedEndpoint>,
        /// How much of the list they are.
        scope: ListScope,
    },
    /// It failed. The module says when to call again.
    Failed,
}

impl DiscoveryUpdate {
    /// Tells a core, and gives the servers that were started again, or have moved: their old connections are gone.
    pub fn apply(self, core: &mut Core) -> Vec<EndpointId> {
        let DiscoveryUpdate::List { lines, scope } = self else {
            core.on_list_failed();
            return Vec::new();
        };
        let renewed = |line: &ListedEndpoint| {
            let id = core.endpoints().id(&line.name)?;
            let old = &core.endpoints().get(id)?;
            ((old.endpoint.started_at, &old.address) != (line.endpoint.started_at, &line.address))
                .then_some(id)
        };
        let renewed = lines.iter().filter_map(renewed).collect();
        core.on_list(lines, scope);
        renewed
    }
}

/// The one connection to discovery.
pub struct Discovery {
    address: SocketAddr,
    /// The address in the file as last read. The environment may have named another one at the start.
    told: Option<SocketAddr>,
    conn: Option<ConnId>,
    /// The version held; none where the next call asks for the whole list.
    seq: Option<u64>,
    /// Answers in a row that told an older version than the one held, and were not taken.
    older: u32,
    watch: Watch,
    rng: fastrand::Rng,
}

impl Discovery {
    /// A watch that has not begun, from a version on.
    pub fn new(address: SocketAddr, told: Option<SocketAddr>, seq: u64, seed: u64) -> Discovery {
        let rng = fastrand::Rng::with_seed(seed);
        Discovery { address, told, conn: None, seq: Some(seq), older: 0, watch: Watch::Off, rng }
    }

    /// Begins the watch where lists are pushed: no call of the module does, since calls to an agent cost nothing and
    /// what it has counts as told whether or not a watch is open.
    pub fn begin(&mut self, now: f64, settings: &Settings) {
        if !settings.must_subscribe {
            self.watch = Watch::Pausing { until: now };
        }
    }

    /// Whether a connection is its own.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.conn == Some(conn)
    }

    /// When `tick` is to be called next.
    pub fn next_deadline(&self) -> f64 {
        match self.watch {
            Watch::Off => f64::INFINITY,
            Watch::Calling { until, .. } | Watch::Pausing { until } => until,
        }
    }

    /// Calls discovery, unless a call was begun just now. One that has waited for a while is begun anew, on a new
    /// connection: the old one may have fallen silent.
    pub fn call(&mut self, net: &mut Sockets, now: f64, settings: &Settings) -> Option<DiscoveryUpdate> {
        if let Watch::Calling { since, .. } = self.watch {
            // A call that is given up takes discovery's time all the same: many would only make the line longer.
            if now < since + FRESH || settings.is_large_fleet() {
                return None;
            }
            self.hang_up(net);
        }
        let wait = self.seq.map_or(0.0, |_| self.longest(settings));
        self.ask(net, now, wait, settings)
    }

    /// How long a call may wait for news.
    fn longest(&mut self, settings: &Settings) -> f64 {
        if !settings.must_subscribe {
            return AGENT_WAIT;
        }
        if !settings.is_large_fleet() {
            return WAIT;
        }
        let all = f64::from(settings.dispatchers) * millis(Settings::POLL_COST) * WAITS;
        // Guards against many dispatchers that come back at one time as nothing has changed for long.
        all.min(LONG_WAIT) * (0.5 + 0.5 * self.rng.f64())
    }

    /// Asks for what is newer than the version held, and lets the call wait so long for it.
    fn ask(
        &mut self,
        net: &mut Sockets,
        now: f64,
        wait: f64,
        settings: &Settings,
    ) -> Option<DiscoveryUpdate> {
        let waits = wait > 0.0;
        let takes = match (settings.must_subscribe, waits) {
            (false, _) => AGENT_SILENT,
            (true, true) => SILENT,
            (true, false) if settings.is_large_fleet() => LONG_GRACE,
            (true, false) => GRACE,
        };
        let fresh = |id: &ConnId| net.conn(*id).is_some_and(|conn| conn.is_fresh());
        let kept = self.conn.filter(fresh);
        self.watch = Watch::Calling { since: now, until: now + wait + takes, waits, kept: kept.is_some() };
        let conn = match kept {
            Some(conn) => Ok(conn),
            None => {
                self.hang_up(net);
                net.open(self.address)
            }
        };
        let Ok(conn) = conn else { return self.failed(net, now, settings) };
        self.conn = Some(conn);
        let target = match self.seq {
            Some(seq) => format!("/discovery/hosts?since={seq}&timeout_ms={}", wait as u64),
            None => "/discovery/hosts".to_string(),
        };
        let host = [("Host", self.address.to_string())];
        net.write(conn, &http::ask("GET", &target, &host, None));
        None
    }

    /// Its connection can be read, or broke.
    pub fn ready(&mut self, net: &mut Sockets, now: f64, site: &Site) -> Option<DiscoveryUpdate> {
        let conn = self.conn.and_then(|id| net.conn(id))?;
        conn.pump();
        let ended = conn.eof || conn.broken;
        // Guards against half an answer that is taken for a whole one: what a reset cuts off has not ended.
        let message = http::response(&mut conn.rx, conn.eof && !conn.broken);
        let Watch::Calling { since, waits, kept, .. } = self.watch else {
            // Nothing was asked for.
            if ended || !matches!(message, Ok(None)) {
                self.hang_up(net);
            }
            return None;
        };
        match message {
            Ok(None) if !ended => None,
            // Guards against a failure that is none: the call crossed the closing of a connection that was kept.
            Ok(None) if kept && now < since + CROSSED => {
                self.hang_up(net);
                let wait = if waits { self.longest(&site.settings) } else { 0.0 };
                self.ask(net, now, wait, &site.settings)
            }
            Ok(Some(message)) if message.status == 200 => {
                if ended || message.close {
                    self.hang_up(net);
                }
                match parse_list(&message.body, site) {
                    Ok(list) if self.is_stale(list.version) => self.failed(net, now, &site.settings),
                    Ok(list) => {
                        self.seq = Some(list.version);
                        self.watch = Watch::Pausing { until: now + PAUSE };
                        Some(DiscoveryUpdate::List { lines: list.lines, scope: list.scope })
                    }
                    Err(e) => {
                        crate::say(format_args!("discovery's answer does not read: {e}"));
                        self.failed(net, now, &site.settings)
                    }
                }
            }
            _ => self.failed(net, now, &site.settings),
        }
    }

    /// Whether a version is older than the one held. Guards against a drain that is forgotten again as a late copy of
    /// the service answers. One that tells older versions again and again has begun to count anew: it is asked for the
    /// whole list.
    fn is_stale(&mut self, seq: u64) -> bool {
        let stale = self.seq.is_some_and(|held| seq < held);
        self.older = if stale { self.older + 1 } else { 0 };
        if self.older > STALE {
            self.seq = None;
        }
        stale
    }

    /// Goes over to the discovery service that the configuration names, if it names another one than before.
    /// Its versions need not go on from those of the old one, which soon ends all watches: the whole list is
    /// asked for first.
    pub fn follow(
        &mut self,
        net: &mut Sockets,
        now: f64,
        told: Option<SocketAddr>,
        settings: &Settings,
    ) -> Option<DiscoveryUpdate> {
        let address = told.filter(|_| told != self.told)?;
        self.hang_up(net);
        let watch = Watch::Pausing { until: now };
        (self.address, self.told, self.seq, self.watch) = (address, told, None, watch);
        self.older = 0;
        self.tick(net, now, settings)
    }

    fn hang_up(&mut self, net: &mut Sockets) {
        if let Some(conn) = self.conn.take() {
            net.close(conn);
        }
    }

    /// The module says when to call again, but for an agent, which is asked again at once.
    fn failed(&mut self, net: &mut Sockets, now: f64, settings: &Settings) -> Option<DiscoveryUpdate> {
        self.hang_up(net);
        if !settings.must_subscribe {
            self.watch = Watch::Pausing { until: now + AGENT_PAUSE };
            return None;
        }
        self.watch = Watch::Off;
        Some(DiscoveryUpdate::Failed)
    }

    /// Does what is due by now.
    pub fn tick(&mut self, net: &mut Sockets, now: f64, settings: &Settings) -> Option<DiscoveryUpdate> {
        match self.watch {
            // Guards against a watch that has fallen silent and is missed only when the module calls again: it is
            // asked anew at once, on a new connection. Watches of many end at unlike times, so that this is no rush.
            Watch::Calling { until, waits: true, .. } if until <= now => {
                self.hang_up(net);
                self.ask(net, now, 0.0, settings)
            }
            Watch::Calling { until, .. } if until <= now => self.failed(net, now, settings),
            Watch::Pausing { until } if until <= now => self.call(net, now, settings),
            _ => None,
        }
    }
}

/// The list, or its changes, as discovery tells it.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Its version.
    pub version: u64,
    /// Its lines.
    pub lines: Vec<ListedEndpoint>,
    /// How much of the list the lines are.
    pub scope: ListScope,
}

/// Why a list does not read.
#[derive(Debug, Error)]
pub enum ListError {
    /// It is no JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// It has no version.
    #[error("the list has no seq")]
    NoVersion,
    /// One of its lines has no name.
    #[error("a line of the list has no host")]
    NoName,
}

/// Reads a list or its changes from their text.
fn parse_list(body: &[u8], site: &Site) -> Result<EndpointList, ListError> {
    read_list(&json::parse(body)?, site)
}

/// Reads a list or its changes.
///
/// # Errors
/// Where it has no version, or a line has no name. What else a line lacks has a default.
pub fn read_list(list: &JsonValue, site: &Site) -> Result<EndpointList, ListError> {
    let version = number(list, "seq").ok_or(ListError::NoVersion)? as u64;
    let lines =
        json::list(list, "hosts").iter().map(|line| read_line(line, site)).collect::<Result<_, _>>()?;
    let scope = if flag(list, "whole") { ListScope::Complete } else { ListScope::Changes };
    Ok(EndpointList { version, lines, scope })
}

fn read_line(line: &JsonValue, site: &Site) -> Result<ListedEndpoint, ListError> {
    let name = text(line, "host").ok_or(ListError::NoName)?;
    // A name that the settings do not have gets the number after all of theirs.
    let index = |names: &[String], name: Option<&str>| {
        names.iter().position(|known| Some(known.as_str()) == name).unwrap_or(names.len()) as u16
    };
    let status = match text(line, "health") {
        Some("up") => EndpointStatus::Ready,
        Some("removed") => EndpointStatus::Gone,
        _ => EndpointStatus::Draining,
    };
    let endpoint = Endpoint {
        id: EndpointId::default(),
        kind: index(&site.kinds, text(line, "class")),
        zone: index(&site.zones, text(line, "site")),
        cell: number(line, "block").unwrap_or(0.0) as u32,
        size: number(line, "share").unwrap_or(1.0),
        started_at: micros(number(line, "born_ms").unwrap_or(0.0)),
        status,
    };
    let address = text(line, "dial").unwrap_or("").to_string();
    Ok(ListedEndpoint { name: name.to_string(), address, endpoint })
}
