//! Differences between two versions of a text, small enough for a datagram.

use std::collections::HashMap;

use compact_str::CompactString;
use sha2::Digest;
use sha2::Sha256;

use crate::log::keyed::Record;

/// Byte after which a text is divided into pieces; it ends the entries of a JSON list.
const PIECE_END: u8 = b'}';

/// Maximum size of a text that a patch may result in, as for configurations that peers send in full.
const MAX_TEXT_BYTES: usize = 16 << 20;

/// Part of a text, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// Bytes of the base.
    Copy {
        /// Position of the first one.
        from: usize,
        /// Number of bytes.
        length: usize,
    },
    /// Bytes that the base does not contain.
    Insert(Vec<u8>),
}

/// Difference from one text, the base, to another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Patch {
    /// Key of the record whose value is the text.
    pub key: CompactString,
    /// Digest of the base.
    pub base: u64,
    /// Parts of the other text.
    pub parts: Vec<Part>,
}

impl Patch {
    /// Returns the difference from `base` to the value of `record`; `None` if it has no value.
    ///
    /// ```
    /// use pistachiohall::follow::patch::Patch;
    /// use pistachiohall::log::keyed::Record;
    /// let record = Record { key: "k".into(), value: Some(b"[{a}, {b}, {c}]".to_vec()) };
    /// let patch = Patch::between(b"[{a}, {c}]", &record).unwrap();
    /// assert_eq!(patch.apply(b"[{a}, {c}]"), Some(record));
    /// assert_eq!(patch.apply(b"[{x}, {c}]"), None);
    /// ```
    pub fn between(base: &[u8], record: &Record) -> Option<Self> {
        let text = record.value.as_deref()?;
        let mut positions = HashMap::new();
        let mut position = 0;
        for piece in pieces(base) {
            positions.entry(piece).or_insert(position);
            position += piece.len();
        }
        let mut parts: Vec<Part> = Vec::new();
        for piece in pieces(text) {
            match parts.last_mut() {
                Some(Part::Copy { from, length }) if base[*from + *length..].starts_with(piece) => {
                    *length += piece.len();
                    continue;
                }
                Some(Part::Insert(bytes)) if !positions.contains_key(piece) => {
                    bytes.extend_from_slice(piece);
                    continue;
                }
                _ => (),
            }
            parts.push(match positions.get(piece) {
                Some(from) => Part::Copy {
                    from: *from,
                    length: piece.len(),
                },
                None => Part::Insert(piece.to_vec()),
            });
        }
        Some(Patch {
            key: record.key.clone(),
            base: digest(base),
            parts,
        })
    }

    /// Returns the record with the other text; `None` if `base` is not the text from which the patch was
    /// made, or the result would be too large.
    pub fn apply(&self, base: &[u8]) -> Option<Record> {
        if digest(base) != self.base {
            return None;
        }
        let mut text = Vec::with_capacity(base.len());
        for part in &self.parts {
            match part {
                Part::Copy { from, length } => {
                    let end = from.checked_add(*length)?;
                    if text.len() + length > MAX_TEXT_BYTES {
                        return None;
                    }
                    text.extend_from_slice(base.get(*from..end)?);
                }
                Part::Insert(bytes) => text.extend_from_slice(bytes),
            }
        }
        Some(Record {
            key: self.key.clone(),
            value: Some(text),
        })
    }
}

fn pieces(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|byte| *byte == PIECE_END)
}

/// Returns a digest that is equal in all builds.
fn digest(text: &[u8]) -> u64 {
    let digest = Sha256::digest(text);
    let first = digest.first_chunk().copied().unwrap_or_default();
    u64::from_be_bytes(first)
}
