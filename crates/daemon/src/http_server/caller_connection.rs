use std::net::{IpAddr, Ipv4Addr};
use tokio::{net::TcpStream, sync::Notify};

/// Connection of a caller, which other tasks may close.
#[derive(Debug)]
pub struct CallerConnection {
    /// Address of the caller.
    pub address: IpAddr,
    closing: Notify,
}

impl CallerConnection {
    /// Describes an accepted connection.
    pub fn new(stream: &TcpStream) -> Self {
        // An unknown address means that the connection is closed already.
        let address = stream.peer_addr().map_or(Ipv4Addr::UNSPECIFIED.into(), |peer| peer.ip());
        Self { address, closing: Notify::new() }
    }

    /// Closes the connection without waiting for what is still to be sent.
    pub fn close(&self) {
        self.closing.notify_one();
    }

    /// Completes when the connection is to be closed.
    pub async fn closed(&self) {
        self.closing.notified().await;
    }
}
