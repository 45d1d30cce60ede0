use super::{
    CallerToken, EndpointEntry, EndpointKind, Fault, ModelEntry, Path, Serving, StoreEntry,
    TeamEntry, WorkspaceEntry, ZoneEntry, path::check_segment,
};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::{net::SocketAddr, sync::Arc};

/// Maximum weight of a workspace.
const MAX_WEIGHT: u32 = 1_000;
/// Maximum number of tokens in one piece of an engine's cache.
const MAX_PIECE_TOKENS: u32 = 100_000;

/// Typed value of one setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// `zones/<zone>`.
    Zone(ZoneEntry),
    /// `models/<model>`.
    Model(ModelEntry),
    /// `endpoints/<endpoint>`.
    Endpoint(EndpointEntry),
    /// `stores/<store>`.
    Store(StoreEntry),
    /// `workspaces/<workspace>`.
    Workspace(WorkspaceEntry),
    /// `access/<team>`.
    Access(TeamEntry),
    /// `teams/<team>/callers/<name>`.
    Caller(CallerToken),
    /// `teams/<team>/serving/<model>`.
    Serving(Serving),
}

impl Entry {
    /// Parses the value of a setting and validates everything that does not depend on the tree.
    ///
    /// # Errors
    /// Returns every error found.
    pub fn read(path: &Path, value: &Value) -> Result<Self, Vec<Fault>> {
        let entry = match path {
            Path::Zone(_) => parse(path, value).map(Self::Zone),
            Path::Model(_) => parse(path, value).map(Self::Model),
            Path::Endpoint(_) => parse(path, value).map(Self::Endpoint),
            Path::Store(_) => parse(path, value).map(Self::Store),
            Path::Workspace(_) => parse(path, value).map(Self::Workspace),
            Path::Access(_) => parse(path, value).map(Self::Access),
            Path::Caller(..) => parse(path, value).map(Self::Caller),
            Path::Serving(..) => parse(path, value).map(Self::Serving),
        };
        let entry = entry.map_err(|error| vec![error])?;
        let errors = entry
            .limit_errors()
            .into_iter()
            .map(|message| Fault::new(path, Some(value), message))
            .collect::<Vec<_>>();
        if errors.is_empty() { Ok(entry) } else { Err(errors) }
    }

    /// Returns the value in the form that [`Self::read`] accepts.
    pub fn to_value(&self) -> Value {
        let value = match self {
            Self::Zone(entry) => serde_json::to_value(entry),
            Self::Model(entry) => serde_json::to_value(entry),
            Self::Endpoint(entry) => serde_json::to_value(entry),
            Self::Store(entry) => serde_json::to_value(entry),
            Self::Workspace(entry) => serde_json::to_value(entry),
            Self::Access(entry) => serde_json::to_value(entry),
            Self::Caller(entry) => serde_json::to_value(entry),
            Self::Serving(entry) => serde_json::to_value(entry),
        };
        value.expect("entries serialize to JSON")
    }

    /// Returns a message for each field that is outside its limits.
    fn limit_errors(&self) -> Vec<String> {
        match self {
            Self::Zone(zone) => name_errors("region", [&zone.region]),
            Self::Model(model) => model_errors(model),
            Self::Endpoint(endpoint) => [
                name_errors("host", [&endpoint.host]),
                name_errors("zone", [&endpoint.zone]),
                name_errors("model", [&endpoint.model]),
                port_errors("rpc", endpoint.rpc),
            ]
            .concat(),
            Self::Store(store) => {
                [name_errors("zone", [&store.zone]), port_errors("address", store.address)].concat()
            }
            Self::Workspace(workspace) => range_errors("weight", workspace.weight, MAX_WEIGHT),
            Self::Access(team) => [
                name_errors("workspace", [&team.workspace]),
                name_errors("models", &team.models),
                name_errors("adapters", &team.adapters),
                name_errors("versions", &team.versions),
            ]
            .concat(),
            Self::Caller(_) => Vec::new(),
            Self::Serving(serving) => [
                name_errors("version", &serving.version),
                name_errors("adapter", &serving.adapter),
                serving
                    .deadline_ms
                    .filter(|deadline| deadline.is_zero())
                    .map(|_| "deadline_ms must be above 0".into())
                    .into_iter()
                    .collect(),
            ]
            .concat(),
        }
    }
}

fn parse<T: DeserializeOwned>(path: &Path, value: &Value) -> Result<T, Fault> {
    T::deserialize(value).map_err(|error| Fault::new(path, Some(value), error))
}

fn name_errors<'a>(field: &str, names: impl IntoIterator<Item = &'a Arc<str>>) -> Vec<String> {
    names
        .into_iter()
        .filter_map(|name| check_segment(name).err())
        .map(|error| format!("{field}: {error}"))
        .collect()
}

fn range_errors(field: &str, value: u32, max: u32) -> Vec<String> {
    match (1..=max).contains(&value) {
        true => Vec::new(),
        false => vec![format!("{field} must be from 1 to {max}")],
    }
}

fn port_errors(field: &str, address: SocketAddr) -> Vec<String> {
    match address.port() {
        0 => vec![format!("{field} needs a port from 1 to 65535")],
        _ => Vec::new(),
    }
}

fn model_errors(model: &ModelEntry) -> Vec<String> {
    let is_plain_service = model.kind == EndpointKind::Service;
    let has_weights =
        !model.versions.is_empty() || !model.adapters.is_empty() || model.default_version.is_some();
    let listed = |version| model.versions.contains(version);
    let mut messages = [
        name_errors("versions", &model.versions),
        name_errors("adapters", &model.adapters),
        range_errors("piece_tokens", model.piece_tokens, MAX_PIECE_TOKENS),
    ]
    .concat();
    if is_plain_service && has_weights {
        messages
            .push("a model of kind service has no versions, adapters or default_version".into());
    }
    if !is_plain_service && model.versions.is_empty() {
        messages.push("a model of kind engine needs at least one of versions".into());
    }
    if !is_plain_service && !model.default_version.as_ref().is_some_and(listed) {
        messages.push("default_version must be one of versions".into());
    }
    messages
}
