//! Daemons of different deployments refuse to connect to each other.
//!
//! Guards against requests reaching a daemon of another deployment that has taken over the address
//! of the intended one.

use cassiagw_rpc::{Deployment, accept_loop, connect_endpoint, connect_peer};
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::net::TcpListener;

/// Connection timeout, far above the time that a successful connection takes.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);

struct Case {
    name: &'static str,
    server: &'static str,
    client: &'static str,
    connects: bool,
}

#[tokio::test]
async fn only_the_same_deployment_gets_a_connection() {
    let cases = [
        Case { name: "same", server: "/a", client: "/a", connects: true },
        Case { name: "other", server: "/a", client: "/b", connects: false },
        Case { name: "prefix", server: "/a", client: "/ab", connects: false },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binding a loopback port");
        let address = listener.local_addr().expect("address of the bound listener");
        let served = Arc::new(AtomicUsize::new(0));
        let counter = served.clone();
        let server = tokio::spawn(accept_loop(listener, Deployment::new(case.server), move |_| {
            let counter = counter.clone();
            async move {
                counter.fetch_add(1, Ordering::SeqCst);
            }
        }));
        let client = Deployment::new(case.client);
        let endpoint = connect_endpoint(address, client, CONNECT_TIMEOUT).await;
        assert_eq!(endpoint.is_ok(), case.connects, "{}", case.name);
        let peer = connect_peer(address, client, CONNECT_TIMEOUT).await;
        assert_eq!(peer.is_ok(), case.connects, "{}", case.name);
        if !case.connects {
            assert_eq!(served.load(Ordering::SeqCst), 0, "{}", case.name);
        }
        server.abort();
    }
}
