//! Message bodies generated from a seed, so that the receiver can compute what the sender should have sent.

use std::sync::OnceLock;

use xxhash_rust::xxh3::Xxh3;

/// Length in bytes of the block that every body repeats; the seed decides the offset at which a body starts
/// in it.
const BLOCK_BYTES: usize = 1 << 20;

fn block() -> &'static [u8] {
    static BYTES: OnceLock<Vec<u8>> = OnceLock::new();
    BYTES.get_or_init(|| {
        let mut state = 0x9e37_79b9_7f4a_7c15u64;
        let next = |_| {
            // xorshift64; nothing but an even spread of byte values is needed.
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state as u8
        };
        (0..BLOCK_BYTES).map(next).collect()
    })
}

/// A body that is generated from a seed.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    /// Decides the offset in the block at which the body starts.
    pub seed: u64,
    /// Length in bytes.
    pub size: u64,
}

impl Body {
    /// Returns at most `max` bytes of the body, from offset `at`. Fewer at the end of the body or of the
    /// block.
    pub fn slice(&self, at: u64, max: usize) -> &'static [u8] {
        let from = ((self.seed.wrapping_mul(7919) + at) % BLOCK_BYTES as u64) as usize;
        let left = usize::try_from(self.size - at).unwrap_or(usize::MAX);
        &block()[from..(from + max.min(left)).min(BLOCK_BYTES)]
    }

    /// Returns the xxh3 hash of the whole body.
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
