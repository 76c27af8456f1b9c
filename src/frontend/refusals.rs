//! Refusals: responses of endpoints that tell a client that its request may be sent again.
//!
//! Clients take 429 and 503 as "not run, or harmless to run again", whoever has sent them. Of an endpoint's
//! responses, only one with `Srv-Declined: 1` proves that the request never ran.

use crate::net::http::{Headers, header_value};

/// The status that turns away a client or tenant that sends too many requests.
pub const TOO_MANY_REQUESTS: u16 = 429;
/// The status of an overloaded or unavailable server.
pub const SERVICE_UNAVAILABLE: u16 = 503;

/// Whether clients take a response with this status as a refusal, and send the request again.
pub fn is_refusal(status: u16) -> bool {
    matches!(status, TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE)
}

/// Whether a response proves that the endpoint never ran the request.
pub fn proves_never_ran(status: u16, headers: &Headers) -> bool {
    matches!(status, SERVICE_UNAVAILABLE | 504) && header_value(headers, "srv-declined") == Some("1")
}
