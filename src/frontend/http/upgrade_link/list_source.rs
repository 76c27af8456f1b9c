//! Requests for the endpoint list of the process that this one replaces, which are repeated until discovery has
//! answered this process.

use super::connection::{LinkRequest, LinkState, UpgradeLink};
use super::{ASKED_HEADER, UpgradeLinks, WANTS_LIST, WARM_STATE_HEADER};
use crate::frontend::Sockets;
use crate::frontend::http::HttpFrontend;
use crate::net::http;

/// Time between a response of the predecessor and the next request for its list, in milliseconds. Several
/// requests fit into the grace period within which a drain that discovery reported only to the predecessor
/// must be followed.
const LIST_INTERVAL_MS: f64 = 400.0;

/// A process whose endpoint list is requested repeatedly.
#[derive(Clone, Copy)]
pub(super) struct ListSource {
    pub pid: u32,
    /// When the next request is sent, in milliseconds; infinite while a response is outstanding.
    pub ask_at_ms: f64,
    /// When its last response arrived, in milliseconds: any list that it saves from now on is newer.
    pub answered_at_ms: f64,
}

impl HttpFrontend {
    /// Schedules the next request for a process's list, unless discovery has already answered this process.
    pub(super) fn schedule_list_request(&mut self, pid: u32) {
        let now_ms = self.core.clock().now();
        let is_wanted = !self.core.has_read_list();
        let Some(links) = &mut self.links else { return };
        let source = ListSource { pid, ask_at_ms: now_ms + LIST_INTERVAL_MS, answered_at_ms: now_ms };
        links.list_source = is_wanted.then_some(source);
        if !is_wanted {
            self.remove_saved_state(pid);
        }
    }

    /// Requests the predecessor's list when that is due, and stops once discovery has answered this process.
    pub(super) fn sweep_list_source(&mut self, net: &mut Sockets, now_ms: f64) {
        let is_wanted = !self.core.has_read_list();
        let Some(links) = &mut self.links else { return };
        if let Some(source) = links.list_source.take_if(|_| !is_wanted) {
            return self.remove_saved_state(source.pid);
        }
        let Some(source) = links.list_source.as_mut().filter(|source| source.ask_at_ms <= now_ms) else {
            return;
        };
        source.ask_at_ms = f64::INFINITY;
        let pid = source.pid;
        links.write_list_request(net, now_ms, pid);
    }
}

impl UpgradeLinks {
    /// Requests a process's list over an established link.
    fn write_list_request(&mut self, net: &mut Sockets, now_ms: f64, pid: u32) {
        let own_pid = self.forwarder.own_pid().to_string();
        let headers = [self.host_header(), (ASKED_HEADER, own_pid), (WARM_STATE_HEADER, WANTS_LIST.into())];
        let is_up = |link: &&mut UpgradeLink| link.pid == pid && link.state == LinkState::Up;
        let Some(link) = self.links.iter_mut().find(is_up) else { return };
        let bytes = http::write_request("GET", "/v1/seam", &headers, None);
        link.write(net, now_ms, LinkRequest::List { sent_at_ms: now_ms }, &bytes);
    }
}
