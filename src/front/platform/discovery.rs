//! Discovery: a watch of the server table's list.

use std::net::SocketAddr;

use super::Platform;
use crate::api::{Member, MemberState, WorkerId};
use crate::core::{Line, micros};
use crate::front::Sockets;
use crate::json::{self, JsonValue, flag, number, text};
use crate::net::ConnId;
use crate::net::http;
use crate::settings::Site;

/// How long a call waits for news, in milliseconds.
const WAIT: f64 = 10_000.0;
/// How much later its answer may come: discovery works through calls in turn.
const GRACE: f64 = 2_500.0;
/// Time between an answer and the next call of the watch: a watch breaks after 200 ms.
const PAUSE: f64 = 40.0;
/// A call that has been out for longer may have fallen silent, and is given up where another is asked for.
const FRESH: f64 = 1_000.0;

/// The state of the watch.
enum Watch {
    Off,
    Calling { since: f64, until: f64 },
    Pausing { until: f64 },
}

/// The one connection to discovery.
pub(super) struct Discovery {
    address: SocketAddr,
    /// The address in the file as last read. The environment may have named another one at the start.
    told: Option<SocketAddr>,
    conn: Option<ConnId>,
    /// The version held; none where the next call asks for the whole list.
    seq: Option<u64>,
    watch: Watch,
}

impl Discovery {
    pub fn new(address: SocketAddr, told: Option<SocketAddr>, seq: u64) -> Discovery {
        Discovery { address, told, conn: None, seq: Some(seq), watch: Watch::Off }
    }

    pub fn owns(&self, conn: ConnId) -> bool {
        self.conn == Some(conn)
    }

    pub fn next(&self) -> f64 {
        match self.watch {
            Watch::Off => f64::INFINITY,
            Watch::Calling { until, .. } | Watch::Pausing { until } => until,
        }
    }
}

/// The version and lines of a list or of its changes, and whether it is whole.
pub fn read_list(list: &JsonValue, site: &Site) -> Result<(u64, Vec<Line>, bool), String> {
    let seq = number(list, "seq").ok_or("the list has no seq")? as u64;
    let place = |names: &[String], name: Option<&str>| {
        names.iter().position(|n| Some(n.as_str()) == name).unwrap_or(names.len()) as u16
    };
    let line = |host: &JsonValue| {
        let name = text(host, "host").ok_or("a line of the list has no host")?;
        let state = match text(host, "health") {
            Some("up") => MemberState::Ready,
            Some("removed") => MemberState::Gone,
            _ => MemberState::Draining,
        };
        let member = Member {
            worker: WorkerId::default(),
            kind: place(&site.kinds, text(host, "class")),
            zone: place(&site.zones, text(host, "site")),
            cell: number(host, "block").unwrap_or(0.0) as u32,
            size: number(host, "share").unwrap_or(1.0),
            born: micros(number(host, "born_ms").unwrap_or(0.0)),
            state,
        };
        let address = text(host, "dial").unwrap_or("").to_string();
        Ok(Line { name: name.to_string(), address, member })
    };
    let lines = json::list(list, "hosts").iter().map(line).collect::<Result<_, String>>()?;
    Ok((seq, lines, flag(list, "whole")))
}

impl Platform {
    /// Calls discovery, unless a call was begun just now. One that has waited for a while is begun anew, on a new
    /// connection: the old one may have fallen silent.
    pub(super) fn call_discovery(&mut self, net: &mut Sockets) {
        let now = self.core.clock().now();
        if let Watch::Calling { since, .. } = self.discovery.watch {
            if now < since + FRESH {
                return;
            }
            self.hang_up(net);
        }
        let wait = self.discovery.seq.map_or(0.0, |_| WAIT);
        self.discovery.watch = Watch::Calling { since: now, until: now + wait + GRACE };
        let fresh = |id: &ConnId| net.conn(*id).is_some_and(|conn| conn.is_fresh());
        let conn = match self.discovery.conn.filter(fresh) {
            Some(conn) => Ok(conn),
            None => {
                if let Some(old) = self.discovery.conn.take() {
                    net.close(old);
                }
                net.open(self.discovery.address)
            }
        };
        let Ok(conn) = conn else { return self.discovery_failed(net) };
        self.discovery.conn = Some(conn);
        let target = match self.discovery.seq {
            Some(seq) => format!("/discovery/hosts?since={seq}&timeout_ms={WAIT}"),
            None => "/discovery/hosts".to_string(),
        };
        let host = [("Host", self.discovery.address.to_string())];
        net.write(conn, &http::ask("GET", &target, &host, None));
    }

    pub(super) fn discovery_ready(&mut self, net: &mut Sockets) {
        let Some(conn) = self.discovery.conn.and_then(|id| net.conn(id)) else { return };
        conn.pump();
        let ended = conn.eof || conn.broken;
        let message = http::response(&mut conn.rx, ended);
        let calling = matches!(self.discovery.watch, Watch::Calling { .. });
        match message {
            Ok(None) if !ended => {}
            Ok(Some(message)) if calling && message.status == 200 => {
                if ended || message.close {
                    self.hang_up(net);
                }
                let list = json::parse(&message.body).and_then(|list| read_list(&list, self.core.site()));
                match list {
                    Ok((seq, lines, whole)) => self.news(net, seq, lines, whole),
                    Err(e) => {
                        crate::say(format_args!("discovery's answer does not read: {e}"));
                        self.discovery_failed(net);
                    }
                }
            }
            _ if calling => self.discovery_failed(net),
            _ => self.hang_up(net),
        }
    }

    fn news(&mut self, net: &mut Sockets, seq: u64, lines: Vec<Line>, whole: bool) {
        // A process that was started again has none of its old connections.
        for line in &lines {
            let old = self.core.table().id(&line.name).and_then(|id| Some((id, self.core.table().get(id)?)));
            if let Some((id, old)) = old
                && (old.line.member.born, &old.line.address) != (line.member.born, &line.address)
            {
                self.drop_idle(net, id);
            }
        }
        self.discovery.seq = Some(seq);
        self.discovery.watch = Watch::Pausing { until: self.core.clock().now() + PAUSE };
        self.core.listed(lines, whole);
    }

    /// Goes over to the discovery service that the configuration names, if it names another one than before.
    /// Its versions need not go on from those of the old one, which soon ends all watches: the whole list is
    /// asked for first.
    pub(super) fn follow(&mut self, net: &mut Sockets, told: Option<SocketAddr>) {
        let Some(address) = told.filter(|_| told != self.discovery.told) else { return };
        self.hang_up(net);
        let watch = Watch::Pausing { until: self.core.clock().now() };
        self.discovery = Discovery { address, told, conn: None, seq: None, watch };
        self.tick_discovery(net);
    }

    fn hang_up(&mut self, net: &mut Sockets) {
        if let Some(conn) = self.discovery.conn.take() {
            net.close(conn);
        }
    }

    /// The call failed; the module says when to call again.
    fn discovery_failed(&mut self, net: &mut Sockets) {
        self.hang_up(net);
        self.discovery.watch = Watch::Off;
        self.core.list_failed();
    }

    pub(super) fn tick_discovery(&mut self, net: &mut Sockets) {
        let now = self.core.clock().now();
        match self.discovery.watch {
            Watch::Calling { until, .. } if until <= now => self.discovery_failed(net),
            Watch::Pausing { until } if until <= now => self.call_discovery(net),
            _ => {}
        }
    }
}
