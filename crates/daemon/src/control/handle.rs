use cassiagw_core::{ids::Revision, membership::View};
use cassiagw_rpc::{PeerInfo, SyncReply, SyncRequest};
use std::{net::SocketAddr, sync::Arc};
use tokio::sync::watch;

/// Access of the other parts of a daemon to settings and membership; clones share one state.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    pub(super) me: PeerInfo,
    pub(super) view: watch::Receiver<Arc<View>>,
    pub(super) peers: watch::Receiver<Arc<Vec<PeerInfo>>>,
}

impl ControlHandle {
    /// Gives the settings and membership that this daemon knows now.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Follows the changes of [`Self::view`].
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Lists the live daemons that registered.
    pub fn peers(&self) -> Arc<Vec<PeerInfo>> {
        self.peers.borrow().clone()
    }

    /// Tells that a call from `address` carried a revision, to be pulled if it is newer.
    pub fn observe_revision(&self, _revision: Revision, _address: SocketAddr) {}

    /// Gives the state of settings and membership for a dump.
    pub async fn dump(&self) -> serde_json::Value {
        serde_json::json!({ "revision": self.view().tree.revision })
    }

    /// Answers a peer's anti-entropy request.
    pub async fn sync(&self, _req: SyncRequest) -> SyncReply {
        SyncReply {
            from: self.me.clone(),
            revision: self.view().tree.revision,
            payload: Vec::new(),
        }
    }
}
