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
    tail: LogTail,
    assembly: Option<Assembly>,
    is_known: bool,
    skipped: u64,
}

/// Full settings being read page by page from peers.
///
/// The pages may have different revisions. The records after the first page's revision are applied
/// afterwards, which is correct because each record sets complete values.
#[derive(Clone, Debug)]
struct Assembly {
    tree: Tree,
    revision: Revision,
    last: Option<Path>,
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
    pub fn on_known(&mut self) {
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
    pub fn on_tree(&mut self, tree: Arc<Tree>) -> bool {
        self.is_known = true;
        if tree.revision <= self.revision() {
            return false;
        }
        self.tree = tree;
        self.tail.clear();
        self.assembly = None;
        true
    }

    /// Returns the records after a revision; `None` if a peer must read the full settings.
    pub fn records_after(&self, revision: Revision) -> Option<Vec<RawRecord>> {
        match revision >= self.revision() {
            true => Some(Vec::new()),
            false => self.tail.after(revision),
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
    pub fn start_pages(&mut self, revision: Revision) {
        if self.assembly.is_none() && revision > self.revision() {
            self.assembly = Some(Assembly { tree: Tree::default(), revision, last: None });
        }
    }

    /// Path that the next requested page follows; `None` unless reading page by page.
    pub fn wanted_page(&self) -> Option<Option<String>> {
        self.assembly.as_ref().map(|assembly| assembly.last.as_ref().map(Path::to_string))
    }

    /// Adds a page from a peer at `revision`; returns whether this completed and replaced the
    /// settings.
    pub fn on_page(&mut self, page: Page, revision: Revision) -> bool {
        let is_wanted = self.wanted_page().is_some_and(|wanted| wanted == page.after);
        let Some(assembly) = &mut self.assembly else { return false };
        // A page older than the first one would lack changes that later records do not repeat.
        if !is_wanted || revision < assembly.revision {
            return false;
        }
        if page.entries.is_empty() {
            let Some(mut assembly) = self.assembly.take() else { return false };
            assembly.tree.revision = assembly.revision;
            return self.on_tree(Arc::new(assembly.tree));
        }
        for (path, text) in page.entries {
            let Ok(path) = Path::parse(&path) else { continue };
            let value = serde_json::from_str(&text).unwrap_or_default();
            if let Ok(entry) = Entry::read(&path, &value) {
                assembly.tree.put(&path, entry);
            }
            assembly.last = Some(path);
        }
        false
    }

    /// Cancels reading page by page.
    pub fn drop_pages(&mut self) {
        self.assembly = None;
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
        self.tail.push(record);
    }
}
