//! Metrics for operators, in the Prometheus text exposition format: counters that the core's stages update as
//! events happen, and gauges that are read when the metrics are requested. No I/O.

mod list_figures;

use std::fmt::Write;

pub use list_figures::ListFigures;

/// Kind of final answer to a job, as the metrics label it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The job was served with an endpoint's result.
    Completed,
    /// The job was rejected; retrying it is safe.
    Rejected,
    /// The job failed.
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

/// Gauges that are read when the metrics are requested.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Number of open jobs.
    pub pending: u64,
    /// Number of listed endpoints.
    pub members: u64,
    /// Number of listed endpoints that currently get no jobs.
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

/// Counters of one core, from 0 at the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Telemetry {
    /// Names of the classes by index; they are the values of the `lane` label.
    class_names: Vec<String>,
    /// Number of jobs with a final answer, by class and kind of answer.
    downstream: Vec<[u64; 3]>,
    /// Number of attempts whose request was written completely.
    upstream: u64,
}

impl Telemetry {
    /// Returns counters at 0 for classes with these names.
    pub fn new(class_names: Vec<String>) -> Telemetry {
        let downstream = vec![[0; 3]; class_names.len()];
        Telemetry { class_names, downstream, upstream: 0 }
    }

    /// Counts the final answer to a job of a class.
    pub fn record_answer(&mut self, class: usize, result: Disposition) {
        if let Some(counts) = self.downstream.get_mut(class) {
            counts[result as usize] += 1;
        }
    }

    /// Counts an attempt whose request was written completely to its endpoint.
    pub fn record_request_sent(&mut self) {
        self.upstream += 1;
    }

    /// Returns the number of jobs of a class with this kind of answer.
    pub fn downstream(&self, class: usize, result: Disposition) -> u64 {
        self.downstream.get(class).map_or(0, |counts| counts[result as usize])
    }

    /// Returns the number of attempts whose request was written completely.
    pub fn upstream(&self) -> u64 {
        self.upstream
    }
}

/// Renders the metrics of several cores, summed by class name.
pub fn render(cores: &[&Telemetry], gauges: Gauges) -> String {
    let mut classes: Vec<(&str, [u64; 3])> = Vec::new();
    for core in cores {
        for (name, counts) in core.class_names.iter().zip(&core.downstream) {
            match classes.iter_mut().find(|(n, _)| n == name) {
                Some((_, sum)) => (0..3).for_each(|i| sum[i] += counts[i]),
                None => classes.push((name, *counts)),
            }
        }
    }
    let mut text = String::new();
    text.push_str("# HELP lb_downstream_requests_total Client requests that had their final answer.\n");
    text.push_str("# TYPE lb_downstream_requests_total counter\n");
    for (class, counts) in &classes {
        for result in Disposition::ALL {
            let lane = escape(class);
            let count = counts[result as usize];
            let _ = writeln!(
                text,
                "lb_downstream_requests_total{{lane=\"{lane}\",result=\"{}\"}} {count}",
                result.name()
            );
        }
    }
    let upstream: u64 = cores.iter().map(|c| c.upstream).sum();
    let metrics = [
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
    for (name, kind, help, value) in metrics {
        write_metric(&mut text, name, kind, help, &[(String::new(), value as f64)]);
    }
    text
}

/// Appends a metric to `text`: its help, its type, and its values with their labels (`{name="value"}`, or an
/// empty string).
pub fn write_metric(text: &mut String, name: &str, kind: &str, help: &str, values: &[(String, f64)]) {
    let _ = write!(text, "# HELP {name} {help}\n# TYPE {name} {kind}\n");
    for (labels, value) in values {
        let _ = writeln!(text, "{name}{labels} {value}");
    }
}

/// Escapes backslash, quote and line feed in a label value.
pub(crate) fn escape(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
