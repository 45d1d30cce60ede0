use super::{Change, Edit, Entry, Path, Tree};
use crate::ids::Revision;
use std::io::Write;
use thiserror::Error;

/// A snapshot of the settings could not be parsed.
#[derive(Debug, Error)]
#[error("settings snapshot could not be decoded: {0}")]
pub struct SnapshotError(#[from] serde_json::Error);

/// Encodes all settings, one JSON document per line.
pub fn encode_snapshot(tree: &Tree) -> Vec<u8> {
    let mut buf = Vec::new();
    for (path, entry) in tree.entries() {
        let change = Change::new(path.to_string(), entry.to_value());
        serde_json::to_writer(&mut buf, &change).expect("entries serialize to JSON");
        buf.write_all(b"\n").expect("writing to a Vec does not fail");
    }
    buf
}

/// Decodes a snapshot of the settings at a revision.
///
/// # Errors
/// Returns a [`SnapshotError`] if a line is not valid JSON of a [`Change`].
pub fn decode_snapshot(revision: Revision, content: &[u8]) -> Result<Tree, SnapshotError> {
    let mut tree = Tree::default();
    for change in serde_json::Deserializer::from_slice(content).into_iter::<Change>() {
        let edit = Edit { by: String::new(), at: 0, changes: vec![change?] };
        tree.apply(revision, &edit);
    }
    tree.revision = revision;
    Ok(tree)
}

impl Tree {
    /// Returns the settings after a path in the order of [`Tree::entries`], until `max_bytes` are
    /// reached. The page after the last setting is empty.
    pub fn page_after(&self, after: Option<&Path>, max_bytes: usize) -> Vec<(Path, Entry)> {
        let mut bytes = 0;
        self.entries()
            .skip_while(|(path, _)| after.is_some_and(|after| path <= after))
            .take_while(|(path, entry)| {
                let has_room = bytes < max_bytes;
                bytes += path.to_string().len() + entry.to_value().to_string().len();
                has_room
            })
            .collect()
    }
}
