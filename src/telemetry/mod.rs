//! Figures for operators: counters fed by the core's stages where each event happens, and gauges read when the
//! figures are asked for, written in the Prometheus text exposition format. No I/O.

mod list_figures;

use std::fmt::Write;

pub use list_figures::ListFigures;

/// How a session ended, as the figures name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Served with a backend server's result.
    Completed,
    /// Denied: refused, harmless to try again.
    Rejected,
    /// Failed.
    Failed,
}

impl Disposition {
    const ALL: [Disposition; 3] = [Disposition::Completed, Disposition::Rejected, Disposition::Failed];

    fn name(self) -> &'static str {
        match self {
            Disposition::Completed => "completed",
            Disposition::Rejected => "rejected",
            Disposition::Failed => "failed",
        }
    }
}

/// What is read when the figures are asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Sessions taken and not ended.
    pub pending: u64,
    /// Backend servers on the list.
    pub members: u64,
    /// Listed backend servers that are avoided now.
    pub members_unavailable: u64,
}

impl std::ops::Add for Gauges {
    type Output = Gauges;
    fn add(self, other: Gauges) -> Gauges {
        Gauges {
            pending: self.pending + other.pending,
            members: self.members + other.members,
            members_unavailable: self.members_unavailable + other.members_unavailable,
        }
    }
}

/// The counters of one core, from 0 at the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Telemetry {
    /// The lanes (classes) by index, as the settings name them.
    lanes: Vec<String>,
    /// Sessions ended, by lane and result.
    downstream: Vec<[u64; 3]>,
    /// Dispatches whose request was written whole to a backend server.
    upstream: u64,
}

impl Telemetry {
    /// Counters at 0 for these lanes.
    pub fn new(lanes: Vec<String>) -> Telemetry {
        let downstream = vec![[0; 3]; lanes.len()];
        Telemetry { lanes, downstream, upstream: 0 }
    }

    /// A session of a lane has had its final answer.
    pub fn record_answer(&mut self, lane: usize, result: Disposition) {
        if let Some(row) = self.downstream.get_mut(lane) {
            row[result as usize] += 1;
        }
    }

    /// A dispatch's request was written whole to its backend server.
    pub fn record_request_sent(&mut self) {
        self.upstream += 1;
    }

    /// Sessions of a lane that ended so.
    pub fn downstream(&self, lane: usize, result: Disposition) -> u64 {
        self.downstream.get(lane).map_or(0, |row| row[result as usize])
    }

    /// Dispatches written whole.
    pub fn upstream(&self) -> u64 {
        self.upstream
    }
}

/// The figures of several cores, summed by lane name, in the text exposition format.
pub fn render(cores: &[&Telemetry], gauges: Gauges) -> String {
    let mut lanes: Vec<(&str, [u64; 3])> = Vec::new();
    for core in cores {
        for (name, row) in core.lanes.iter().zip(&core.downstream) {
            match lanes.iter_mut().find(|(n, _)| n == name) {
                Some((_, sum)) => (0..3).for_each(|i| sum[i] += row[i]),
                None => lanes.push((name, *row)),
            }
        }
    }
    let mut text = String::new();
    text.push_str("# HELP lb_downstream_requests_total Client requests that had their final answer.\n");
    text.push_str("# TYPE lb_downstream_requests_total counter\n");
    for (lane, row) in &lanes {
        for result in Disposition::ALL {
            let lane = escape(lane);
            let count = row[result as usize];
            let _ = writeln!(
                text,
                "lb_downstream_requests_total{{lane=\"{lane}\",result=\"{}\"}} {count}",
                result.name()
            );
        }
    }
    let upstream: u64 = cores.iter().map(|c| c.upstream).sum();
    let rows = [
        ("lb_upstream_requests_total", "counter", "Requests written whole to backend servers.", upstream),
        ("lb_pending", "gauge", "Requests taken and not ended.", gauges.pending),
        ("lb_members", "gauge", "Backend servers on the list.", gauges.members),
        (
            "lb_members_unavailable",
            "gauge",
            "Listed backend servers that are avoided now.",
            gauges.members_unavailable,
        ),
    ];
    for (name, kind, help, value) in rows {
        write_metric(&mut text, name, kind, help, &[(String::new(), value as f64)]);
    }
    text
}

/// Adds a figure: its help, its kind, and its values by their labels (`{name="value"}`, or nothing).
pub fn write_metric(text: &mut String, name: &str, kind: &str, help: &str, values: &[(String, f64)]) {
    let _ = write!(text, "# HELP {name} {help}\n# TYPE {name} {kind}\n");
    for (labels, value) in values {
        let _ = writeln!(text, "{name}{labels} {value}");
    }
}

/// A label value as the format has it: backslash, quote and line feed escaped.
pub(crate) fn escape(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
