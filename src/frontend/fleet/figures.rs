//! The fleet's figures, in the text exposition format.

use crate::control_plane::ControlPlane;
use crate::fleet::NodeCounters;
use crate::telemetry::{escape, row};
use crate::zones::AgreementStatus;

/// Datagrams that came to nothing.
pub(super) struct DatagramDrops {
    /// From addresses that nobody has.
    pub strangers: u64,
    /// That the system did not take.
    pub unsent: u64,
}

/// Whether this process holds the fleet's address.
pub(super) fn open(on: bool) -> String {
    let (mut text, value) = (String::new(), [(String::new(), f64::from(u8::from(on)))]);
    row(&mut text, "lb_fleet_open", "gauge", "Whether this process holds the fleet's address.", &value);
    text
}

/// All of them, while the address is held.
pub(super) fn render(names: &[String], shared: &ControlPlane, drops: DatagramDrops, now: f64) -> String {
    let mut text = open(true);
    let mut row = |name: &str, kind: &str, help: &str, values: &[(String, f64)]| {
        row(&mut text, name, kind, help, values);
    };
    let one = |value: f64| [(String::new(), value)];
    let (node, part) = (shared.node(), shared.zones());
    let NodeCounters { frames, dropped, stale, sent_bytes, received_bytes: heard_bytes, decisions, proposed } =
        *node.counters();
    let flag = |on: bool| f64::from(u8::from(on));
    let (epoch, table) = (part.newest().epoch, &part.newest().table);
    let standing = part.view().map_or(AgreementStatus::Stale, |view| view.status) as u8;
    let up = node.alive().iter().filter(|up| **up).count();
    row("lb_fleet_epoch", "gauge", "The newest decision.", &one(epoch as f64));
    row(
        "lb_fleet_standing",
        "gauge",
        "0: follows a leader; 1: without news, keeps the last epoch; 2: alone.",
        &one(f64::from(standing)),
    );
    row("lb_fleet_members_up", "gauge", "Members that are there.", &one(up as f64));
    row("lb_fleet_leads", "gauge", "Whether it leads the consensus.", &one(flag(node.is_leader())));
    row("lb_fleet_votes", "gauge", "Whether it votes.", &one(flag(node.is_voting() == Some(true))));
    let followers = node.followers().len() as f64;
    row(
        "lb_fleet_followers",
        "gauge",
        "Voters that follow it, itself among them; 0: no leader.",
        &one(followers),
    );
    let mut seen = Vec::new();
    for (zone, sight) in names.iter().zip(part.summaries(now, node)) {
        let zone = escape(zone);
        let parts = [("answered", sight.answered), ("refused", sight.refused), ("silent", sight.silent)];
        for (what, count) in parts.into_iter().chain([("sources", sight.reporters)]) {
            seen.push((format!("{{zone=\"{zone}\",what=\"{what}\"}}"), f64::from(count)));
        }
    }
    row("lb_fleet_evidence", "gauge", "What dispatchers saw of a zone in the last second; at voters.", &seen);
    let zones = |of: &dyn Fn(usize) -> f64| -> Vec<(String, f64)> {
        let each = names.iter().enumerate();
        each.map(|(at, zone)| (format!("{{zone=\"{}\"}}", escape(zone)), of(at))).collect()
    };
    let state = |at: usize| f64::from(table.zones[at].state as u8);
    let share =
        |at: usize| f64::from(part.view().map_or(table.zones[at].share, |view| view.shares[at])) / 1000.0;
    row("lb_fleet_zone_state", "gauge", "0: open; 1: careful; 2: closed; 3: returning.", &zones(&state));
    row("lb_fleet_zone_share", "gauge", "What the zone may get from this dispatcher.", &zones(&share));
    for (name, help, value) in [
        ("lb_fleet_frames_total", "Frames taken.", frames),
        ("lb_fleet_dropped_total", "Frames of another cluster, damaged or too long.", dropped),
        ("lb_fleet_strangers_total", "Datagrams from addresses of nobody.", drops.strangers),
        ("lb_fleet_stale_total", "Frames that came late or twice.", stale),
        ("lb_fleet_unsent_total", "Datagrams that the system did not take.", drops.unsent),
        ("lb_fleet_sent_bytes_total", "Bytes sent to members.", sent_bytes),
        ("lb_fleet_heard_bytes_total", "Bytes received from members.", heard_bytes),
        ("lb_fleet_decisions_total", "Decisions read.", decisions),
        ("lb_fleet_proposed_total", "Decisions proposed here.", proposed),
        ("lb_fleet_void_total", "Proposals that another was decided before.", node.superseded()),
    ] {
        row(name, "counter", help, &one(value as f64));
    }
    text
}
