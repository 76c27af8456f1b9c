//! Connections of calls that were not answered in time. They stay open beside that of the next call, and an
//! answer on one of them counts: a service that needs longer for each call than this process waits would
//! otherwise never be heard, and would seem to be down.

use super::{Discovery, DiscoveryUpdate};
use crate::frontend::Sockets;
use crate::frontend::list_reader::parse_list;
use crate::net::ConnId;
use crate::net::http;
use crate::routing::CallFailure;
use crate::settings::Site;

/// Maximum number of overdue connections that are kept.
const MAX_OVERDUE: usize = 3;

impl Discovery {
    /// Keeps the connection of the call in flight, so that the next call uses another one.
    pub(super) fn keep_overdue(&mut self, net: &mut Sockets) {
        if self.overdue.len() >= MAX_OVERDUE
            && let Some(oldest) = self.overdue.pop_front()
        {
            net.close(oldest);
        }
        self.overdue.extend(self.conn.take());
    }

    /// Closes all overdue connections.
    pub(super) fn drop_overdue(&mut self, net: &mut Sockets) {
        for conn in self.overdue.drain(..) {
            net.close(conn);
        }
    }

    /// Handles an overdue connection that became readable or failed. A list on it ends the call that is in
    /// flight, and the watch continues on the connection of the list. A list that cannot be read is reported,
    /// since its changes count as announced. The failure of the call itself was reported when it was not
    /// answered in time.
    pub(super) fn on_overdue_ready(
        &mut self,
        net: &mut Sockets,
        id: ConnId,
        now_ms: f64,
        site: &Site,
    ) -> Option<DiscoveryUpdate> {
        let conn = net.conn(id)?;
        conn.pump();
        let has_ended = conn.eof || conn.broken;
        let has_partial_answer = !conn.rx.is_empty();
        let (list, closes) = match http::read_response(&mut conn.rx, conn.eof && !conn.broken) {
            Ok(None) if !has_ended => return None,
            Ok(Some(message)) if message.status == 200 => {
                (parse_list(&message.body, site).ok(), has_ended || message.close)
            }
            Ok(None) if has_partial_answer => (None, true),
            Err(_) => (None, true),
            Ok(_) => {
                self.drop_call(net, id);
                return None;
            }
        };
        let Some(list) = list else {
            self.drop_call(net, id);
            self.keep_overdue(net);
            return self.on_failed(net, now_ms, &site.settings, CallFailure::Incomplete);
        };
        if self.version.is_some_and(|held| list.version < held) {
            self.drop_call(net, id);
            return None;
        }
        self.overdue.retain(|&overdue| overdue != id);
        self.close(net);
        self.drop_overdue(net);
        self.conn = Some(id);
        if closes {
            self.close(net);
        }
        Some(self.accept_list(now_ms, list))
    }

    /// Closes one overdue connection.
    fn drop_call(&mut self, net: &mut Sockets, id: ConnId) {
        self.overdue.retain(|&overdue| overdue != id);
        net.close(id);
    }
}
