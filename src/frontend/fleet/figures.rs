//! The fleet's metrics, in the text exposition format. Metric names are part of the operators' interface.

use super::open_node::DatagramDrops;
use crate::control_plane::ControlPlane;
use crate::telemetry::{escape, write_metric};
use crate::zones::{AgreementStatus, FULL_SHARE};

/// Builds the text of the metrics.
#[derive(Default)]
struct MetricsText {
    text: String,
}

impl MetricsText {
    fn gauge(&mut self, name: &str, help: &str, value: f64) {
        write_metric(&mut self.text, name, "gauge", help, &[(String::new(), value)]);
    }

    fn labelled_gauge(&mut self, name: &str, help: &str, values: &[(String, f64)]) {
        write_metric(&mut self.text, name, "gauge", help, values);
    }

    fn counter(&mut self, name: &str, help: &str, value: u64) {
        write_metric(&mut self.text, name, "counter", help, &[(String::new(), value as f64)]);
    }
}

fn as_gauge(on: bool) -> f64 {
    f64::from(u8::from(on))
}

/// Renders the metric of whether this process holds the fleet's address.
pub(super) fn address_held(is_held: bool) -> String {
    let mut metrics = MetricsText::default();
    metrics.gauge("lb_fleet_open", "Whether this process holds the fleet's address.", as_gauge(is_held));
    metrics.text
}

/// Renders the number of reports lost because the channel to the fleet thread was full.
pub(super) fn lost_reports(count: u64) -> String {
    let mut metrics = MetricsText::default();
    metrics.counter("lb_fleet_lost_total", "Messages that the fleet's thread had no room for.", count);
    metrics.text
}

/// Renders all metrics of a member that holds its address.
pub(super) fn render(
    zone_names: &[String],
    control_plane: &ControlPlane,
    drops: DatagramDrops,
    now_ms: f64,
) -> String {
    let mut metrics = MetricsText { text: address_held(true) };
    render_agreement(&mut metrics, control_plane);
    render_zones(&mut metrics, zone_names, control_plane, now_ms);
    render_traffic(&mut metrics, control_plane, drops);
    metrics.text
}

fn render_agreement(metrics: &mut MetricsText, control_plane: &ControlPlane) {
    let node = control_plane.node();
    let epoch = control_plane.zones().newest_decision().epoch;
    let view = control_plane.zones().view();
    let status = view.map_or(AgreementStatus::Stale, |view| view.status) as u8;
    let alive = node.alive().iter().filter(|alive| **alive).count();
    metrics.gauge("lb_fleet_epoch", "The newest decision.", epoch as f64);
    let help = "0: follows a leader; 1: without news, keeps the last epoch; 2: alone.";
    metrics.gauge("lb_fleet_standing", help, f64::from(status));
    metrics.gauge("lb_fleet_members_up", "Members that are there.", alive as f64);
    metrics.gauge("lb_fleet_leads", "Whether it leads the consensus.", as_gauge(node.is_leader()));
    metrics.gauge("lb_fleet_votes", "Whether it votes.", as_gauge(node.is_voting() == Some(true)));
    let help = "Voters that follow it, itself among them; 0: no leader.";
    metrics.gauge("lb_fleet_followers", help, node.followers().len() as f64);
}

fn render_zones(metrics: &mut MetricsText, zone_names: &[String], control_plane: &ControlPlane, now_ms: f64) {
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
    metrics.labelled_gauge("lb_fleet_evidence", help, &seen);
    let table = &zones.newest_decision().table;
    let labels = || zone_names.iter().map(|zone| format!("{{zone=\"{}\"}}", escape(zone)));
    let states: Vec<_> =
        labels().zip(&table.zones).map(|(label, zone)| (label, f64::from(zone.state as u8))).collect();
    metrics.labelled_gauge("lb_fleet_zone_state", "0: open; 1: careful; 2: closed; 3: returning.", &states);
    let share = |zone: usize| zones.view().map_or(table.zones[zone].share, |view| view.shares[zone]);
    let shares: Vec<_> = labels()
        .enumerate()
        .map(|(zone, label)| (label, f64::from(share(zone)) / f64::from(FULL_SHARE)))
        .collect();
    metrics.labelled_gauge("lb_fleet_zone_share", "What the zone may get from this dispatcher.", &shares);
}

fn render_traffic(metrics: &mut MetricsText, control_plane: &ControlPlane, drops: DatagramDrops) {
    let node = control_plane.node();
    let counters = node.counters();
    for (name, help, value) in [
        ("lb_fleet_frames_total", "Frames taken.", counters.frames),
        ("lb_fleet_dropped_total", "Frames of another cluster, damaged or too long.", counters.dropped),
        ("lb_fleet_strangers_total", "Datagrams from addresses of nobody.", drops.unknown_senders),
        ("lb_fleet_stale_total", "Frames that came late or twice.", counters.stale),
        ("lb_fleet_unsent_total", "Datagrams that the system did not take.", drops.send_errors),
        ("lb_fleet_sent_bytes_total", "Bytes sent to members.", counters.sent_bytes),
        ("lb_fleet_heard_bytes_total", "Bytes received from members.", counters.received_bytes),
        ("lb_fleet_decisions_total", "Decisions read.", counters.decisions),
        ("lb_fleet_proposed_total", "Decisions proposed here.", counters.proposed),
        ("lb_fleet_void_total", "Proposals that another was decided before.", node.superseded()),
    ] {
        metrics.counter(name, help, value);
    }
}
