//! Low-discrepancy points: multiples of an irrational number modulo 1 (a Kronecker sequence) spread evenly
//! over [0, 1), however many of them are used.
//!
//! Dispatchers choose points by their numbers, which gives them different starting points without
//! communication.

/// The golden ratio minus one, whose multiples modulo 1 are spread most evenly.
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_75;

/// A prime near a thousand keeps the product precise enough. Ids are hashes, so their remainders are as good
/// as random.
const ENDPOINT_ID_MODULUS: u64 = 997;

/// Returns the point of an index.
pub(super) fn golden_ratio_point(index: f64) -> f64 {
    (index * GOLDEN_RATIO_CONJUGATE).fract()
}

/// Returns the point of a pair of a dispatcher and an endpoint. Uses the square root of 2, which is
/// unrelated to the golden ratio that determines the order of a dispatcher's turns.
pub(super) fn dispatcher_endpoint_point(dispatcher: u32, endpoint_id: u64) -> f64 {
    let endpoint_part = (endpoint_id % ENDPOINT_ID_MODULUS) as f64 * GOLDEN_RATIO_CONJUGATE;
    (f64::from(dispatcher) * std::f64::consts::SQRT_2 + endpoint_part).fract()
}
