use super::{
    api::{Event, EventType, KeyValue},
    error::KvError,
    key_range::KeyRange,
};
use bytes::Bytes;
use std::collections::BTreeMap;

/// Current keys and values, with the log of changes since the last compaction.
#[derive(Debug)]
pub struct KeySpace {
    revision: i64,
    compacted: i64,
    current: BTreeMap<Vec<u8>, KeyValue>,
    log: BTreeMap<i64, Vec<Event>>,
    log_bytes: usize,
}

impl KeySpace {
    /// Creates an empty key space at revision 1.
    pub fn new() -> Self {
        Self {
            revision: 1,
            compacted: 0,
            current: BTreeMap::new(),
            log: BTreeMap::new(),
            log_bytes: 0,
        }
    }

    /// Revision of the last change; 1 before the first.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Oldest readable revision; 0 before the first compaction.
    pub fn compacted(&self) -> i64 {
        self.compacted
    }

    /// Increments the revision; all changes until the next call belong to it.
    pub fn begin_revision(&mut self) {
        self.revision += 1;
    }

    /// Iterates over the current keys and values of a range.
    pub fn range(&self, range: &KeyRange) -> impl Iterator<Item = &KeyValue> {
        range.bounds().into_iter().flat_map(|bounds| self.current.range(bounds)).map(|(_, kv)| kv)
    }

    /// Keys and values of a range at a past revision, rebuilt by undoing later changes.
    ///
    /// # Errors
    /// The revision is compacted or in the future.
    pub fn range_at(&self, range: &KeyRange, revision: i64) -> Result<Vec<KeyValue>, KvError> {
        if revision > self.revision {
            return Err(KvError::FutureRevision);
        }
        if revision < self.compacted {
            return Err(KvError::Compacted);
        }
        let mut entries: BTreeMap<&[u8], &KeyValue> =
            self.range(range).map(|kv| (&kv.key[..], kv)).collect();
        let reverted =
            self.log.range(revision + 1..).rev().flat_map(|(_, events)| events.iter().rev());
        for event in reverted.filter(|event| range.contains(&event.kv.key)) {
            match &event.prev_kv {
                Some(previous) => entries.insert(&event.kv.key, previous),
                None => entries.remove(&event.kv.key[..]),
            };
        }
        Ok(entries.into_values().cloned().collect())
    }

    /// Sets a key at the current revision and returns its previous value.
    pub fn put(&mut self, key: &[u8], value: Bytes, lease: i64) -> Option<KeyValue> {
        let previous = self.current.get(key).cloned();
        let kv = KeyValue {
            key: key.to_vec(),
            create_revision: previous.as_ref().map_or(self.revision, |kv| kv.create_revision),
            mod_revision: self.revision,
            version: previous.as_ref().map_or(1, |kv| kv.version + 1),
            value,
            lease,
        };
        self.current.insert(key.to_vec(), kv.clone());
        self.record(EventType::Put, kv, previous.clone());
        previous
    }

    /// Deletes the keys of a range at the current revision and returns them with their values.
    pub fn delete(&mut self, range: &KeyRange) -> Vec<KeyValue> {
        let removed: Vec<KeyValue> = self.range(range).cloned().collect();
        for kv in &removed {
            self.current.remove(&kv.key);
            let tombstone = KeyValue {
                key: kv.key.clone(),
                mod_revision: self.revision,
                ..KeyValue::default()
            };
            self.record(EventType::Delete, tombstone, Some(kv.clone()));
        }
        removed
    }

    /// Events on keys of a range, starting at `revision`.
    pub fn events_since(&self, range: &KeyRange, revision: i64) -> Vec<Event> {
        self.log
            .range(revision..)
            .flat_map(|(_, events)| events)
            .filter(|event| range.contains(&event.kv.key))
            .cloned()
            .collect()
    }

    /// Removes the changes before a revision from the log.
    ///
    /// # Errors
    /// The revision is already compacted or in the future.
    pub fn compact(&mut self, revision: i64) -> Result<(), KvError> {
        if revision > self.revision {
            return Err(KvError::FutureRevision);
        }
        if revision <= self.compacted {
            return Err(KvError::Compacted);
        }
        let retained = self.log.split_off(&revision);
        let removed = std::mem::replace(&mut self.log, retained);
        self.log_bytes -= removed.values().map(|events| value_bytes(events)).sum::<usize>();
        self.compacted = revision;
        Ok(())
    }

    /// Removes the oldest changes until the log holds at most `revisions` revisions and `bytes`
    /// bytes of values.
    pub fn trim(&mut self, revisions: usize, bytes: usize) {
        while (self.log.len() > revisions || self.log_bytes > bytes)
            && let Some((revision, events)) = self.log.pop_first()
        {
            self.log_bytes -= value_bytes(&events);
            self.compacted = revision + 1;
        }
    }

    fn record(&mut self, kind: EventType, kv: KeyValue, prev_kv: Option<KeyValue>) {
        self.log_bytes += kv.value.len();
        let event = Event { kind, kv, prev_kv };
        self.log.entry(self.revision).or_default().push(event);
    }
}

/// Total size of the values set by the events, in bytes; a value in `prev_kv` is counted only with
/// the event that set it.
fn value_bytes(events: &[Event]) -> usize {
    events.iter().map(|event| event.kv.value.len()).sum()
}
