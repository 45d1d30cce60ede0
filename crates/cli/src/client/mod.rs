//! HTTP client of the operator API.

mod entry_client;
mod http;

pub use self::{
    entry_client::{EntryClient, SettingsDocument},
    http::{get_json, post_json},
};
