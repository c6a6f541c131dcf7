//! Key ranges, decoded from the `key` and `range_end` fields of requests.

use std::ops::Bound;

use bytes::Bytes;

/// A single key or a contiguous range of keys in byte order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyRange {
    /// A single key.
    One(Bytes),
    /// Keys from the first bound (inclusive) to the second (exclusive).
    Between(Bytes, Bytes),
    /// All keys from the bound (inclusive) on.
    From(Bytes),
}

impl KeyRange {
    /// Decodes the `key` and `range_end` of a request. An empty `range_end` selects the single key; a
    /// single zero byte selects all keys from `key` on.
    #[must_use]
    pub fn new(key: &Bytes, range_end: &Bytes) -> Self {
        match range_end.as_ref() {
            b"" => Self::One(key.clone()),
            b"\0" => Self::From(key.clone()),
            _ => Self::Between(key.clone(), range_end.clone()),
        }
    }

    /// True if `key` is in the range.
    #[must_use]
    pub fn contains(&self, key: &Bytes) -> bool {
        match self {
            Self::One(one) => key == one,
            Self::Between(first, end) => first <= key && key < end,
            Self::From(first) => first <= key,
        }
    }

    /// True if no key can be in the range. `BTreeMap::range` panics on such bounds.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Between(first, end) if first >= end)
    }

    /// Bounds for `BTreeMap::range`, which panics if [`KeyRange::is_empty`] is true.
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
    /// True if the range may contain a key that starts with `prefix`.
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
