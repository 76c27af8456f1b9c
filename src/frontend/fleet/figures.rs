//! The fleet's figures, in the text exposition format. Their names are the operators'.

use super::open_node::DatagramDrops;
use crate::control_plane::ControlPlane;
use crate::telemetry::{escape, row};
use crate::zones::{AgreementStatus, FULL_SHARE};

/// Figures on their way into a text.
#[derive(Default)]
struct Figures {
    text: String,
}

impl Figures {
    fn gauge(&mut self, name: &str, help: &str, value: f64) {
        row(&mut self.text, name, "gauge", help, &[(String::new(), value)]);
    }

    fn labelled_gauge(&mut self, name: &str, help: &str, values: &[(String, f64)]) {
        row(&mut self.text, name, "gauge", help, values);
    }

    fn counter(&mut self, name: &str, help: &str, value: u64) {
        row(&mut self.text, name, "counter", help, &[(String::new(), value as f64)]);
    }
}

fn flag(on: bool) -> f64 {
    f64::from(u8::from(on))
}

/// Whether this process holds the fleet's address.
pub(super) fn address_held(is_held: bool) -> String {
    let mut figures = Figures::default();
    figures.gauge("lb_fleet_open", "Whether this process holds the fleet's address.", flag(is_held));
    figures.text
}

/// Reports of the frontends that the fleet's thread had no room for.
pub(super) fn lost_reports(count: u64) -> String {
    let mut figures = Figures::default();
    figures.counter("lb_fleet_lost_total", "Messages that the fleet's thread had no room for.", count);
    figures.text
}

/// All figures of a member that holds its address.
pub(super) fn render(
    zone_names: &[String],
    control_plane: &ControlPlane,
    drops: DatagramDrops,
    now_ms: f64,
) -> String {
    let mut figures = Figures { text: address_held(true) };
    render_agreement(&mut figures, control_plane);
    render_zones(&mut figures, zone_names, control_plane, now_ms);
    render_traffic(&mut figures, control_plane, drops);
    figures.text
}

fn render_agreement(figures: &mut Figures, control_plane: &ControlPlane) {
    let node = control_plane.node();
    let epoch = control_plane.zones().newest_decision().epoch;
    let view = control_plane.zones().view();
    let status = view.map_or(AgreementStatus::Stale, |view| view.status) as u8;
    let alive = node.alive().iter().filter(|alive| **alive).count();
    figures.gauge("lb_fleet_epoch", "The newest decision.", epoch as f64);
    let help = "0: follows a leader; 1: without news, keeps the last epoch; 2: alone.";
    figures.gauge("lb_fleet_standing", help, f64::from(status));
    figures.gauge("lb_fleet_members_up", "Members that are there.", alive as f64);
    figures.gauge("lb_fleet_leads", "Whether it leads the consensus.", flag(node.is_leader()));
    figures.gauge("lb_fleet_votes", "Whether it votes.", flag(node.is_voting() == Some(true)));
    let help = "Voters that follow it, itself among them; 0: no leader.";
    figures.gauge("lb_fleet_followers", help, node.followers().len() as f64);
}

fn render_zones(figures: &mut Figures, zone_names: &[String], control_plane: &ControlPlane, now_ms: f64) {
    let zones = control_plane.zones();
    let mut seen = Vec::new();
    for (zone, summary) in zone_names.iter().zip(zones.summaries(now_ms, control_plane.node())) {
        let zone = escape(zone);
        for (what, count) in [
            ("answered", summary.answered),
            ("refused", summary.refused),
            ("silent", summary.silent),
            ("sources", summary.reporters),
        ] {
            seen.push((format!("{{zone=\"{zone}\",what=\"{what}\"}}"), f64::from(count)));
        }
    }
    let help = "What dispatchers saw of a zone in the last second; at voters.";
    figures.labelled_gauge("lb_fleet_evidence", help, &seen);
    let table = &zones.newest_decision().table;
    let labels = || zone_names.iter().map(|zone| format!("{{zone=\"{}\"}}", escape(zone)));
    let states: Vec<_> =
        labels().zip(&table.zones).map(|(label, zone)| (label, f64::from(zone.state as u8))).collect();
    figures.labelled_gauge("lb_fleet_zone_state", "0: open; 1: careful; 2: closed; 3: returning.", &states);
    let share = |zone: usize| zones.view().map_or(table.zones[zone].share, |view| view.shares[zone]);
    let shares: Vec<_> = labels()
        .enumerate()
        .map(|(zone, label)| (label, f64::from(share(zone)) / f64::from(FULL_SHARE)))
        .collect();
    figures.labelled_gauge("lb_fleet_zone_share", "What the zone may get from this dispatcher.", &shares);
}

fn render_traffic(figures: &mut Figures, control_plane: &ControlPlane, drops: DatagramDrops) {
    let node = control_plane.node();
    let counters = node.counters();
    for (name, help, value) in [
        ("lb_fleet_frames_total", "Frames taken.", counters.frames),
        ("lb_fleet_dropped_total", "Frames of another cluster, damaged or too long.", counters.dropped),
        ("lb_fleet_strangers_total", "Datagrams from addresses of nobody.", drops.strangers),
        ("lb_fleet_stale_total", "Frames that came late or twice.", counters.stale),
        ("lb_fleet_unsent_total", "Datagrams that the system did not take.", drops.unsent),
        ("lb_fleet_sent_bytes_total", "Bytes sent to members.", counters.sent_bytes),
        ("lb_fleet_heard_bytes_total", "Bytes received from members.", counters.received_bytes),
        ("lb_fleet_decisions_total", "Decisions read.", counters.decisions),
        ("lb_fleet_proposed_total", "Decisions proposed here.", counters.proposed),
        ("lb_fleet_void_total", "Proposals that another was decided before.", node.superseded()),
    ] {
        figures.counter(name, help, value);
    }
}
