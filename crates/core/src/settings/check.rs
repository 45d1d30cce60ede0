use super::{Change, Entry, Fault, Path, Principal, Tree};
use std::collections::BTreeSet;
use thiserror::Error;

/// Maximum number of changes in one edit.
pub const MAX_CHANGES: usize = 10_000;
/// Maximum size of an edit as JSON, in bytes. It keeps the record below the service's value limit.
pub const MAX_EDIT_BYTES: usize = 512 * 1024;

/// Why changes were rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CheckError {
    /// A path is outside the part of the settings that the token may write.
    #[error("{0}: this token may not write this setting")]
    Forbidden(String),
    /// The changes are invalid; holds every error found.
    #[error("{}", .0.iter().map(Fault::to_string).collect::<Vec<_>>().join("; "))]
    Invalid(Vec<Fault>),
}

/// Validates changes against the tree that they apply to and returns the resulting tree.
///
/// # Errors
/// [`CheckError::Forbidden`] if a path may not be written, without revealing anything about the
/// tree; otherwise [`CheckError::Invalid`] with all errors.
pub fn check(tree: &Tree, by: &Principal, changes: &[Change]) -> Result<Tree, CheckError> {
    let paths = changes.iter().map(|change| Path::parse(&change.path)).collect::<Vec<_>>();
    let forbidden = |path: &&Path| !by.may_write(path);
    if let Some(path) = paths.iter().flatten().find(forbidden) {
        return Err(CheckError::Forbidden(path.to_string()));
    }
    let mut errors = size_errors(changes);
    let mut after = tree.clone();
    let mut changed = BTreeSet::new();
    for (change, path) in changes.iter().zip(paths) {
        let found = path
            .map_err(|error| vec![Fault::new(&change.path, change.value.as_ref(), error)])
            .and_then(|path| match changed.insert(path.clone()) {
                true => put(&mut after, path, change),
                false => Err(vec![Fault::new(path, change.value.as_ref(), "given twice")]),
            });
        errors.extend(found.err().into_iter().flatten());
    }
    errors.extend(after.reference_errors(tree, &changed));
    if errors.is_empty() { Ok(after) } else { Err(CheckError::Invalid(errors)) }
}

fn size_errors(changes: &[Change]) -> Vec<Fault> {
    let bytes = serde_json::to_vec(changes).map_or(0, |text| text.len());
    let too_many = (changes.len() > MAX_CHANGES).then(|| format!("at most {MAX_CHANGES} changes"));
    let too_large =
        (bytes > MAX_EDIT_BYTES).then(|| format!("at most {MAX_EDIT_BYTES} bytes of changes"));
    let empty = changes.is_empty().then(|| "no change is given".to_owned());
    [too_many, too_large, empty]
        .into_iter()
        .flatten()
        .map(|message| Fault::new("", None, message))
        .collect()
}

fn put(after: &mut Tree, path: Path, change: &Change) -> Result<(), Vec<Fault>> {
    match &change.value {
        Some(value) => after.put(&path, Entry::read(&path, value)?),
        None if after.get(&path).is_none() => {
            return Err(vec![Fault::new(path, None, "cannot be removed: it does not exist")]);
        }
        None => after.remove(&path),
    }
    Ok(())
}
