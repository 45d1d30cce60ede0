use super::{LogTail, Page};
use crate::{
    ids::Revision,
    ledger::{RawRecord, Record},
    settings::{Edit, Entry, Path, Tree},
};
use std::sync::Arc;

/// Size in bytes at which a page of the full settings ends.
const PAGE_BYTES: usize = 256 * 1024;

/// Settings held by a daemon. Their revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct SettingsState {
    tree: Arc<Tree>,
    log_tail: LogTail,
    paged_load: Option<PagedLoad>,
    is_known: bool,
    skipped: u64,
}

/// Full settings being read page by page from peers.
///
/// The pages may have different revisions, none older than `revision`. The records after `revision`
/// are applied afterwards, which is correct because each record sets complete values.
#[derive(Clone, Debug)]
struct PagedLoad {
    tree: Tree,
    revision: Revision,
    last_path: Option<Path>,
}

impl SettingsState {
    /// Current settings.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Revision of the current settings.
    pub fn revision(&self) -> Revision {
        self.tree.revision
    }

    /// Whether any settings were obtained, including from an empty log.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Number of unreadable records and changes that were skipped.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Marks the settings as known after comparing them with the service or a peer.
    pub fn mark_known(&mut self) {
        self.is_known = true;
    }

    /// Applies the records that directly follow the current revision, ignores others, and returns
    /// whether the revision increased.
    pub fn on_records(&mut self, records: Vec<RawRecord>) -> bool {
        let before = self.revision();
        for record in records {
            if record.revision == self.revision() + 1 {
                self.apply(record);
            }
        }
        self.revision() > before
    }

    /// Replaces the settings if `tree` is newer, and returns whether it was.
    pub fn replace_tree(&mut self, tree: Arc<Tree>) -> bool {
        self.is_known = true;
        if tree.revision <= self.revision() {
            return false;
        }
        self.tree = tree;
        self.log_tail.clear();
        self.paged_load = None;
        true
    }

    /// Returns the records after a revision; `None` if a peer must read the full settings.
    pub fn records_after(&self, revision: Revision) -> Option<Vec<RawRecord>> {
        match revision >= self.revision() {
            true => Some(Vec::new()),
            false => self.log_tail.records_after(revision),
        }
    }

    /// Returns the page of the full settings after a path; the first page if `after` is `None`.
    pub fn page_after(&self, after: Option<&str>) -> Page {
        let path = after.and_then(|path| Path::parse(path).ok());
        let page = self.tree.page_after(path.as_ref(), PAGE_BYTES);
        let entries = page
            .into_iter()
            .map(|(path, entry)| (path.to_string(), entry.to_value().to_string()))
            .collect();
        Page { after: after.map(str::to_owned), entries }
    }

    /// Starts reading the full settings page by page unless this is already in progress or
    /// `revision` is not newer.
    pub fn start_paged_load(&mut self, revision: Revision) {
        if self.paged_load.is_none() && revision > self.revision() {
            self.paged_load = Some(PagedLoad { tree: Tree::default(), revision, last_path: None });
        }
    }

    /// Path that the next requested page follows; `None` unless reading page by page.
    pub fn next_page_after(&self) -> Option<Option<String>> {
        self.paged_load
            .as_ref()
            .map(|paged_load| paged_load.last_path.as_ref().map(Path::to_string))
    }

    /// Adds a page from a peer at `revision`; returns whether this completed and replaced the
    /// settings.
    pub fn on_page(&mut self, page: Page, revision: Revision) -> bool {
        let is_expected = self.next_page_after().is_some_and(|expected| expected == page.after);
        let Some(paged_load) = &mut self.paged_load else { return false };
        // A page older than `paged_load.revision` would lack changes that the records applied
        // afterwards do not repeat.
        if !is_expected || revision < paged_load.revision {
            return false;
        }
        if page.entries.is_empty() {
            let Some(mut paged_load) = self.paged_load.take() else { return false };
            paged_load.tree.revision = paged_load.revision;
            return self.replace_tree(Arc::new(paged_load.tree));
        }
        for (path, text) in page.entries {
            let Ok(path) = Path::parse(&path) else { continue };
            let value = serde_json::from_str(&text).unwrap_or_default();
            if let Ok(entry) = Entry::read(&path, &value) {
                paged_load.tree.put(&path, entry);
            }
            paged_load.last_path = Some(path);
        }
        false
    }

    /// Cancels reading page by page.
    pub fn cancel_paged_load(&mut self) {
        self.paged_load = None;
    }

    fn apply(&mut self, record: RawRecord) {
        let tree = Arc::make_mut(&mut self.tree);
        match Record::<Edit>::decode(record.revision, &record.value) {
            Ok(decoded) => {
                let skipped = decoded.entries.iter().map(|edit| tree.apply(record.revision, edit));
                self.skipped += skipped.sum::<usize>() as u64;
            }
            Err(_) => self.skipped += 1,
        }
        tree.revision = record.revision;
        self.is_known = true;
        self.log_tail.push(record);
    }
}
