//! Callbacks: what endpoints tell of the jobs that they took, and the forms of their load reports.

use super::HttpFrontend;
use super::upstream::AttemptId;
use crate::json::{self, JsonValue, field, text};
use crate::routing::{JobId, LoadReport, Outcome};

/// What a callback is to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallbackResult {
    /// It does not read.
    Malformed,
    /// It is of a job of this process. What is repeated or late is acknowledged all the same, since its sender would only
    /// try again.
    Accepted,
    /// This process has no such job.
    Unknown,
}

impl HttpFrontend {
    /// Takes a callback.
    pub(super) fn on_callback(&mut self, body: &[u8]) -> CallbackResult {
        let Ok(callback) = json::parse(body) else { return CallbackResult::Malformed };
        let (Some(id), Some(from), Some(state)) =
            (text(&callback, "id"), text(&callback, "from"), text(&callback, "state"))
        else {
            return CallbackResult::Malformed;
        };
        let Some(job) = self.jobs_by_request_id.get(id).copied() else { return CallbackResult::Unknown };
        if let Some(attempt) = self.open_attempt_at(job, from) {
            self.on_job_event(attempt, state, &callback);
        }
        CallbackResult::Accepted
    }

    /// The open attempt of a job at an endpoint. Guards against a late callback of an attempt that was cancelled: both the job
    /// and the sender must match an attempt that is still open.
    fn open_attempt_at(&self, job: JobId, endpoint_name: &str) -> Option<AttemptId> {
        let endpoint = self.core.endpoints().id(endpoint_name)?;
        let attempts = &self.core.job(job)?.attempts;
        let number = attempts.iter().rposition(|attempt| attempt.is_open && attempt.endpoint == endpoint)?;
        Some(AttemptId { job, number })
    }

    /// An endpoint tells what has become of an attempt. A state that is not known changes nothing.
    fn on_job_event(&mut self, id: AttemptId, state: &str, callback: &JsonValue) {
        let outcome = match state {
            "started" => return self.core.on_attempt_started(id.job, id.number),
            "done" => Outcome::Served,
            "failed" => Outcome::Error,
            "returned" => Outcome::Full,
            "lost" => Outcome::Reset,
            _ => return,
        };
        let load = field(callback, "load");
        let report = load.map_or(LoadReport::default(), |load| self.load_from_json(load));
        let result = match field(callback, "result") {
            Some(JsonValue::String(result)) => result.clone().into_bytes(),
            Some(other) => other.stringify().unwrap_or_default().into_bytes(),
            None => Vec::new(),
        };
        // The response to the attempt itself may be on its way yet: its connection waits for that.
        self.detach(id);
        self.core.on_attempt_ended(id.job, id.number, outcome, report, result);
    }

    /// A load report that is a JSON object.
    pub(super) fn load_from_json(&self, load: &JsonValue) -> LoadReport {
        let Some(fields) = load.get::<std::collections::HashMap<String, JsonValue>>() else {
            return LoadReport::default();
        };
        let numbers = fields.iter().filter_map(|(name, value)| Some((name.as_str(), *value.get::<f64>()?)));
        self.core.site().named_report(numbers)
    }

    /// A load report in the form `inflight=7,queue=2`.
    pub(super) fn load_from_text(&self, text: &str) -> LoadReport {
        let number = |pair: &str| {
            let (name, value) = pair.split_once('=')?;
            Some((name.trim().to_string(), value.trim().parse().ok()?))
        };
        let numbers: Vec<(String, f64)> = text.split(',').filter_map(number).collect();
        self.core.site().named_report(numbers.iter().map(|(name, value)| (name.as_str(), *value)))
    }
}
