use cassiagw_core::membership::Event;
use cassiagw_rpc::{SyncReply, SyncRequest};
use ractor::RpcReplyPort;
use serde_json::Value;

/// Message to the control actor, with a reply port for calls.
pub enum Message {
    /// Input for the settings and membership state machine.
    Event(Event),
    /// Anti-entropy request of a peer.
    Sync(SyncRequest, RpcReplyPort<SyncReply>),
    /// Requests the state for the state dump.
    Dump(RpcReplyPort<Value>),
    /// Revokes the leases of the daemon's registration and watcher slot before shutdown.
    Leave(RpcReplyPort<()>),
}
