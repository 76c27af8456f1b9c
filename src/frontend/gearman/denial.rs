//! Denials: the warning by which a client learns that its job was rejected and may be submitted again.

use super::packets::kind;

/// Start of a denial, before the time after which the client may try again, in milliseconds.
const DENIAL_PREFIX: &str = "denied retry-after-ms=";

/// Returns the text of a denial. `retry_after_ms` of 0 is no advice.
pub(super) fn denial_text(retry_after_ms: f64) -> String {
    format!("{DENIAL_PREFIX}{}", retry_after_ms.ceil())
}

/// Whether a client would take a worker's packet for a denial of the job. `fields` begins with the handle.
pub(super) fn reads_as_denial(packet_kind: u32, fields: &[&[u8]]) -> bool {
    packet_kind == kind::WORK_WARNING
        && fields.get(1).is_some_and(|text| text.starts_with(DENIAL_PREFIX.as_bytes()))
}
