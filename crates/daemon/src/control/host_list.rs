use cassiagw_core::ids::HostId;
use cassiagw_platform::http::{HttpClient, HttpRequest};
use hyper::Method;
use serde::Deserialize;
use std::net::SocketAddr;

/// Answer of the platform's host list.
#[derive(Deserialize)]
struct HostList {
    hosts: Vec<ListedHost>,
}

#[derive(Deserialize)]
struct ListedHost {
    host: HostId,
    state: HostState,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum HostState {
    Live,
    Leaving,
}

/// Reads every listed host with whether it is leaving.
pub async fn read(http: &HttpClient, address: SocketAddr) -> Option<Vec<(HostId, bool)>> {
    let answer = http.call(address, HttpRequest::new(Method::GET, "/v1/hosts")).await;
    let list = match answer {
        Ok(answer) if answer.status.is_success() => answer.json::<HostList>(),
        Ok(answer) => {
            log::debug!(event = "host_list_failed", status:% = answer.status; "");
            return None;
        }
        Err(error) => {
            log::debug!(event = "host_list_failed", error:% = error; "");
            return None;
        }
    };
    match list {
        Ok(list) => {
            let hosts = list.hosts.into_iter();
            Some(hosts.map(|listed| (listed.host, listed.state == HostState::Leaving)).collect())
        }
        Err(error) => {
            log::warn!(event = "host_list_unreadable", error:% = error; "");
            None
        }
    }
}
