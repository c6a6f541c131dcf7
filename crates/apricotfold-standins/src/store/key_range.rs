//! Ranges of keys as the protocol writes them.

use std::ops::Bound;

use bytes::Bytes;

/// One key, or the keys from a first key up to an end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyRange {
    /// Exactly one key.
    One(Bytes),
    /// Keys from the first, inclusive, to the second, exclusive.
    Between(Bytes, Bytes),
    /// Keys from the first, inclusive.
    From(Bytes),
}

impl KeyRange {
    /// Reads the protocol's pair: an empty end means one key, a single zero byte means no end.
    #[must_use]
    pub fn new(key: &Bytes, range_end: &Bytes) -> Self {
        match range_end.as_ref() {
            b"" => Self::One(key.clone()),
            b"\0" => Self::From(key.clone()),
            _ => Self::Between(key.clone(), range_end.clone()),
        }
    }

    /// True if the range holds the key.
    #[must_use]
    pub fn contains(&self, key: &Bytes) -> bool {
        match self {
            Self::One(one) => key == one,
            Self::Between(first, end) => first <= key && key < end,
            Self::From(first) => first <= key,
        }
    }

    /// True if no key can be in the range. A map panics when it is asked for such bounds.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Between(first, end) if first >= end)
    }

    /// Bounds for a lookup in an ordered map.
    #[must_use]
    pub fn bounds(&self) -> (Bound<&Bytes>, Bound<&Bytes>) {
        match self {
            Self::One(key) => (Bound::Included(key), Bound::Included(key)),
            Self::Between(first, end) => (Bound::Included(first), Bound::Excluded(end)),
            Self::From(first) => (Bound::Included(first), Bound::Unbounded),
        }
    }
}

impl KeyRange {
    /// True if the range may hold a key with the prefix.
    #[must_use]
    pub fn intersects_prefix(&self, prefix: &[u8]) -> bool {
        let below_prefix_end = |first: &Bytes| first.starts_with(prefix) || first.as_ref() < prefix;
        match self {
            Self::One(key) => key.starts_with(prefix),
            Self::Between(first, end) => {
                !self.is_empty() && below_prefix_end(first) && end.as_ref() > prefix
            }
            Self::From(first) => below_prefix_end(first),
        }
    }
}
