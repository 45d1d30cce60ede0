use std::{fmt, net::SocketAddr};

/// Bound listen addresses of a daemon, with the ports that the operating system assigned.
///
/// `Display` writes one line of `key=value` pairs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP interface for callers and operators; `None` on endpoint daemons.
    pub http: Option<SocketAddr>,
    /// RPC interface for entries; `None` on entries.
    pub rpc: Option<SocketAddr>,
    /// Protocol between daemons.
    pub peer: SocketAddr,
    /// HTTP interface for health, metrics and the state dump.
    pub admin: SocketAddr,
}

impl fmt::Display for Addresses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event=listening peer={} admin={}", self.peer, self.admin)?;
        let optional = [("http", self.http), ("rpc", self.rpc)];
        optional
            .iter()
            .filter_map(|(name, address)| Some((name, (*address)?)))
            .try_for_each(|(name, address)| write!(f, " {name}={address}"))
    }
}
