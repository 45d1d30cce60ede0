use super::http::{Call, send};
use crate::CliError;
use hyper::Method;
use serde::Deserialize;
use serde_json::{Value, json};
use std::{collections::BTreeMap, net::SocketAddr};

/// HTTP client of the operator API, with failover between several entry daemons.
#[derive(Clone, Debug)]
pub struct EntryClient {
    entries: Vec<SocketAddr>,
    token: String,
}

/// Settings read at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct SettingsDocument {
    /// Revision at which the settings were read.
    pub revision: u64,
    /// Values by settings path.
    pub entries: BTreeMap<String, Value>,
}

impl EntryClient {
    /// Creates a client that tries the entry daemons at these addresses in the given order.
    ///
    /// # Errors
    /// [`CliError::Usage`] if `entries` is empty, or if the token is empty or has characters other
    /// than printable ASCII without spaces.
    pub fn new(entries: Vec<SocketAddr>, token: String) -> Result<Self, CliError> {
        if entries.is_empty() {
            let message = "no entry address: set --entry or CASSIAGW_ENTRY";
            return Err(CliError::Usage(message.into()));
        }
        if token.is_empty() || !token.bytes().all(|byte| byte.is_ascii_graphic()) {
            let message = "token is missing or not printable ASCII: set --token or CASSIAGW_TOKEN";
            return Err(CliError::Usage(message.into()));
        }
        Ok(Self { entries, token })
    }

    /// Reads a JSON document, trying each entry until one responds.
    ///
    /// A read changes nothing, so the next entry is tried even if the request may have been
    /// processed. An error response is final: the remaining entries are not tried.
    ///
    /// # Errors
    /// [`CliError::Usage`] if the path cannot be part of a URL, [`CliError::Unreachable`] if no
    /// entry gave a valid response, [`CliError::Refused`] if one returned an error response.
    pub async fn get(&self, path: &str) -> Result<Value, CliError> {
        let mut last_error = CliError::Unreachable("no entry address".into());
        for entry in &self.entries {
            match self.send(*entry, Method::GET, path, None).await {
                Err(error @ CliError::Unreachable(_)) => last_error = error,
                Err(CliError::Unknown(cause)) => last_error = CliError::Unreachable(cause),
                outcome => return outcome,
            }
        }
        Err(last_error)
    }

    /// Reads the settings below a path; the empty path reads all of them.
    ///
    /// # Errors
    /// As for [`Self::get`]; also [`CliError::Unreachable`] if the response is not a
    /// [`SettingsDocument`].
    pub async fn settings(&self, path: &str) -> Result<SettingsDocument, CliError> {
        let path = match path {
            "" => "/v1/settings".to_owned(),
            path => format!("/v1/settings/{}", validate_path(path)?),
        };
        let document = self.get(&path).await?;
        serde_json::from_value(document)
            .map_err(|error| CliError::Unreachable(format!("invalid response: {error}")))
    }

    /// Writes several settings atomically and returns the revision that contains them.
    ///
    /// With `base`, the entry rejects the write if a setting that it writes, or one linked to it by
    /// a reference, was changed after that revision. The next entry is tried only if the request
    /// was not sent, so that a write is never submitted twice.
    ///
    /// # Errors
    /// [`CliError::Unreachable`] if nothing was sent, [`CliError::Unknown`] if the write may have
    /// been applied, [`CliError::Refused`] if the entry rejected it.
    pub async fn write(
        &self,
        base: Option<u64>,
        changes: &BTreeMap<String, Value>,
    ) -> Result<u64, CliError> {
        let changes = changes
            .iter()
            .map(|(path, value)| json!({ "path": path, "value": value }))
            .collect::<Vec<_>>();
        let body = json!({ "base": base, "changes": changes });
        let mut last_error = CliError::Unreachable("no entry address".into());
        for entry in &self.entries {
            match self.send(*entry, Method::POST, "/v1/settings", Some(&body)).await {
                Err(error @ CliError::Unreachable(_)) => last_error = error,
                Err(error) => return Err(error),
                Ok(response) => {
                    let missing_revision =
                        || CliError::Unknown(format!("invalid response: {response}"));
                    return response["revision"].as_u64().ok_or_else(missing_revision);
                }
            }
        }
        Err(last_error)
    }

    async fn send(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, CliError> {
        let token = Some(self.token.as_str());
        send(entry, &Call { method, path, token, body }).await
    }
}

/// Rejects spaces, control characters, non-ASCII characters, `?` and `#`, which cannot stand
/// unescaped in the path of a URL. The entry daemon checks the rest of the syntax.
fn validate_path(path: &str) -> Result<&str, CliError> {
    let is_plain = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#');
    match path.bytes().all(is_plain) {
        true => Ok(path),
        false => Err(CliError::Usage(format!("{path:?} is not a valid settings path"))),
    }
}
