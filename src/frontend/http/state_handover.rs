//! Files in which the old process of an upgrade saves its state for the new one: the warm state once, and the
//! endpoint list repeatedly until discovery has answered the new process. The new process asks for each over
//! its link (see `upgrade_link`). A process that exits saves its list once more without being asked, since it
//! no longer watches discovery from then on.

use std::path::Path;

use thiserror::Error;

use super::HttpFrontend;
use super::upgrade_link::UpgradeLinks;
use crate::core::{ListedEndpoint, micros};
use crate::frontend::{Sockets, handover};
use crate::lifecycle::list_handover::ListHandover;
use crate::lifecycle::warm_state::{MAX_WARM_STATE_BYTES, StoredEndpoint, WarmStateError, WarmStateFile};
use crate::routing::{Endpoint, EndpointId, EndpointStatus, PredecessorList};

/// The reason why the predecessor's warm state cannot be used.
#[derive(Debug, Error)]
enum WarmStateUnavailable {
    #[error(transparent)]
    Read(#[from] std::io::Error),
    #[error(transparent)]
    Refused(#[from] WarmStateError),
}

impl HttpFrontend {
    /// Saves the state of this process for the one that replaces it.
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
        let saved = handover::write_warm_state(links.note(), file.pid, &file.encode())
            .and_then(|()| handover::write_list_handover(links.note(), handover));
        if let Err(e) = saved {
            crate::say(format_args!("the next process starts cold: cannot save the warm state: {e}"));
        }
    }

    /// Stops watching discovery and saves the list for the last time, if another process is running.
    pub(super) fn save_final_list(&mut self, net: &mut Sockets) {
        if self.links.as_ref().is_some_and(UpgradeLinks::has_peer) {
            self.discovery.stop(net);
            self.core.on_watch_stopped();
            self.save_warm_state();
        }
    }

    /// Restores the state that the predecessor saved at `saved_at_ms` or shortly after. If it is missing or
    /// unusable, one line is logged and the process starts cold.
    pub(super) fn restore_warm_state(&mut self, pid: u32, saved_at_ms: f64) {
        let Some(links) = &self.links else { return };
        let handover = handover::take_list_handover(links.note(), pid);
        match self.read_warm_state(links.note(), pid) {
            Ok(file) => {
                let lines = file.endpoints.into_iter().map(listed_endpoint).collect();
                let is_restored = match handover {
                    Some(handover) => {
                        let list = predecessor_list(handover, saved_at_ms);
                        self.core.restore_from_predecessor(lines, list, file.learned)
                    }
                    None => self.core.restore_warm_state(lines, file.learned),
                };
                if !is_restored {
                    crate::say("a cold start: the warm state of the previous process is not valid here");
                }
            }
            Err(e) => {
                crate::say(format_args!("a cold start, without the warm state of the previous process: {e}"));
            }
        }
    }

    /// Restores the list that the predecessor saved again at `saved_at_ms` or shortly after, if there is one.
    pub(super) fn restore_list(&mut self, pid: u32, saved_at_ms: f64) {
        let Some(links) = &self.links else { return };
        let Some(handover) = handover::take_list_handover(links.note(), pid) else { return };
        let Ok(file) = self.read_warm_state(links.note(), pid) else { return };
        let lines = file.endpoints.into_iter().map(listed_endpoint).collect();
        self.core.on_predecessor_list(lines, predecessor_list(handover, saved_at_ms));
    }

    /// Returns the names of classes, kinds and zones, which the indices in the warm state refer to.
    fn warm_state_names(&self) -> Vec<String> {
        let site = self.core.site();
        let classes = site.client_classes.iter().map(|class| &class.name);
        classes.chain(&site.kinds).chain(&site.zones).cloned().collect()
    }

    /// Removes the files that the predecessor saved, once they are no longer needed. Files that another
    /// process has saved there since are kept.
    pub(super) fn remove_saved_state(&self, pid: u32) {
        let Some(links) = &self.links else { return };
        handover::take_list_handover(links.note(), pid);
        let saved = self.read_warm_state(links.note(), pid);
        if matches!(saved, Ok(_) | Err(WarmStateUnavailable::Refused(WarmStateError::Stale(_)))) {
            handover::remove_warm_state(links.note());
        }
    }

    fn read_warm_state(&self, note: &Path, pid: u32) -> Result<WarmStateFile, WarmStateUnavailable> {
        let bytes = handover::read_warm_state(note, MAX_WARM_STATE_BYTES)?;
        let now_ms = self.core.clock().now();
        Ok(WarmStateFile::decode(&bytes, pid, &self.warm_state_names(), now_ms)?)
    }
}

fn predecessor_list(handover: ListHandover, saved_at_ms: f64) -> PredecessorList {
    let ListHandover { usable_ms, is_watched, .. } = handover;
    PredecessorList { left_at: micros(saved_at_ms), usable_for: micros(usable_ms as f64), is_watched }
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
