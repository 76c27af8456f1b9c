//! The frontend's own responses to requests that it does not forward, or whose attempts have failed.

use crate::flow::AdmissionError;
use crate::frontend::refusals::SERVICE_UNAVAILABLE;
use crate::net::body::BodyError;
use crate::net::http::MessageError;

/// Why the frontend responds to a request itself.
///
/// A client sends a request again that was answered with 503. So `Stopping`, `AtLimit` and `Denied` are only
/// for requests that never ran, or that may run twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Rejection {
    /// The head is malformed, too large or of an unsupported form.
    UnreadableHead(MessageError),
    /// The head was not complete in time.
    SlowHead,
    /// No class has the name in the path.
    UnknownClass,
    /// The method is not forwarded.
    MethodNotAllowed,
    /// The body is malformed, or ends too early.
    MalformedBody,
    /// The body is longer than its class allows.
    BodyTooLong,
    /// The client sends the body too slowly.
    SlowBody,
    /// The program stops and takes no new requests.
    Stopping,
    /// A limit on concurrent streams is reached.
    AtLimit {
        /// The limit.
        limit: AdmissionError,
        /// Suggested delay before a retry, in milliseconds; 0 for no suggestion.
        retry_after_ms: f64,
    },
    /// The core has rejected the job, or the request was never submitted to it.
    Denied {
        /// Suggested delay before a retry, in milliseconds; 0 for no suggestion.
        retry_after_ms: f64,
    },
    /// The request may have run, and has no response.
    Failed,
}

impl Rejection {
    /// Returns the status of the response.
    pub(super) fn status(self) -> u16 {
        match self {
            Rejection::UnreadableHead(MessageError::Malformed) | Rejection::MalformedBody => 400,
            Rejection::UnknownClass => 404,
            Rejection::MethodNotAllowed => 405,
            Rejection::SlowHead | Rejection::SlowBody => 408,
            Rejection::UnreadableHead(MessageError::TooLarge) | Rejection::BodyTooLong => 413,
            Rejection::UnreadableHead(MessageError::Unsupported) => 501,
            Rejection::Failed => 502,
            Rejection::Stopping | Rejection::AtLimit { .. } | Rejection::Denied { .. } => SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the body of the response.
    pub(super) fn text(self) -> String {
        let text = match self {
            Rejection::UnreadableHead(_) => "the request does not read",
            Rejection::SlowHead => "the request's head took too long",
            Rejection::UnknownClass => "no such class",
            Rejection::MethodNotAllowed => "no such method here",
            Rejection::MalformedBody => "the body does not read",
            Rejection::BodyTooLong => "the body is longer than its class allows",
            Rejection::SlowBody => "too slow",
            Rejection::Stopping => "stopping",
            Rejection::AtLimit { limit, .. } => return format!("{limit}\n"),
            Rejection::Denied { .. } => "denied",
            Rejection::Failed => "failed",
        };
        format!("{text}\n")
    }

    /// Returns the suggested delay before a retry, in milliseconds, if there is one.
    pub(super) fn retry_after_ms(self) -> Option<f64> {
        match self {
            Rejection::AtLimit { retry_after_ms, .. } | Rejection::Denied { retry_after_ms } => {
                Some(retry_after_ms).filter(|&delay_ms| delay_ms > 0.0)
            }
            _ => None,
        }
    }
}

impl From<BodyError> for Rejection {
    fn from(error: BodyError) -> Rejection {
        match error {
            BodyError::TooLong => Rejection::BodyTooLong,
            _ => Rejection::MalformedBody,
        }
    }
}
