use super::Route;
use crate::ids::FastMap;
use std::sync::Arc;

/// Routes by host and longest matching path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Routes of each host, by path prefix.
    hosts: FastMap<String, HostRoutes>,
}

type HostRoutes = FastMap<String, Arc<Route>>;

impl RouteTable {
    /// Builds the table; of several routes with the same host and prefix the last one wins.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut hosts: FastMap<String, HostRoutes> = FastMap::default();
        for route in routes {
            let of_host = hosts.entry(route.host.clone()).or_default();
            of_host.insert(route.prefix.clone(), Arc::new(route));
        }
        Self { hosts }
    }

    /// Finds the route of a request; the host may be in any case and include a port.
    ///
    /// Costs one lookup per slash in the path, independent of the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(&host_name(host))?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| routes.get(prefix))
    }

    /// Iterates over all routes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(FastMap::values)
    }
}

fn host_name(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
