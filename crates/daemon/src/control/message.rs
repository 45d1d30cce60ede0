use cassiagw_core::membership::Event;
use cassiagw_rpc::{SyncReply, SyncRequest};
use ractor::RpcReplyPort;
use serde_json::Value;

/// Message to the control actor.
pub enum Message {
    /// Something happened.
    Event(Event),
    /// A peer asks for news.
    Sync(SyncRequest, RpcReplyPort<SyncReply>),
    /// The state is dumped.
    Dump(RpcReplyPort<Value>),
    /// The daemon leaves: end its registration and slot.
    Leave(RpcReplyPort<()>),
}
