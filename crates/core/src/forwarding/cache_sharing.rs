use crate::ids::{FastSet, WorkspaceId};

/// Scope in which cached parts may be reused: one model, one weight version, and either one
/// dedicated workspace or all workspaces that are not dedicated.
pub type CacheScope = str;

/// Marks the scopes of all workspaces that are not dedicated.
const SHARED: &str = "shared-";
/// Marks the scope of a dedicated workspace.
const DEDICATED: &str = "dedicated-";
/// Length of the hashes in scopes, in hexadecimal digits.
const HASH_DIGITS: usize = 32;

/// Which workspaces share cached parts, as the settings say.
///
/// The scope that is shared is named after the set of dedicated workspaces. Once a workspace
/// becomes dedicated, nothing that it left in the earlier shared scope is used any more. All
/// daemons build the same names, also after a restart.
#[derive(Clone, Debug)]
pub struct CacheSharing {
    dedicated: FastSet<WorkspaceId>,
    shared_group: String,
    /// Groups of the dedicated workspaces, by which the scopes of each end.
    dedicated_groups: FastSet<String>,
}

impl Default for CacheSharing {
    fn default() -> Self {
        Self::new([])
    }
}

impl CacheSharing {
    /// Creates the rules for these dedicated workspaces; all others share.
    pub fn new(dedicated: impl IntoIterator<Item = WorkspaceId>) -> Self {
        let dedicated: FastSet<WorkspaceId> = dedicated.into_iter().collect();
        let mut names: Vec<&str> = dedicated.iter().map(|name| &**name).collect();
        names.sort_unstable();
        let shared_group = format!("{SHARED}{}", hash(&names));
        let dedicated_groups = names.into_iter().map(dedicated_group).collect();
        Self { dedicated, shared_group, dedicated_groups }
    }

    /// Whether a workspace shares no cached parts with others.
    pub fn is_dedicated(&self, workspace: &str) -> bool {
        self.dedicated.contains(workspace)
    }

    /// Scope of a model's weight version for all workspaces that are not dedicated.
    pub fn shared_scope(&self, model: &str, version: u64) -> String {
        scope(model, version, &self.shared_group)
    }

    /// Whether requests may still use a scope, whatever its weights. Daemons of another version may
    /// use scopes that are named otherwise.
    pub fn is_used(&self, scope: &CacheScope) -> bool {
        let group = scope.rsplit('/').next().unwrap_or_default();
        match () {
            () if group.starts_with(SHARED) => group == self.shared_group,
            () if group.starts_with(DEDICATED) => self.dedicated_groups.contains(group),
            () => true,
        }
    }
}

/// Scope of a model's weight version for one dedicated workspace.
pub fn dedicated_scope(model: &str, version: u64, workspace: &str) -> String {
    scope(model, version, &dedicated_group(workspace))
}

/// Model and weight version of a scope; `None` if it was not built here.
pub fn scope_weights(scope: &CacheScope) -> Option<(&str, u64)> {
    let mut fields = scope.rsplitn(3, '/');
    let _group = fields.next()?;
    let version = fields.next()?.parse().ok()?;
    Some((fields.next()?, version))
}

fn scope(model: &str, version: u64, group: &str) -> String {
    format!("{model}/{version}/{group}")
}

/// Hashed, since not every name can be sent in a header field.
fn dedicated_group(workspace: &str) -> String {
    format!("{DEDICATED}{}", hash(&[workspace]))
}

/// BLAKE3 hash of names, in hexadecimal and shortened.
fn hash(names: &[&str]) -> String {
    let mut hasher = blake3::Hasher::new();
    for name in names {
        hasher.update(&(name.len() as u64).to_le_bytes());
        hasher.update(name.as_bytes());
    }
    hasher.finalize().to_hex()[..HASH_DIGITS].to_owned()
}
