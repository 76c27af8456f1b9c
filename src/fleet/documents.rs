//! Documents that are too long for a decision: the log carries a document's hash, and its bytes travel apart, in pieces
//! that are asked for one by one and checked as a whole.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::MemberId;

/// A document's name: the BLAKE3 hash of its bytes.
pub type DocumentHash = [u8; 32];

/// Longest document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 << 10;
/// Bytes of a piece: a few of them and their frame fit a datagram.
const PIECE: usize = 16 << 10;
/// Documents that are kept.
const KEPT: usize = 8;
/// Documents that are asked for at once.
const WANTED: usize = 4;
/// After so long without an answer another member is asked, in milliseconds.
const AGAIN: f64 = 100.0;

/// A document's name.
pub fn hash(bytes: &[u8]) -> DocumentHash {
    *blake3::hash(bytes).as_bytes()
}

/// The beginning of a name, for people.
pub fn short(hash: &DocumentHash) -> String {
    hash[..6].iter().map(|byte| format!("{byte:02x}")).collect()
}

struct Wanted {
    /// Its length, once a piece has told it.
    length: Option<usize>,
    pieces: Vec<Option<Vec<u8>>>,
    asked: f64,
    tries: usize,
    /// A member that has it, as far as is known.
    source: Option<MemberId>,
}

/// The documents of a member.
#[derive(Default)]
pub struct Documents {
    kept: VecDeque<(DocumentHash, Arc<[u8]>)>,
    wanted: BTreeMap<DocumentHash, Wanted>,
}

impl Documents {
    /// Keeps a document, and gives its name; none where it is too long.
    pub fn keep(&mut self, bytes: &[u8]) -> Option<DocumentHash> {
        if bytes.len() > MAX_DOCUMENT_BYTES {
            return None;
        }
        let hash = hash(bytes);
        self.wanted.remove(&hash);
        if self.get(&hash).is_none() {
            if self.kept.len() >= KEPT {
                self.kept.pop_front();
            }
            self.kept.push_back((hash, bytes.into()));
        }
        Some(hash)
    }

    /// A document that is here. What is asked for stays longest.
    pub fn get(&mut self, hash: &DocumentHash) -> Option<Arc<[u8]>> {
        let at = self.kept.iter().position(|(kept, _)| kept == hash)?;
        let document = self.kept.remove(at)?;
        let bytes = Arc::clone(&document.1);
        self.kept.push_back(document);
        Some(bytes)
    }

    /// Has a document asked for until it is here, first of a member that should have it.
    pub fn want(&mut self, hash: DocumentHash, source: Option<MemberId>) {
        if self.wanted.len() < WANTED && self.get(&hash).is_none() {
            let (length, pieces, asked) = (None, Vec::new(), f64::NEG_INFINITY);
            self.wanted.entry(hash).or_insert(Wanted { length, pieces, asked, tries: 0, source });
        }
    }

    /// Gives a document up.
    pub fn forget(&mut self, hash: &DocumentHash) {
        self.wanted.remove(hash);
    }

    /// What to ask by now, of whom: `there` are the members that are there, but for this one.
    pub fn due(&mut self, now: f64, there: &[MemberId]) -> Vec<(MemberId, DocumentHash, u16)> {
        let mut asks = Vec::new();
        for (hash, wanted) in self.wanted.iter_mut().filter(|(_, w)| now >= w.asked + AGAIN) {
            let next = there.get(wanted.tries / 2 % there.len().max(1)).copied();
            // Every other time the one that should have it.
            let source = wanted.source.filter(|source| wanted.tries % 2 == 0 && there.contains(source));
            let Some(member) = source.or(next) else { continue };
            (wanted.asked, wanted.tries) = (now, wanted.tries + 1);
            let missing: Vec<u16> = match wanted.length {
                None => vec![0],
                Some(_) => (0..wanted.pieces.len() as u16)
                    .filter(|at| wanted.pieces[usize::from(*at)].is_none())
                    .collect(),
            };
            asks.extend(missing.into_iter().map(|at| (member, *hash, at)));
        }
        asks
    }

