use super::{
    edit::{self, EditOutcome, EditRequest},
    message::Message,
    peer_links::PeerLinks,
};
use cassiagw_core::{
    ids::Revision,
    ledger::RawRecord,
    membership::{Event, SyncDigest, View, encode},
    settings::Edit,
};
use cassiagw_rpc::{PeerInfo, SyncReply, SyncRequest};
use cassiagw_surfaces::kv::LedgerClient;
use ractor::{ActorRef, RpcReplyPort, concurrency};
use serde_json::Value;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Timeout of calls to the control actor.
const ACTOR_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum delay of an edit's response while the edit is replicated to a peer.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay between two attempts to replicate a revision to a peer.
const REPLICATION_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Handle of the settings and membership of a daemon; clones share one state.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    pub(super) local_peer: PeerInfo,
    pub(super) ledger: LedgerClient,
    pub(super) links: Arc<PeerLinks>,
    pub(super) view: watch::Receiver<Arc<View>>,
    pub(super) current_until: watch::Receiver<Option<Instant>>,
    pub(super) peers: watch::Receiver<Arc<Vec<PeerInfo>>>,
    pub(super) actor: ActorRef<Message>,
}

impl ControlHandle {
    /// Returns the settings and membership that this daemon currently knows.
    ///
    /// The expiry of the view is checked on each call, because after a pause of the process the
    /// last published view may be out of date but still marked as current.
    pub fn view(&self) -> Arc<View> {
        let view = self.view.borrow().clone();
        let is_expired = self.current_until.borrow().is_none_or(|until| until < Instant::now());
        match view.is_current && is_expired {
            true => Arc::new(View { is_current: false, ..(*view).clone() }),
            false => view,
        }
    }

    /// Subscribes to published views. Their `is_current` is not checked for expiry as in
    /// [`Self::view`].
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Returns the registered daemons, including this one.
    pub fn peers(&self) -> Arc<Vec<PeerInfo>> {
        self.peers.borrow().clone()
    }

    /// Reports a settings revision seen in a call from `address`; a newer one is fetched from
    /// there.
    pub fn observe_revision(&self, revision: Revision, address: SocketAddr) {
        if revision > self.view.borrow().tree.revision {
            self.send(Event::RevisionObserved { revision, address });
        }
    }

    /// Validates changes and appends them to the settings log.
    pub async fn edit(&self, req: EditRequest) -> EditOutcome {
        edit::run(self, req).await
    }

    /// Reads one page of accepted edits from a revision on, oldest first.
    ///
    /// # Errors
    /// The log cannot be read, for example because the revision was compacted.
    pub async fn history(&self, from: Revision) -> Result<Vec<(Revision, Edit)>, String> {
        let page = self.ledger.read_page(from).await.map_err(|error| error.to_string())?;
        Ok(page.records.iter().flat_map(edit::decode_edits).collect())
    }

    /// Returns the state of settings and membership for the state dump; null if the actor does not
    /// respond.
    pub async fn dump(&self) -> Value {
        call(&self.actor, Message::Dump).await.unwrap_or(Value::Null)
    }

    /// Handles a peer's anti-entropy request; the reply is empty if the actor does not respond.
    pub async fn sync(&self, req: SyncRequest) -> SyncReply {
        let revision = self.view.borrow().tree.revision;
        call(&self.actor, |reply| Message::Sync(req, reply)).await.unwrap_or_else(|| SyncReply {
            from: self.local_peer.clone(),
            revision,
            payload: Vec::new(),
        })
    }

    /// Revokes the daemon's registration and watcher slot at the key-value service, for a graceful
    /// shutdown.
    pub async fn leave(&self) {
        call(&self.actor, Message::Leave).await.unwrap_or_default();
    }

    /// Kills the control actor without cleanup, to simulate a crash of the process.
    pub fn stop(&self) {
        self.actor.kill();
    }

    /// Passes records that were read from or written to the log to the actor.
    pub(super) fn submit_records(&self, records: Vec<RawRecord>) {
        self.send(Event::RecordsReceived(records));
    }

    /// Waits until the settings have reached a revision.
    pub(super) async fn wait_for_revision(&self, revision: Revision) {
        let mut view = self.view.clone();
        let _ = view.wait_for(|view| view.tree.revision >= revision).await;
    }

    /// Announces a revision to peers until one has fetched it, so that it survives a crash of this
    /// daemon. Gives up with a warning after [`REPLICATION_TIMEOUT`].
    pub(super) async fn replicate_to_peer(&self, revision: Revision) {
        let others =
            self.peers().iter().filter(|peer| peer.daemon != self.local_peer.daemon).count();
        if others == 0 {
            return;
        }
        let first = rand::random::<u64>() as usize % others;
        let replicate = async {
            let mut attempt = first;
            while !self.sync_two_peers(revision, attempt).await {
                attempt += 1;
                sleep(REPLICATION_RETRY_DELAY).await;
            }
        };
        if timeout(REPLICATION_TIMEOUT, replicate).await.is_err() {
            log::warn!(event = "edit_not_told", revision = revision; "");
        }
    }

    /// Syncs with two peers, which fetch the revision from this daemon if they lack it, and returns
    /// whether one of them has it. The pair moves on by one peer every four attempts.
    async fn sync_two_peers(&self, revision: Revision, attempt: usize) -> bool {
        let peers = self.peers();
        let others =
            peers.iter().filter(|peer| peer.daemon != self.local_peer.daemon).collect::<Vec<_>>();
        if others.is_empty() {
            return true;
        }
        // Only the revision of the reply is used; the maximum version keeps member changes out of it.
        let digest = SyncDigest { members: u64::MAX, hosts: 0, page_after: None };
        let sync_with = |index: usize| {
            let from = self.local_peer.clone();
            let req = SyncRequest { from, revision, payload: encode(&digest) };
            self.links.sync(others[index % others.len()].address, req)
        };
        let (one, other) = tokio::join!(sync_with(attempt / 4), sync_with(attempt / 4 + 1));
        one.into_iter().chain(other).any(|reply| reply.revision >= revision)
    }

    fn send(&self, event: Event) {
        let _ = self.actor.cast(Message::Event(event));
    }
}

/// Calls the actor; `None` if it has stopped or does not reply in time.
async fn call<T: Send + 'static>(
    actor: &ActorRef<Message>,
    message: impl FnOnce(RpcReplyPort<T>) -> Message,
) -> Option<T> {
    let (tx, rx) = concurrency::oneshot();
    actor.cast(message(tx.into())).ok()?;
    timeout(ACTOR_TIMEOUT, rx).await.ok()?.ok()
}
