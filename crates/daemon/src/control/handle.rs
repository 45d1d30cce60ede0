use super::edit::{self, EditOutcome, EditRequest};
use cassiagw_core::{ids::Revision, ledger::RawRecord, membership::View, settings::Edit};
use cassiagw_platform::kv::LedgerClient;
use cassiagw_rpc::{PeerInfo, SyncReply, SyncRequest};
use std::{net::SocketAddr, sync::Arc};
use tokio::sync::{mpsc, watch};

/// Access of the other parts of a daemon to settings and membership; clones share one state.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    pub(super) me: PeerInfo,
    pub(super) ledger: LedgerClient,
    pub(super) view: watch::Receiver<Arc<View>>,
    pub(super) peers: watch::Receiver<Arc<Vec<PeerInfo>>>,
    pub(super) feed: mpsc::Sender<Vec<RawRecord>>,
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

    /// Checks changes and appends them to the settings.
    pub async fn edit(&self, req: EditRequest) -> EditOutcome {
        edit::run(self, req).await
    }

    /// Reads accepted edits from a revision on, oldest first.
    pub async fn history(&self, from: Revision) -> Result<Vec<(Revision, Edit)>, String> {
        let page = self.ledger.read_page(from).await.map_err(|error| error.to_string())?;
        Ok(page.records.iter().flat_map(edit::edits_of).collect())
    }

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

    /// Hands over records that were read or written at the service.
    pub(super) async fn feed(&self, records: Vec<RawRecord>) {
        let _ = self.feed.send(records).await;
    }

    /// Waits until the settings in force reach a revision.
    pub(super) async fn reached(&self, revision: Revision) {
        let mut view = self.view.clone();
        let _ = view.wait_for(|view| view.tree.revision >= revision).await;
    }
}
