use super::http::{Call, send};
use crate::CliError;
use hyper::Method;
use serde::Deserialize;
use serde_json::{Value, json};
use std::{collections::BTreeMap, net::SocketAddr};

/// Client of any of several entries.
#[derive(Clone, Debug)]
pub struct EntryClient {
    entries: Vec<SocketAddr>,
    token: String,
}

/// Settings at one revision, by path.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct SettingsDocument {
    /// Revision.
    pub revision: u64,
    /// Values.
    pub entries: BTreeMap<String, Value>,
}

impl EntryClient {
    /// Makes a client that tries the entries in their order.
    ///
    /// # Errors
    /// No entry is given, or the token is not one line of plain text.
    pub fn new(entries: Vec<SocketAddr>, token: String) -> Result<Self, CliError> {
        if entries.is_empty() {
            let message = "give the address of an entry with --entry or CASSIAGW_ENTRY";
            return Err(CliError::Usage(message.into()));
        }
        if token.is_empty() || !token.bytes().all(|byte| byte.is_ascii_graphic()) {
            let message = "give a token of plain characters with --token or CASSIAGW_TOKEN";
            return Err(CliError::Usage(message.into()));
        }
        Ok(Self { entries, token })
    }

    /// Reads a document; each entry is tried until one answers.
    ///
    /// # Errors
    /// [`CliError`]
    pub async fn get(&self, path: &str) -> Result<Value, CliError> {
        let mut last = CliError::Unreachable("none is given".into());
        for entry in &self.entries {
            match self.send(*entry, Method::GET, path, None).await {
                Err(error @ CliError::Unreachable(_)) => last = error,
                Err(CliError::Unknown(cause)) => last = CliError::Unreachable(cause),
                outcome => return outcome,
            }
        }
        Err(last)
    }

    /// Reads the settings below a path.
    ///
    /// # Errors
    /// [`CliError`]
    pub async fn settings(&self, path: &str) -> Result<SettingsDocument, CliError> {
        let path = match path {
            "" => "/v1/settings".to_owned(),
            path => format!("/v1/settings/{}", checked(path)?),
        };
        let document = self.get(&path).await?;
        serde_json::from_value(document)
            .map_err(|error| CliError::Unreachable(format!("bad answer: {error}")))
    }

    /// Writes several settings at once and gives the revision from which they are in force.
    ///
    /// The next entry is tried only where the request was not sent.
    ///
    /// # Errors
    /// [`CliError`]
    pub async fn write(
        &self,
        base: Option<u64>,
        changes: &BTreeMap<String, Value>,
    ) -> Result<u64, CliError> {
        let changes = changes
            .iter()
            .map(|(path, value)| json!({ "path": path, "value": value }))
            .collect::<Vec<_>>();
        let document = json!({ "base": base, "changes": changes });
        let mut last = CliError::Unreachable("none is given".into());
        for entry in &self.entries {
            match self.send(*entry, Method::POST, "/v1/settings", Some(&document)).await {
                Err(error @ CliError::Unreachable(_)) => last = error,
                Err(error) => return Err(error),
                Ok(answer) => {
                    let unreadable = || CliError::Unknown(format!("bad answer: {answer}"));
                    return answer["revision"].as_u64().ok_or_else(unreadable);
                }
            }
        }
        Err(last)
    }

    async fn send(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        document: Option<&Value>,
    ) -> Result<Value, CliError> {
        let token = Some(self.token.as_str());
        send(entry, &Call { method, path, token, document }).await
    }
}

/// Refuses a path that could not be sent as it stands; its grammar is the entry's to check.
fn checked(path: &str) -> Result<&str, CliError> {
    let is_plain = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#');
    match path.bytes().all(is_plain) {
        true => Ok(path),
        false => Err(CliError::Usage(format!("{path:?} is not a path of settings"))),
    }
}
