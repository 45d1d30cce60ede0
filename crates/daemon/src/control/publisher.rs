use cassiagw_core::membership::{Gossip, PeerInfo, View};
use std::{sync::Arc, time::Instant};
use tokio::sync::watch;

/// Publishes the view, its expiry and the peer list to the rest of the daemon.
pub struct Publisher {
    pub view: watch::Sender<Arc<View>>,
    pub current_until: watch::Sender<Option<Instant>>,
    pub peers: watch::Sender<Arc<Vec<PeerInfo>>>,
}

impl Publisher {
    /// Publishes the values that changed since the last call.
    pub fn publish(&mut self, gossip: &Gossip, now: Instant) {
        let until = gossip.current_until();
        self.current_until.send_if_modified(|last| std::mem::replace(last, until) != until);
        let next = gossip.view(now);
        self.view.send_if_modified(|last| {
            let is_same = last.is_current == next.is_current
                && last.tree.revision == next.tree.revision
                && Arc::ptr_eq(&last.leaving, &next.leaving);
            if !is_same {
                log_change(last, &next);
                *last = Arc::new(next);
            }
            !is_same
        });
        let peers = gossip.peers();
        self.peers.send_if_modified(|last| {
            let is_same = Arc::ptr_eq(last, peers);
            if !is_same {
                *last = peers.clone();
            }
            !is_same
        });
    }
}

fn log_change(last: &View, next: &View) {
    let revision = next.tree.revision;
    let (leaving, current) = (next.leaving.len(), next.is_current);
    if last.is_current != current {
        log::warn!(event = "view_current", current = current, revision = revision; "");
    } else {
        log::info!(event = "view_changed", revision = revision, leaving = leaving; "");
    }
}