    /// A piece of a document that is here: the document's length, and its bytes.
    pub fn piece(&mut self, hash: &DocumentHash, at: u16) -> Option<(u32, Vec<u8>)> {
        let document = self.get(hash)?;
        let from = usize::from(at) * PIECE;
        let bytes = document.get(from..document.len().min(from + PIECE))?;
        Some((document.len() as u32, bytes.to_vec()))
    }

    /// A piece has come. True where the document is whole now; one that is not what its name says begins anew.
    pub fn take(
        &mut self,
        from: MemberId,
        hash: &DocumentHash,
        length: u32,
        at: u16,
        bytes: Vec<u8>,
    ) -> bool {
        let Some(wanted) = self.wanted.get_mut(hash) else { return false };
        let length = length as usize;
        if length > MAX_DOCUMENT_BYTES || wanted.length.is_some_and(|known| known != length) {
            return false;
        }
        if wanted.length.is_none() {
            wanted.length = Some(length);
            wanted.pieces = vec![None; length.div_ceil(PIECE).max(1)];
            (wanted.asked, wanted.tries) = (f64::NEG_INFINITY, 0);
        }
        wanted.source = Some(from);
        let begins = usize::from(at) * PIECE;
        let fits = bytes.len() == length.saturating_sub(begins).min(PIECE);
        match wanted.pieces.get_mut(usize::from(at)) {
            Some(piece) if fits => *piece = Some(bytes),
            _ => return false,
        }
        if wanted.pieces.iter().any(Option::is_none) {
            return false;
        }
        let whole: Vec<u8> = wanted.pieces.drain(..).flatten().flatten().collect();
        if self::hash(&whole) == *hash {
            self.keep(&whole);
            return true;
        }
        wanted.length = None;
        false
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn carry(from: &mut Documents, to: &mut Documents, now: f64) -> bool {
        let mut whole = false;
        for (_, hash, at) in to.due(now, &[1]) {
            if let Some((length, bytes)) = from.piece(&hash, at) {
                whole |= to.take(1, &hash, length, at, bytes);
            }
        }
        whole
    }

    #[test]
    fn a_document_of_many_pieces_comes_whole_or_not_at_all() {
        let (mut from, mut to) = (Documents::default(), Documents::default());
        let bytes: Vec<u8> = (0..100_000u32).map(|n| (n / 7) as u8).collect();
        let hash = from.keep(&bytes).unwrap();
        to.want(hash, None);
        assert!(!carry(&mut from, &mut to, 0.0), "the first piece tells the length");
        // Damage on the way: a piece of the right length with another content.
        let (length, mut piece) = from.piece(&hash, 3).unwrap();
        piece[7] ^= 1;
        assert!(!to.take(1, &hash, length, 3, piece));
        assert!(!carry(&mut from, &mut to, 1000.0), "what is damaged is noticed, and begun anew");
        assert!(to.get(&hash).is_none());
        assert!((2..6).any(|turn| carry(&mut from, &mut to, f64::from(turn) * 1000.0)));
        assert_eq!(to.get(&hash).as_deref(), Some(&bytes[..]));
        assert!(from.keep(&vec![0; MAX_DOCUMENT_BYTES + 1]).is_none(), "too long");
    }

    #[test]
    fn an_empty_document_and_one_of_an_exact_number_of_pieces_come_as_well() {
        for length in [0, PIECE, 2 * PIECE] {
            let (mut from, mut to) = (Documents::default(), Documents::default());
            let hash = from.keep(&vec![9; length]).unwrap();
            to.want(hash, None);
            assert!((0..4).any(|turn| carry(&mut from, &mut to, f64::from(turn) * 1000.0)), "{length} bytes");
        }
    }
}
