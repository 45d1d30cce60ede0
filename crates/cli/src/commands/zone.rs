use crate::{CliError, ExitStatus, client::EntryClient, output::Output};
use serde_json::Value;
use std::collections::BTreeMap;

/// Sets the `state` of a zone: `in` accepts new work, `out` does not.
///
/// The write is conditional on the revision that was read, so a concurrent change of the zone, or
/// of a setting that refers to it, gives a conflict instead of being overwritten.
pub async fn set_state(
    client: &EntryClient,
    out: Output,
    zone: &str,
    state: &str,
) -> Result<ExitStatus, CliError> {
    let path = format!("zones/{zone}");
    let current = client.settings(&path).await?;
    // A missing zone is reported like an invalid change that the entry daemon rejects.
    let mut value = current.entries.get(&path).cloned().ok_or_else(|| CliError::Refused {
        status: 422,
        code: "invalid".into(),
        message: format!("{path} is not set"),
    })?;
    value["state"] = Value::from(state);
    let changes = BTreeMap::from([(path, value)]);
    let revision = client.write(Some(current.revision), &changes).await?;
    out.write_result(revision, 1);
    Ok(ExitStatus::Ok)
}
