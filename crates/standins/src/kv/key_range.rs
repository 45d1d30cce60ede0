use std::ops::Bound;

/// Keys that a call addresses: one key, or a half-open range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    start: Vec<u8>,
    end: RangeEnd,
}

/// Bounds of a lookup in an ordered map.
pub type Bounds = (Bound<Vec<u8>>, Bound<Vec<u8>>);

#[derive(Clone, Debug, PartialEq, Eq)]
enum RangeEnd {
    OneKey,
    Unbounded,
    Before(Vec<u8>),
}

impl KeyRange {
    /// Reads `key` and `range_end` as etcd does; an end of one zero byte is unbounded.
    pub fn new(key: &[u8], range_end: &[u8]) -> Self {
        let end = match range_end {
            [] => RangeEnd::OneKey,
            [0] => RangeEnd::Unbounded,
            end => RangeEnd::Before(end.to_vec()),
        };
        Self { start: key.to_vec(), end }
    }

    /// Says whether a key is meant.
    pub fn contains(&self, key: &[u8]) -> bool {
        match &self.end {
            RangeEnd::OneKey => key == self.start,
            RangeEnd::Unbounded => key >= &self.start[..],
            RangeEnd::Before(end) => key >= &self.start[..] && key < &end[..],
        }
    }

    /// Bounds for a lookup in an ordered map; none if the range is empty.
    pub fn bounds(&self) -> Option<Bounds> {
        let start = Bound::Included(self.start.clone());
        match &self.end {
            RangeEnd::OneKey => Some((start.clone(), start)),
            RangeEnd::Unbounded => Some((start, Bound::Unbounded)),
            RangeEnd::Before(end) if *end > self.start => {
                Some((start, Bound::Excluded(end.clone())))
            }
            RangeEnd::Before(_) => None,
        }
    }
}
