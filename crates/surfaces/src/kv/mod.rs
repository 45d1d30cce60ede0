//! Client of the platform's key-value service, which speaks the protocol of the etcd v3 JSON
//! gateway.

mod client;
mod lease;
mod ledger_client;
mod watch;
mod wire;

pub use self::{
    client::{KvClient, KvLimits},
    lease::{LeaseId, LeaseState},
    ledger_client::{LedgerClient, LedgerReadError, LoadedLedger},
    watch::{KvWatch, WatchError, WatchEvent, WatchResponse},
};
