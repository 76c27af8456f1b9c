//! Refusals: responses that tell a client that its request may be sent again.
//!
//! A client takes 429 and 503 as "not run, or harmless to run again", whoever has sent them. Of an endpoint's
//! responses, only one that carries `Srv-Declined: 1` proves that the request never ran.

/// Whether clients take a response with this status as a refusal, and send its request again.
pub fn is_refusal(status: u16) -> bool {
    matches!(status, 429 | 503)
}
