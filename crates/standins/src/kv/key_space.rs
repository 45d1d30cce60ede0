use super::{
    api::{Event, EventType, KeyValue},
    error::KvError,
    key_range::KeyRange,
};
use bytes::Bytes;
use std::collections::BTreeMap;

/// Keys with their values, and the changes since the last compaction.
#[derive(Debug)]
pub struct KeySpace {
    revision: i64,
    compacted: i64,
    live: BTreeMap<Vec<u8>, KeyValue>,
    log: BTreeMap<i64, Vec<Event>>,
    log_bytes: usize,
}

impl KeySpace {
    /// Starts empty at revision 1.
    pub fn new() -> Self {
        Self {
            revision: 1,
            compacted: 0,
            live: BTreeMap::new(),
            log: BTreeMap::new(),
            log_bytes: 0,
        }
    }

    /// Revision of the last change.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Oldest revision that can still be read; 0 before the first compaction.
    pub fn compacted(&self) -> i64 {
        self.compacted
    }

    /// Opens the next revision; changes made before the next call belong to it.
    pub fn begin_revision(&mut self) {
        self.revision += 1;
    }

    /// Keys and values of a range now.
    pub fn range(&self, range: &KeyRange) -> impl Iterator<Item = &KeyValue> {
        range.bounds().into_iter().flat_map(|bounds| self.live.range(bounds)).map(|(_, kv)| kv)
    }

    /// Keys and values of a range as of a past revision.
    ///
    /// # Errors
    /// The revision is compacted or not reached yet.
    pub fn range_at(&self, range: &KeyRange, revision: i64) -> Result<Vec<KeyValue>, KvError> {
        if revision > self.revision {
            return Err(KvError::FutureRevision);
        }
        if revision < self.compacted {
            return Err(KvError::Compacted);
        }
        let mut then: BTreeMap<&[u8], &KeyValue> =
            self.range(range).map(|kv| (&kv.key[..], kv)).collect();
        let undone =
            self.log.range(revision + 1..).rev().flat_map(|(_, events)| events.iter().rev());
        for event in undone.filter(|event| range.contains(&event.kv.key)) {
            match &event.prev_kv {
                Some(before) => then.insert(&event.kv.key, before),
                None => then.remove(&event.kv.key[..]),
            };
        }
        Ok(then.into_values().cloned().collect())
    }

    /// Sets a key in the open revision and gives the value before.
    pub fn put(&mut self, key: &[u8], value: Bytes, lease: i64) -> Option<KeyValue> {
        let before = self.live.get(key).cloned();
        let kv = KeyValue {
            key: key.to_vec(),
            create_revision: before.as_ref().map_or(self.revision, |kv| kv.create_revision),
            mod_revision: self.revision,
            version: before.as_ref().map_or(1, |kv| kv.version + 1),
            value,
            lease,
        };
        self.live.insert(key.to_vec(), kv.clone());
        self.record(EventType::Put, kv, before.clone());
        before
    }

    /// Removes the keys of a range in the open revision and gives what they held.
    pub fn delete(&mut self, range: &KeyRange) -> Vec<KeyValue> {
        let removed: Vec<KeyValue> = self.range(range).cloned().collect();
        for kv in &removed {
            self.live.remove(&kv.key);
            let tombstone = KeyValue {
                key: kv.key.clone(),
                mod_revision: self.revision,
                ..KeyValue::default()
            };
            self.record(EventType::Delete, tombstone, Some(kv.clone()));
        }
        removed
    }

    /// Events of a range from a revision on.
    pub fn events_since(&self, range: &KeyRange, revision: i64) -> Vec<Event> {
        self.log
            .range(revision..)
            .flat_map(|(_, events)| events)
            .filter(|event| range.contains(&event.kv.key))
            .cloned()
            .collect()
    }

    /// Forgets the changes before a revision.
    ///
    /// # Errors
    /// The revision is compacted already or not reached yet.
    pub fn compact(&mut self, revision: i64) -> Result<(), KvError> {
        if revision > self.revision {
            return Err(KvError::FutureRevision);
        }
        if revision <= self.compacted {
            return Err(KvError::Compacted);
        }
        let kept = self.log.split_off(&revision);
        let forgotten = std::mem::replace(&mut self.log, kept);
        self.log_bytes -= forgotten.values().map(|events| bytes_of(events)).sum::<usize>();
        self.compacted = revision;
        Ok(())
    }

    /// Forgets the oldest changes beyond a number of revisions or of bytes of their values.
    pub fn trim(&mut self, revisions: usize, bytes: usize) {
        while (self.log.len() > revisions || self.log_bytes > bytes)
            && let Some((revision, events)) = self.log.pop_first()
        {
            self.log_bytes -= bytes_of(&events);
            self.compacted = revision + 1;
        }
    }

    fn record(&mut self, kind: EventType, kv: KeyValue, prev_kv: Option<KeyValue>) {
        self.log_bytes += kv.value.len();
        let event = Event { kind, kv, prev_kv };
        self.log.entry(self.revision).or_default().push(event);
    }
}

/// Bytes of the values that events set; the values before them are counted with their own events.
fn bytes_of(events: &[Event]) -> usize {
    events.iter().map(|event| event.kv.value.len()).sum()
}
