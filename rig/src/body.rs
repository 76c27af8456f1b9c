//! Bodies made of a seed, so that either end knows what the other should have sent.

use std::sync::OnceLock;

use xxhash_rust::xxh3::Xxh3;

/// Bytes that a body repeats, from a place that its seed gives.
const BLOCK_BYTES: usize = 1 << 20;

fn block() -> &'static [u8] {
    static BYTES: OnceLock<Vec<u8>> = OnceLock::new();
    BYTES.get_or_init(|| {
        let mut state = 0x9e37_79b9_7f4a_7c15u64;
        let next = |_| {
            // xorshift64: spread bytes are all that is asked of it.
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state as u8
        };
        (0..BLOCK_BYTES).map(next).collect()
    })
}

/// A body of so many bytes.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    /// Where it starts.
    pub seed: u64,
    /// Its length in bytes.
    pub size: u64,
}

impl Body {
    /// A piece of `most` bytes at the most, from a place in the body on.
    pub fn slice(&self, at: u64, max: usize) -> &'static [u8] {
        let from = ((self.seed.wrapping_mul(7919) + at) % BLOCK_BYTES as u64) as usize;
        let left = usize::try_from(self.size - at).unwrap_or(usize::MAX);
        &block()[from..(from + max.min(left)).min(BLOCK_BYTES)]
    }

    /// Its hash.
    pub fn hash(&self) -> u64 {
        let (mut hash, mut at) = (Xxh3::new(), 0);
        while at < self.size {
            let part = self.slice(at, BLOCK_BYTES);
            hash.update(part);
            at += part.len() as u64;
        }
        hash.digest()
    }
}
