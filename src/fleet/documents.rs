//! Documents that are too long for a decision. The log carries only a document's hash; its bytes are
//! transferred separately, in chunks that are requested one by one.
//!
//! This module owns the stored documents and the pending requests. The node does the sending: it sends the
//! `due_requests`, answers requests with `chunk`, and passes received chunks to `receive_chunk`. A document
//! is verified against its hash before it is stored.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::types::MemberId;

/// Identifies a document: the BLAKE3 hash of its bytes.
pub type DocumentHash = [u8; 32];

/// Maximum size of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 << 10;
/// Size of a chunk, in bytes. Together with its header it fits in a frame.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of stored documents, which bounds their memory to 2 MiB.
const MAX_STORED_DOCUMENTS: usize = 8;
/// Maximum number of documents requested at the same time.
const MAX_PENDING_DOCUMENTS: usize = 4;
/// Time after which another member is asked, in milliseconds: two ticks of the node.
const REQUEST_TIMEOUT_MS: f64 = 100.0;
/// Number of bytes of a hash that `short_hex` prints.
const SHORT_HASH_BYTES: usize = 6;

/// Returns the hash of a document.
pub fn hash(bytes: &[u8]) -> DocumentHash {
    *blake3::hash(bytes).as_bytes()
}

/// Returns the first bytes of a hash in hexadecimal, for logs.
pub fn short_hex(hash: &DocumentHash) -> String {
    hash[..SHORT_HASH_BYTES].iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A part of a document, as sent in frames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The hash of the document.
    pub hash: DocumentHash,
    /// Size of the whole document, in bytes.
    pub document_bytes: u32,
    /// The index of the chunk, from 0.
    pub index: u16,
    /// The content of the chunk.
    pub bytes: Vec<u8>,
}

/// A chunk to be requested from a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DueRequest {
    pub(super) member: MemberId,
    pub(super) hash: DocumentHash,
    pub(super) index: u16,
}

/// A requested document that is not complete.
struct PendingDocument {
    /// The document's size in bytes, once a chunk has stated it.
    length: Option<usize>,
    /// The received chunks, once the size is known.
    chunks: Vec<Option<Vec<u8>>>,
    last_request_ms: f64,
    requests: usize,
    /// A member that is believed to have the document.
    source: Option<MemberId>,
}

impl PendingDocument {
    fn new(source: Option<MemberId>) -> PendingDocument {
        PendingDocument {
            length: None,
            chunks: Vec::new(),
            last_request_ms: f64::NEG_INFINITY,
            requests: 0,
            source,
        }
    }

    /// Returns the member to ask next: on every other request `source`, otherwise all members in rotation.
    fn next_member(&self, alive: &[MemberId]) -> Option<MemberId> {
        let in_turn = alive.get(self.requests / 2 % alive.len().max(1)).copied();
        let source = self.source.filter(|source| self.requests.is_multiple_of(2) && alive.contains(source));
        source.or(in_turn)
    }

    /// Returns the indexes of the missing chunks; only the first while the size is not known.
    fn missing_chunks(&self) -> Vec<u16> {
        if self.length.is_none() {
            return vec![0];
        }
        let indexes = 0..self.chunks.len() as u16;
        indexes.filter(|index| self.chunks[usize::from(*index)].is_none()).collect()
    }

    /// Adds a chunk and returns whether the document now has all of its chunks. A chunk that does not fit the
    /// document is ignored.
    fn insert(&mut self, from: MemberId, chunk: Chunk) -> bool {
        let length = chunk.document_bytes as usize;
        if length > MAX_DOCUMENT_BYTES || self.length.is_some_and(|known| known != length) {
            return false;
        }
        if self.length.is_none() {
            self.length = Some(length);
            self.chunks = vec![None; length.div_ceil(CHUNK_BYTES).max(1)];
            // Makes the requests for the other chunks due at once.
            (self.last_request_ms, self.requests) = (f64::NEG_INFINITY, 0);
        }
        self.source = Some(from);
        let start = usize::from(chunk.index) * CHUNK_BYTES;
        let is_right_length = chunk.bytes.len() == length.saturating_sub(start).min(CHUNK_BYTES);
        match self.chunks.get_mut(usize::from(chunk.index)) {
            Some(slot) if is_right_length => *slot = Some(chunk.bytes),
            _ => return false,
        }
        self.chunks.iter().all(Option::is_some)
    }
}

