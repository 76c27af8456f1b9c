//! Callbacks: job events that endpoints send, and the formats of their load reports.

use super::HttpFrontend;
use super::upstream::AttemptId;
use crate::json::{self, JsonValue, field, text};
use crate::routing::{JobId, LoadReport, Outcome};

/// Result of processing a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallbackResult {
    /// The callback is malformed.
    Malformed,
    /// The callback is for a job of this process. Duplicate or late callbacks are acknowledged as well, since
    /// their sender would only retry.
    Accepted,
    /// This process has no such job.
    Unknown,
}

impl HttpFrontend {
    /// Processes the body of a callback.
    pub(super) fn on_callback(&mut self, body: &[u8]) -> CallbackResult {
        let Ok(callback) = json::parse(body) else { return CallbackResult::Malformed };
        let (Some(id), Some(from), Some(state)) =
            (text(&callback, "id"), text(&callback, "from"), text(&callback, "state"))
        else {
            return CallbackResult::Malformed;
        };
        let Some(job) = self.jobs_by_request_id.get(id).copied() else { return CallbackResult::Unknown };
        if let Some(attempt) = self.open_attempt_at(job, from) {
            self.core.expect_late_reports(attempt.job, attempt.number);
            self.on_job_event(attempt, state, &callback);
        } else {
            self.core.on_stray_report();
        }
        CallbackResult::Accepted
    }

    /// Returns the open attempt of a job at an endpoint. Both the job and the sender must match an open
    /// attempt, so that a late callback of an ended attempt is ignored. A callback names no attempt: that it
    /// belongs to the one found here relies on `Core::expect_late_reports`, which keeps a job from endpoints
    /// that may still report an earlier attempt.
    fn open_attempt_at(&self, job: JobId, endpoint_name: &str) -> Option<AttemptId> {
        let endpoint = self.core.endpoints().id(endpoint_name)?;
        let attempts = &self.core.job(job)?.attempts;
        let number = attempts.iter().rposition(|attempt| attempt.is_open && attempt.endpoint == endpoint)?;
        Some(AttemptId { job, number })
    }

    /// Handles an event of an attempt. An unknown state is ignored.
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
        // The response to the attempt's request may still be outstanding; its connection continues to wait
        // for it.
        self.detach(id);
        self.core.on_attempt_ended(id.job, id.number, outcome, report, result);
    }

    /// Parses a load report given as a JSON object.
    pub(super) fn load_from_json(&self, load: &JsonValue) -> LoadReport {
        let Some(fields) = load.get::<std::collections::HashMap<String, JsonValue>>() else {
            return LoadReport::default();
        };
        let numbers = fields.iter().filter_map(|(name, value)| Some((name.as_str(), *value.get::<f64>()?)));
        self.core.site().named_report(numbers)
    }

    /// Parses a load report of the form `inflight=7,queue=2`.
    pub(super) fn load_from_text(&self, text: &str) -> LoadReport {
        let number = |pair: &str| {
            let (name, value) = pair.split_once('=')?;
            Some((name.trim().to_string(), value.trim().parse().ok()?))
        };
        let numbers: Vec<(String, f64)> = text.split(',').filter_map(number).collect();
        self.core.site().named_report(numbers.iter().map(|(name, value)| (name.as_str(), *value)))
    }
}
