use super::{LogTail, Page};
use crate::{
    ids::Revision,
    ledger::{RawRecord, Record},
    settings::{Edit, Entry, Path, Tree},
};
use std::sync::Arc;

/// Bytes of one page of the whole settings.
const PAGE_BYTES: usize = 256 * 1024;

/// Settings that a daemon holds; their revision only grows.
#[derive(Clone, Debug, Default)]
pub struct SettingsState {
    tree: Arc<Tree>,
    tail: LogTail,
    assembly: Option<Assembly>,
    is_known: bool,
    skipped: u64,
}

/// Whole settings on their way, page by page.
///
/// The pages may be of different revisions: the records from the first page's revision on are
/// applied afterwards, and each sets whole values.
#[derive(Clone, Debug)]
struct Assembly {
    tree: Tree,
    revision: Revision,
    last: Option<Path>,
}

impl SettingsState {
    /// Settings in force.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Revision of the settings in force.
    pub fn revision(&self) -> Revision {
        self.tree.revision
    }

    /// Whether settings were read at all; an empty log counts.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Changes of accepted records that could not be read and were left out.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Notes that the held settings were compared with the service or a peer.
    pub fn on_known(&mut self) {
        self.is_known = true;
    }

    /// Applies the records that follow what is held; others are left out.
    pub fn on_records(&mut self, records: Vec<RawRecord>) -> bool {
        let before = self.revision();
        for record in records {
            if record.revision == self.revision() + 1 {
                self.apply(record);
            }
        }
        self.revision() > before
    }

    /// Replaces the settings by newer ones.
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

    /// Records after a revision; none where a peer must read the whole settings.
    pub fn records_after(&self, revision: Revision) -> Option<Vec<RawRecord>> {
        match revision >= self.revision() {
            true => Some(Vec::new()),
            false => self.tail.after(revision),
        }
    }

    /// Page of the whole settings after a path.
    pub fn page_after(&self, after: Option<&str>) -> Page {
        let path = after.and_then(|path| Path::parse(path).ok());
        let page = self.tree.page_after(path.as_ref(), PAGE_BYTES);
        let entries = page
            .into_iter()
            .map(|(path, entry)| (path.to_string(), entry.to_value().to_string()))
            .collect();
        Page { after: after.map(str::to_owned), entries }
    }

    /// Starts to read the whole settings page by page, unless that is under way.
    pub fn start_pages(&mut self, revision: Revision) {
        if self.assembly.is_none() && revision > self.revision() {
            self.assembly = Some(Assembly { tree: Tree::default(), revision, last: None });
        }
    }

    /// Last path that was read, while the whole settings are read page by page.
    pub fn wanted_page(&self) -> Option<Option<String>> {
        self.assembly.as_ref().map(|assembly| assembly.last.as_ref().map(Path::to_string))
    }

    /// Takes in a page of a peer's settings at a revision.
    pub fn on_page(&mut self, page: Page, revision: Revision) -> bool {
        let is_wanted = self.wanted_page().is_some_and(|wanted| wanted == page.after);
        let Some(assembly) = &mut self.assembly else { return false };
        // A peer with older settings than the first page's would leave gaps behind.
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

    /// Gives up reading page by page.
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
