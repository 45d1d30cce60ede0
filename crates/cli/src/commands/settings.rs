use super::document::{common_path_prefix, diff_settings, parse_value, read_settings_file};
use crate::{
    CliError, ExitStatus,
    client::EntryClient,
    flags::{Apply, Diff, Get, History, Set},
    output::Output,
};
use serde_json::{Value, json};
use std::collections::BTreeMap;

pub async fn get(client: &EntryClient, out: Output, cmd: Get) -> Result<ExitStatus, CliError> {
    let document = client.settings(cmd.path.as_deref().unwrap_or_default()).await?;
    out.settings(&document);
    Ok(ExitStatus::Ok)
}

pub async fn set(client: &EntryClient, out: Output, cmd: Set) -> Result<ExitStatus, CliError> {
    let changes = BTreeMap::from([(cmd.path, parse_value(&cmd.value)?)]);
    let revision = client.write(cmd.base, &changes).await?;
    out.write_result(revision, 1);
    Ok(ExitStatus::Ok)
}

pub async fn apply(client: &EntryClient, out: Output, cmd: Apply) -> Result<ExitStatus, CliError> {
    let desired = read_settings_file(&cmd.file)?;
    let current = client.settings(&common_path_prefix(&desired)).await?;
    let changes = diff_settings(&desired, &current.entries)
        .into_iter()
        .map(|difference| (difference.path, difference.new))
        .collect::<BTreeMap<String, Value>>();
    if changes.is_empty() {
        out.write_result(current.revision, 0);
        return Ok(ExitStatus::Ok);
    }
    let base = cmd.base.unwrap_or(current.revision);
    let revision = client.write(Some(base), &changes).await?;
    out.write_result(revision, changes.len());
    Ok(ExitStatus::Ok)
}

pub async fn diff(client: &EntryClient, out: Output, cmd: Diff) -> Result<ExitStatus, CliError> {
    let desired = read_settings_file(&cmd.file)?;
    let current = client.settings(&common_path_prefix(&desired)).await?;
    let differences = diff_settings(&desired, &current.entries);
    out.differences(&differences);
    Ok(if differences.is_empty() { ExitStatus::Ok } else { ExitStatus::Refused })
}

pub async fn history(
    client: &EntryClient,
    out: Output,
    cmd: History,
) -> Result<ExitStatus, CliError> {
    let from = cmd.from.unwrap_or(1);
    let limit = cmd.limit.unwrap_or(100);
    let document = client.get(&format!("/v1/history?from={from}&limit={limit}")).await?;
    let no_edits = json!([]);
    out.history(document.get("edits").unwrap_or(&no_edits));
    Ok(ExitStatus::Ok)
}
