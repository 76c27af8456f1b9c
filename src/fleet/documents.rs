//! Documents that are too long for a decision: the log has a document's hash, and its bytes travel apart, in chunks that
//! are requested one by one.
//!
//! It owns the documents that are here and the requests for those that are not. It leaves the sending to the node, which
//! asks for `due_requests`, serves `chunk` and passes on what it receives to `receive_chunk`. A document is checked
//! against its hash before it is stored.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::types::MemberId;

/// A document's name: the BLAKE3 hash of its bytes.
pub type DocumentHash = [u8; 32];

/// Longest document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 << 10;
/// Length of a chunk, in bytes: with its header it fits a frame.
const CHUNK_BYTES: usize = 16 << 10;
/// Documents that are stored: bounds the memory to 2 MiB.
const MAX_STORED_DOCUMENTS: usize = 8;
/// Documents that are requested at a time.
const MAX_PENDING_DOCUMENTS: usize = 4;
/// Time after which another member is asked, in milliseconds: two ticks of the node.
const REQUEST_TIMEOUT_MS: f64 = 100.0;
/// Bytes of a hash that `short` writes out.
const SHORT_HASH_BYTES: usize = 6;

/// The hash of a document.
pub fn hash(bytes: &[u8]) -> DocumentHash {
    *blake3::hash(bytes).as_bytes()
}

/// The beginning of a hash in hexadecimal, for people.
pub fn short(hash: &DocumentHash) -> String {
    hash[..SHORT_HASH_BYTES].iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A part of a document, as frames carry it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The document.
    pub hash: DocumentHash,
    /// Length of the document, in bytes.
    pub document_bytes: u32,
    /// The chunk's place in the document, from 0.
    pub index: u16,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// A chunk that is to be requested of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DueRequest {
    pub(super) member: MemberId,
    pub(super) hash: DocumentHash,
    pub(super) index: u16,
}

/// A document on its way here.
struct PendingDocument {
    /// Its length in bytes, once a chunk has named it.
    length: Option<usize>,
    /// Its chunks, once the length is known.
    chunks: Vec<Option<Vec<u8>>>,
    last_request_ms: f64,
    requests: usize,
    /// A member that has it, as far as is known.
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

    /// Whom to ask next: every other time a member that should have it, else all in turn.
    fn next_member(&self, alive: &[MemberId]) -> Option<MemberId> {
        let in_turn = alive.get(self.requests / 2 % alive.len().max(1)).copied();
        let source = self.source.filter(|source| self.requests.is_multiple_of(2) && alive.contains(source));
        source.or(in_turn)
    }

    /// The chunks that are missing; the first alone while the length is not known.
    fn missing_chunks(&self) -> Vec<u16> {
        if self.length.is_none() {
            return vec![0];
        }
        let indexes = 0..self.chunks.len() as u16;
        indexes.filter(|index| self.chunks[usize::from(*index)].is_none()).collect()
    }

    /// Adds a chunk; one that does not fit the document is ignored. Whether all chunks are here after it.
    fn insert(&mut self, from: MemberId, chunk: Chunk) -> bool {
        let length = chunk.document_bytes as usize;
        if length > MAX_DOCUMENT_BYTES || self.length.is_some_and(|known| known != length) {
            return false;
        }
        if self.length.is_none() {
            self.length = Some(length);
            self.chunks = vec![None; length.div_ceil(CHUNK_BYTES).max(1)];
            // The other chunks are requested at once.
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
    /// The least recently used one first.
    stored: VecDeque<StoredDocument>,
    pending: BTreeMap<DocumentHash, PendingDocument>,
}

impl Documents {
    /// Stores a document, and gives its hash; none where it is longer than `MAX_DOCUMENT_BYTES`.
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

    /// A document that is here. It becomes the most recently used one.
    pub(super) fn get(&mut self, hash: &DocumentHash) -> Option<Arc<[u8]>> {
        let position = self.stored.iter().position(|document| document.hash == *hash)?;
        let document = self.stored.remove(position)?;
        let bytes = Arc::clone(&document.bytes);
        self.stored.push_back(document);
        Some(bytes)
    }

    /// Has a document requested until it is here, first of a member that should have it. Without effect while
    /// `MAX_PENDING_DOCUMENTS` are requested.
    pub(super) fn request(&mut self, hash: DocumentHash, source: Option<MemberId>) {
        if self.pending.len() < MAX_PENDING_DOCUMENTS && self.get(&hash).is_none() {
            self.pending.entry(hash).or_insert_with(|| PendingDocument::new(source));
        }
    }

    /// Requests a document no more.
    pub(super) fn cancel_request(&mut self, hash: &DocumentHash) {
        self.pending.remove(hash);
    }

    /// The chunks to request now, of `alive`: the members that are up, without this one.
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

    /// A chunk of a document that is here.
    pub(super) fn chunk(&mut self, hash: &DocumentHash, index: u16) -> Option<Chunk> {
        let document = self.get(hash)?;
        let start = usize::from(index) * CHUNK_BYTES;
        let bytes = document.get(start..document.len().min(start + CHUNK_BYTES))?.to_vec();
        Some(Chunk { hash: *hash, document_bytes: document.len() as u32, index, bytes })
    }

    /// A chunk was received. True where its document is complete now. A document with another hash than its name is
    /// requested anew.
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
