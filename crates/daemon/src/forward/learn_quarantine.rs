//! What a daemon that starts asks the others before it sends requests: a part that crashes endpoints would
//! crash more of them until their reports come.

use super::{forwarder::Forwarder, peers::sample_peers, quarantine::update_quarantine};
use futures::future::join_all;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::timeout;

/// Number of daemons that are asked. Some of them may have just ended, or started themselves.
const ASKED_PEERS: usize = 6;
/// Time within which they must answer, for which requests wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks other daemons for the quarantines in force as soon as the settings are known, and with them the
/// other daemons. Requests are sent from then on.
pub async fn learn_quarantine(fw: Arc<Forwarder>) {
    let mut changed = fw.changed.subscribe();
    while !fw.state().is_loaded() {
        if changed.changed().await.is_err() {
            return;
        }
    }
    let asked = sample_peers(&fw, ASKED_PEERS).into_iter().map(|address| ask(&fw, address));
    // Who does not answer in time reports within a second.
    let _ = timeout(ANSWER_TIMEOUT, join_all(asked)).await;
    fw.may_send.send_replace(true);
}

async fn ask(fw: &Forwarder, address: SocketAddr) {
    let report = fw.peers.call(address, async |peer, cx| peer.quarantine(cx).await).await;
    if let Some(report) = report {
        fw.state().quarantine.on_report(Instant::now(), Duration::ZERO, report);
        update_quarantine(fw);
    }
}
