use super::{KvClient, wire};
use crate::http::HttpRequest;
use cassiagw_core::ledger::{KvPair, KvRange};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

/// Change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was written.
    Put(KvPair),
    /// The key was deleted.
    Delete {
        /// Deleted key.
        key: String,
        /// Store revision of the deletion.
        revision: u64,
    },
}

impl WatchEvent {
    /// Returns the store revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Put(pair) => pair.mod_revision,
            Self::Delete { revision, .. } => *revision,
        }
    }
}

/// One response of a watch stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchResponse {
    /// Store revision at the time of the response.
    pub revision: u64,
    /// Changes in revision order; can be empty.
    pub events: Vec<WatchEvent>,
}

/// Reason for the end of a watch.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WatchError {
    /// The changes since the requested revision were compacted. Holds the oldest revision still
    /// available; the keys must be read again.
    #[error("watch ended: changes before revision {0} were compacted")]
    Compacted(u64),
    /// The watch could not be opened, its connection ended, or a response could not be decoded.
    /// The caller can open a new watch.
    #[error("watch was interrupted: {0}")]
    Cut(String),
}

/// Response stream of an open watch.
#[derive(Debug)]
pub struct KvWatch {
    body: Incoming,
    buf: Vec<u8>,
}

impl KvClient {
    /// Watches a range of keys from a store revision on.
    ///
    /// # Errors
    /// [`WatchError::Cut`] if the watch could not be opened.
    pub async fn watch(&self, range: &KvRange, start_revision: u64) -> Result<KvWatch, WatchError> {
        let req = HttpRequest::new_json("/v3/watch", &wire::watch_request(range, start_revision));
        let response = self
            .http
            .open(self.preferred_member(), req)
            .await
            .map_err(|error| WatchError::Cut(error.to_string()))?;
        match response.status() {
            status if status.is_success() => {
                Ok(KvWatch { body: response.into_body(), buf: Vec::new() })
            }
            status => Err(WatchError::Cut(status.to_string())),
        }
    }
}

impl KvWatch {
    /// Waits for the next response.
    ///
    /// # Errors
    /// [`WatchError`]; the watch returns no further responses.
    pub async fn next(&mut self) -> Result<WatchResponse, WatchError> {
        loop {
            if let Some(message) = self.next_message()? {
                return decode_message(message);
            }
            let frame = self
                .body
                .frame()
                .await
                .ok_or_else(|| WatchError::Cut("connection closed".into()))?;
            let frame = frame.map_err(|error| WatchError::Cut(error.to_string()))?;
            frame.data_ref().into_iter().for_each(|data| self.buf.extend_from_slice(data));
        }
    }

    /// Removes one JSON document from the front of the buffer; `None` if it is incomplete.
    fn next_message(&mut self) -> Result<Option<wire::WatchMessage>, WatchError> {
        let mut documents = serde_json::Deserializer::from_slice(&self.buf)
            .into_iter::<wire::StreamResult<wire::WatchMessage>>();
        match documents.next() {
            Some(Ok(document)) => {
                let used = documents.byte_offset();
                self.buf.drain(..used);
                Ok(Some(document.result))
            }
            Some(Err(error)) if error.is_eof() => Ok(None),
            Some(Err(error)) => Err(WatchError::Cut(error.to_string())),
            None => Ok(None),
        }
    }
}

fn decode_message(message: wire::WatchMessage) -> Result<WatchResponse, WatchError> {
    if message.compact_revision > 0 {
        return Err(WatchError::Compacted(message.compact_revision));
    }
    if message.canceled {
        return Err(WatchError::Cut("canceled".into()));
    }
    let events = message.events.into_iter().map(decode_event).collect();
    Ok(WatchResponse { revision: message.header.revision, events })
}

fn decode_event(event: wire::EventMessage) -> WatchEvent {
    let pair = KvPair::from(event.kv);
    match event.kind.as_str() {
        "DELETE" => WatchEvent::Delete { key: pair.key, revision: pair.mod_revision },
        // A put, whose type is the default value and omitted by the gateway.
        _ => WatchEvent::Put(pair),
    }
}
