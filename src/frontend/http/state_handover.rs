//! What the old process of an upgrade leaves to the new one in files: its warm state once, and the list that it follows again
//! and again until discovery has answered the new one. The new process asks for each over its link (`upgrade_link`). A process
//! that ends leaves its list once more, unasked: from then on it watches no more.

use std::path::Path;

use thiserror::Error;

use super::HttpFrontend;
use super::upgrade_link::UpgradeLinks;
use crate::core::{ListedEndpoint, micros};
use crate::frontend::{Sockets, handover};
use crate::lifecycle::list_handover::ListHandover;
use crate::lifecycle::warm_state::{MAX_WARM_STATE_BYTES, StoredEndpoint, WarmStateError, WarmStateFile};
use crate::routing::{Endpoint, EndpointId, EndpointStatus, PredecessorList};

/// Why there is no warm state of the process before.
#[derive(Debug, Error)]
enum WarmStateUnavailable {
    #[error(transparent)]
    Read(#[from] std::io::Error),
    #[error(transparent)]
    Refused(#[from] WarmStateError),
}

impl HttpFrontend {
    /// Leaves what this process knows for the one that replaces it.
    pub(super) fn save_warm_state(&self) {
        let Some(links) = &self.links else { return };
        let endpoints = self.core.endpoints().listed();
        let file = WarmStateFile {
            pid: links.own_pid(),
            left_at_ms: self.core.clock().now(),
            names: self.warm_state_names(),
            endpoints: endpoints.into_iter().map(stored_endpoint).collect(),
            learned: self.core.warm_state(),
        };
        let usable_ms = self.core.list_usable_for_ms() as u64;
        let is_watched = !self.discovery.is_stopped();
        let handover = ListHandover { pid: file.pid, usable_ms, is_watched };
        let left = handover::write_warm_state(links.note(), file.pid, &file.encode())
            .and_then(|()| handover::write_list_handover(links.note(), handover));
        if let Err(e) = left {
            crate::say(format_args!("the next process starts cold: {e}"));
        }
    }

    /// Leaves the list for the last time, where a process is beside this one: nothing can be told to this one any more.
    pub(super) fn save_final_list(&mut self, net: &mut Sockets) {
        if self.links.as_ref().is_some_and(UpgradeLinks::has_peer) {
            self.discovery.stop(net);
            self.core.on_watch_stopped();
            self.save_warm_state();
        }
    }

    /// Takes over what the process before has left by `left_at_ms`, or soon after. What is not there or cannot be used costs
    /// one line in the log.
    pub(super) fn restore_warm_state(&mut self, pid: u32, left_at_ms: f64) {
        let Some(links) = &self.links else { return };
        let handover = handover::take_list_handover(links.note(), pid);
        match self.read_warm_state(links.note(), pid) {
            Ok(file) => {
                let lines = file.endpoints.into_iter().map(listed_endpoint).collect();
                let is_restored = match handover {
                    Some(handover) => {
                        let list = predecessor_list(handover, left_at_ms);
                        self.core.restore_from_predecessor(lines, list, file.learned)
                    }
                    None => self.core.restore_warm_state(lines, file.learned),
                };
                if !is_restored {
                    crate::say("a cold start: what the process before has learned cannot be true here");
                }
            }
            Err(e) => {
                crate::say(format_args!("a cold start, without what the process before knows: {e}"));
            }
        }
    }

    /// Takes over the list that the process before has left again by `left_at_ms`, or soon after, where it has.
    pub(super) fn restore_list(&mut self, pid: u32, left_at_ms: f64) {
        let Some(links) = &self.links else { return };
        let Some(handover) = handover::take_list_handover(links.note(), pid) else { return };
        let Ok(file) = self.read_warm_state(links.note(), pid) else { return };
        let lines = file.endpoints.into_iter().map(listed_endpoint).collect();
        self.core.on_predecessor_list(lines, predecessor_list(handover, left_at_ms));
    }

    /// Names by which what was learned is counted.
    fn warm_state_names(&self) -> Vec<String> {
        let site = self.core.site();
        let classes = site.client_classes.iter().map(|class| &class.name);
        classes.chain(&site.kinds).chain(&site.zones).cloned().collect()
    }

    /// Removes what the process before has left, as nothing more of it is wanted. What another process has left there since
    /// stays.
    pub(super) fn remove_saved_state(&self, pid: u32) {
        let Some(links) = &self.links else { return };
        handover::take_list_handover(links.note(), pid);
        let left = self.read_warm_state(links.note(), pid);
        if matches!(left, Ok(_) | Err(WarmStateUnavailable::Refused(WarmStateError::Stale(_)))) {
            handover::remove_warm_state(links.note());
        }
    }

    fn read_warm_state(&self, note: &Path, pid: u32) -> Result<WarmStateFile, WarmStateUnavailable> {
        let bytes = handover::read_warm_state(note, MAX_WARM_STATE_BYTES)?;
        let now_ms = self.core.clock().now();
        Ok(WarmStateFile::decode(&bytes, pid, &self.warm_state_names(), now_ms)?)
    }
}

fn predecessor_list(handover: ListHandover, left_at_ms: f64) -> PredecessorList {
    let ListHandover { usable_ms, is_watched, .. } = handover;
    PredecessorList { left_at: micros(left_at_ms), usable_for: micros(usable_ms as f64), is_watched }
}

fn stored_endpoint(line: &ListedEndpoint) -> StoredEndpoint {
    let ListedEndpoint { name, address, endpoint } = line.clone();
    let Endpoint { kind, zone, cell, size, started_at, status, .. } = endpoint;
    let is_draining = status != EndpointStatus::Ready;
    StoredEndpoint { name, address, kind, zone, cell, size, started_at_us: started_at, is_draining }
}

fn listed_endpoint(stored: StoredEndpoint) -> ListedEndpoint {
    let StoredEndpoint { name, address, kind, zone, cell, size, started_at_us, is_draining } = stored;
    let status = if is_draining { EndpointStatus::Draining } else { EndpointStatus::Ready };
    let id = EndpointId::default();
    let endpoint = Endpoint { id, kind, zone, cell, size, started_at: started_at_us, status };
    ListedEndpoint { name, address, endpoint }
}