struct StoredDocument {
    hash: DocumentHash,
    bytes: Arc<[u8]>,
}

/// The documents of a member.
#[derive(Default)]
pub(super) struct Documents {
    /// Ordered by last use, the least recently used document first.
    stored: VecDeque<StoredDocument>,
    pending: BTreeMap<DocumentHash, PendingDocument>,
}

impl Documents {
    /// Stores a document and returns its hash; `None` if it is longer than `MAX_DOCUMENT_BYTES`.
    pub(super) fn store(&mut self, bytes: &[u8]) -> Option<DocumentHash> {
        if bytes.len() > MAX_DOCUMENT_BYTES {
            return None;
        }
        let hash = hash(bytes);
        self.pending.remove(&hash);
        if self.get(&hash).is_none() {
            if self.stored.len() >= MAX_STORED_DOCUMENTS {
                self.stored.pop_front();
            }
            self.stored.push_back(StoredDocument { hash, bytes: bytes.into() });
        }
        Some(hash)
    }

    /// Returns a stored document and marks it as the most recently used one.
    pub(super) fn get(&mut self, hash: &DocumentHash) -> Option<Arc<[u8]>> {
        let position = self.stored.iter().position(|document| document.hash == *hash)?;
        let document = self.stored.remove(position)?;
        let bytes = Arc::clone(&document.bytes);
        self.stored.push_back(document);
        Some(bytes)
    }

    /// Requests a document until it arrives. `source` is a member expected to have it, which is asked first.
    /// Has no effect while `MAX_PENDING_DOCUMENTS` are requested.
    pub(super) fn request(&mut self, hash: DocumentHash, source: Option<MemberId>) {
        if self.pending.len() < MAX_PENDING_DOCUMENTS && self.get(&hash).is_none() {
            self.pending.entry(hash).or_insert_with(|| PendingDocument::new(source));
        }
    }

    /// Stops requesting a document.
    pub(super) fn cancel_request(&mut self, hash: &DocumentHash) {
        self.pending.remove(hash);
    }

    /// Returns the chunk requests that are due. `alive` lists the members that are up, without this one.
    pub(super) fn due_requests(&mut self, now_ms: f64, alive: &[MemberId]) -> Vec<DueRequest> {
        let mut requests = Vec::new();
        for (&hash, pending) in &mut self.pending {
            if now_ms < pending.last_request_ms + REQUEST_TIMEOUT_MS {
                continue;
            }
            let Some(member) = pending.next_member(alive) else { continue };
            (pending.last_request_ms, pending.requests) = (now_ms, pending.requests + 1);
            let missing = pending.missing_chunks();
            requests.extend(missing.into_iter().map(|index| DueRequest { member, hash, index }));
        }
        requests
    }

    /// Returns a chunk of a stored document.
    pub(super) fn chunk(&mut self, hash: &DocumentHash, index: u16) -> Option<Chunk> {
        let document = self.get(hash)?;
        let start = usize::from(index) * CHUNK_BYTES;
        let bytes = document.get(start..document.len().min(start + CHUNK_BYTES))?.to_vec();
        Some(Chunk { hash: *hash, document_bytes: document.len() as u32, index, bytes })
    }

    /// Handles a received chunk. Returns true if it completes its document. A completed document whose hash
    /// does not match is requested again from the start.
    pub(super) fn receive_chunk(&mut self, from: MemberId, chunk: Chunk) -> bool {
        let hash = chunk.hash;
        let Some(pending) = self.pending.get_mut(&hash) else { return false };
        if !pending.insert(from, chunk) {
            return false;
        }
        let bytes: Vec<u8> = pending.chunks.drain(..).flatten().flatten().collect();
        if self::hash(&bytes) == hash {
            self.store(&bytes);
            return true;
        }
        pending.length = None;
        false
    }
}
