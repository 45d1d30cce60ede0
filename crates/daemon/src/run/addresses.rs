use std::{fmt, net::SocketAddr};

/// Addresses that a daemon listens on, with the ports that the system chose.
///
/// It prints as one line of key=value pairs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Callers and operators.
    pub http: Option<SocketAddr>,
    /// Requests of entries.
    pub rpc: Option<SocketAddr>,
    /// Other daemons.
    pub peer: SocketAddr,
    /// Health, metrics and dump.
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
