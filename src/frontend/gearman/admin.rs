//! The administrative protocol: lines of text.

use super::GearmanFrontend;
use super::workers::Worker;
use crate::frontend::Sockets;
use crate::net::ConnId;

impl GearmanFrontend {
    /// Answers a line of the administrative protocol.
    pub(super) fn on_admin_line(&mut self, net: &mut Sockets, id: ConnId, line: &str) {
        let text = match line {
            "" => return,
            "version" => format!("OK {}\n", env!("CARGO_PKG_VERSION")),
            "status" => self.functions_text(),
            "workers" => self.workers_text(),
            "counters" => format!("{}.\n", self.core.counters()),
            _ => "ERR unknown_command Unknown+server+command\n".to_string(),
        };
        self.send(net, id, text.into_bytes());
    }

    /// A line for each function: its name, its jobs, those that run, and the ready workers that can run it.
    fn functions_text(&self) -> String {
        let workers = || self.peers.values().filter_map(|p| p.worker.as_ref());
        let mut out = String::new();
        for (at, function) in self.config.functions.iter().enumerate() {
            let all = self.jobs.values().filter(|j| j.function == at).count();
            let running = workers().flat_map(Worker::running);
            let running = running.filter(|s| self.jobs.get(s).is_some_and(|j| j.function == at)).count();
            let able = workers().filter(|w| w.is_ready() && w.functions().any(|f| f == at)).count();
            let name = String::from_utf8_lossy(&function.name);
            out.push_str(&format!("{name}\t{all}\t{running}\t{able}\n"));
        }
        out + ".\n"
    }

    /// A line for each connection: its number, address, client id and functions.
    fn workers_text(&self) -> String {
        let mut ids: Vec<ConnId> = self.peers.keys().copied().collect();
        ids.sort_unstable();
        let mut out = String::new();
        for id in ids {
            let peer = &self.peers[&id];
            let name =
                if peer.client_id.is_empty() { "-".into() } else { String::from_utf8_lossy(&peer.client_id) };
            let address = peer.address.map_or("-".to_string(), |a| a.to_string());
            out.push_str(&format!("{id} {address} {name} :"));
            for function in peer.worker.iter().flat_map(Worker::functions) {
                out.push(' ');
                out.push_str(&String::from_utf8_lossy(&self.config.functions[function].name));
            }
            out.push('\n');
        }
        out + ".\n"
    }
}
