use super::{Change, Entry, Path};
use std::collections::BTreeSet;

/// Write set and reference set of an edit, for conflict detection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Footprint {
    /// Paths that the edit writes or removes.
    pub writes: BTreeSet<Path>,
    /// Paths that the written values refer to.
    pub references: BTreeSet<Path>,
}

/// Computes the footprint of an edit; unreadable paths and values are skipped.
pub fn footprint(changes: &[Change]) -> Footprint {
    let mut footprint = Footprint::default();
    for change in changes {
        let Ok(path) = Path::parse(&change.path) else { continue };
        let entry = change.value.as_ref().and_then(|value| Entry::read(&path, value).ok());
        footprint.references.extend(entry.iter().flat_map(|entry| references_of(&path, entry)));
        footprint.references.extend(path.owner().map(|team| Path::Access(team.clone())));
        footprint.writes.insert(path);
    }
    footprint
}

impl Footprint {
    /// Returns the paths on which two edits conflict: written by both, or written by one and
    /// referred to by the other.
    pub fn overlap(&self, other: &Self) -> BTreeSet<Path> {
        let both_write = self.writes.intersection(&other.writes);
        let we_refer_to_theirs = self.references.intersection(&other.writes);
        let they_refer_to_ours = self.writes.intersection(&other.references);
        both_write.chain(we_refer_to_theirs).chain(they_refer_to_ours).cloned().collect()
    }
}

fn references_of(path: &Path, entry: &Entry) -> Vec<Path> {
    match (path, entry) {
        (_, Entry::Endpoint(endpoint)) => {
            vec![Path::Zone(endpoint.zone.clone()), Path::Model(endpoint.model.clone())]
        }
        (_, Entry::Store(store)) => vec![Path::Zone(store.zone.clone())],
        (_, Entry::Access(access)) => {
            let models = access.models.iter().cloned().map(Path::Model);
            models.chain([Path::Workspace(access.workspace.clone())]).collect()
        }
        (Path::Serving(_, model), _) => vec![Path::Model(model.clone())],
        _ => Vec::new(),
    }
}
