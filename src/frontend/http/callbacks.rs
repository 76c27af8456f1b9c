//! Call-backs: what booking workers tell of the jobs that they took.

use super::HttpFrontend;
use crate::json::{self, JsonValue, field, text};
use crate::routing::{LoadReport, Outcome};

/// What a call is to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Called {
    /// It does not read.
    Malformed,
    /// It is of a job of this process. What is repeated or late is acknowledged all the same, since the caller
    /// would only try again.
    Taken,
    /// This process has no such job.
    Unknown,
}

impl HttpFrontend {
    /// Reads one call.
    pub(super) fn call_back(&mut self, body: &[u8]) -> Called {
        let Ok(call) = json::parse(body) else { return Called::Malformed };
        let (Some(id), Some(from), Some(state)) =
            (text(&call, "id"), text(&call, "from"), text(&call, "state"))
        else {
            return Called::Malformed;
        };
        // Guards against a late call from a dispatch that was given up: both the id and the sender must match
        // a dispatch that is still out.
        let server = self.core.endpoints().id(from);
        let Some(session) = self.ids.get(id).copied() else { return Called::Unknown };
        let Some(attempt) = server.and_then(|server| {
            let dispatches = &self.core.job(session)?.attempts;
            dispatches.iter().rposition(|d| d.is_open && d.endpoint == server)
        }) else {
            return Called::Taken;
        };
        let outcome = match state {
            "started" => {
                self.core.on_attempt_started(session, attempt);
                return Called::Taken;
            }
            "done" => Outcome::Served,
            "failed" => Outcome::Error,
            "returned" => Outcome::Full,
            "lost" => Outcome::Reset,
            _ => return Called::Taken,
        };
        let report = field(&call, "load").map_or(LoadReport::default(), |load| self.load(load));
        let result = match field(&call, "result") {
            Some(JsonValue::String(result)) => result.clone().into_bytes(),
            Some(other) => other.stringify().unwrap_or_default().into_bytes(),
            None => Vec::new(),
        };
        // The answer to the dispatch itself may be on its way yet: its connection waits for that.
        self.detach((session, attempt));
        self.core.on_attempt_ended(session, attempt, outcome, report, result);
        Called::Taken
    }

    /// A load report that is a JSON object.
    pub(super) fn load(&self, load: &JsonValue) -> LoadReport {
        let Some(fields) = load.get::<std::collections::HashMap<String, JsonValue>>() else {
            return LoadReport::default();
        };
        let numbers = fields.iter().filter_map(|(name, v)| Some((name.as_str(), *v.get::<f64>()?)));
        self.core.site().named_report(numbers)
    }

    /// A load report in the form `inflight=7,queue=2`.
    pub(super) fn load_text(&self, text: &str) -> LoadReport {
        let pair = |pair: &'_ str| {
            let (name, value) = pair.split_once('=')?;
            Some((name.trim().to_string(), value.trim().parse().ok()?))
        };
        let pairs: Vec<(String, f64)> = text.split(',').filter_map(pair).collect();
        self.core.site().named_report(pairs.iter().map(|(name, value)| (name.as_str(), *value)))
    }
}
