//! Server side of the RPC protocol between daemons.

mod server;

pub use self::server::PeerServer;
