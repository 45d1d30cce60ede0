use super::{BootNotices, EndpointEntry};
use crate::ids::{BoundedMap, EndpointId};

/// Number of endpoints without an entry whose notices are remembered.
const MAX_FORMER_BOOTS: usize = 4_096;

/// Notices of boots that have no entry now, which holds them when the entry returns.
#[derive(Debug)]
pub struct FormerBoots(BoundedMap<EndpointId, (EndpointEntry, BootNotices)>);

impl Default for FormerBoots {
    fn default() -> Self {
        Self(BoundedMap::new(MAX_FORMER_BOOTS))
    }
}

impl FormerBoots {
    /// Remembers what the boot of an entry has said.
    pub fn insert(&mut self, entry: EndpointEntry, notices: BootNotices) {
        if !notices.is_empty() {
            let id = entry.id.clone();
            let former = (entry, notices);
            *self.0.entry(&id, || former.clone()) = former.clone();
        }
    }

    /// What the boot of an entry has said.
    pub fn notices_of(&self, entry: &EndpointEntry) -> BootNotices {
        let former = self.0.peek(&entry.id).filter(|(former, _)| former.is_same_boot(entry));
        former.map(|(_, notices)| *notices).unwrap_or_default()
    }
}
