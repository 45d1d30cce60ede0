//! Server of the protocol between daemons.

mod server;

pub use self::server::PeerServer;
