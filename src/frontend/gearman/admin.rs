//! The administrative protocol, which is line-based text.

use super::GearmanFrontend;
use super::workers::Worker;
use crate::frontend::Sockets;
use crate::net::ConnId;

impl GearmanFrontend {
    /// Answers a command of the administrative protocol.
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

    /// Returns a line per function: its name, and the numbers of its open jobs, of its running jobs, and of
    /// ready workers that can run it.
    fn functions_text(&self) -> String {
        let workers = || self.peers.values().filter_map(|p| p.worker.as_ref());
        let mut out = String::new();
        for (index, function) in self.config.functions.iter().enumerate() {
            let all = self.jobs.values().filter(|j| j.function == index).count();
            let running = workers().flat_map(Worker::running);
            let running = running.filter(|s| self.jobs.get(s).is_some_and(|j| j.function == index)).count();
            let ready = workers().filter(|w| w.is_ready() && w.functions().any(|f| f == index)).count();
            let name = String::from_utf8_lossy(&function.name);
            out.push_str(&format!("{name}\t{all}\t{running}\t{ready}\n"));
        }
        out + ".\n"
    }

    /// Returns a line per connection: its id, address, client id and functions.
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
