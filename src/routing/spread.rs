//! Points that spread evenly over [0, 1) for any number of them, made of multiples of an irrational number
//! (a Kronecker sequence).
//!
//! Dispatchers take them by their numbers, so that they start in different places without speaking to each
//! other.

/// The golden section, whose multiples spread most evenly.
const GOLDEN_SECTION: f64 = 0.618_033_988_75;

/// Primes near a thousand keep the product exact enough; ids are hashes, so that the rest is as good as
/// drawn.
const ENDPOINT_ID_MODULUS: u64 = 997;

/// The point of an index.
pub(super) fn golden_section_point(index: f64) -> f64 {
    (index * GOLDEN_SECTION).fract()
}

/// The point of a pair of a dispatcher and an endpoint. The root of 2 has nothing in common with the golden
/// section, by which dispatchers take their turns.
pub(super) fn pair_point(dispatcher: u32, endpoint_id: u64) -> f64 {
    let endpoint_part = (endpoint_id % ENDPOINT_ID_MODULUS) as f64 * GOLDEN_SECTION;
    (f64::from(dispatcher) * std::f64::consts::SQRT_2 + endpoint_part).fract()
}
