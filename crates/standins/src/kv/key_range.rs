use std::ops::Bound;

/// Keys addressed by a request: a single key or a half-open range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    start: Vec<u8>,
    end: RangeEnd,
}

/// Bounds for a `BTreeMap` range lookup.
pub type Bounds = (Bound<Vec<u8>>, Bound<Vec<u8>>);

#[derive(Clone, Debug, PartialEq, Eq)]
enum RangeEnd {
    SingleKey,
    Unbounded,
    Exclusive(Vec<u8>),
}

impl KeyRange {
    /// Interprets `key` and `range_end` as etcd does: an empty end selects the single key, an end
    /// of one zero byte all keys from `key` on.
    pub fn new(key: &[u8], range_end: &[u8]) -> Self {
        let end = match range_end {
            [] => RangeEnd::SingleKey,
            [0] => RangeEnd::Unbounded,
            end => RangeEnd::Exclusive(end.to_vec()),
        };
        Self { start: key.to_vec(), end }
    }

    /// Returns whether `key` is in the range.
    pub fn contains(&self, key: &[u8]) -> bool {
        match &self.end {
            RangeEnd::SingleKey => key == self.start,
            RangeEnd::Unbounded => key >= &self.start[..],
            RangeEnd::Exclusive(end) => key >= &self.start[..] && key < &end[..],
        }
    }

    /// Bounds for a `BTreeMap` range lookup; `None` if the range is empty.
    pub fn bounds(&self) -> Option<Bounds> {
        let start = Bound::Included(self.start.clone());
        match &self.end {
            RangeEnd::SingleKey => Some((start.clone(), start)),
            RangeEnd::Unbounded => Some((start, Bound::Unbounded)),
            RangeEnd::Exclusive(end) if *end > self.start => {
                Some((start, Bound::Excluded(end.clone())))
            }
            RangeEnd::Exclusive(_) => None,
        }
    }
}
