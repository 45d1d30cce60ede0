//! HTTP client of the operators' interface.

mod entry_client;
mod http;

pub use self::{
    entry_client::{EntryClient, SettingsDocument},
    http::get_json,
};
