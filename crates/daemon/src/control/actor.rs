use super::{
    message::Message,
    publisher::Publisher,
    shell::{Shell, Watches},
};
use cassiagw_core::membership::{Action, Gossip, SyncDigest, decode, encode};
use cassiagw_rpc::{SyncReply, SyncRequest};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use serde_json::{Value, json};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Interval of the tick events that drive timeouts and periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Actor that owns the settings and membership state machine of one daemon.
pub struct ControlActor;

/// State of the actor: the state machine, and the parts that execute its actions and publish its
/// results.
pub struct ControlState {
    pub gossip: Gossip,
    pub shell: Arc<Shell>,
    pub publisher: Publisher,
    pub watches: Watches,
}

impl Actor for ControlActor {
    type Arguments = ControlState;
    type Msg = Message;
    type State = ControlState;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        state: ControlState,
    ) -> Result<ControlState, ActorProcessingErr> {
        myself.send_interval(TICK_INTERVAL, || {
            Message::Event(cassiagw_core::membership::Event::Tick)
        });
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut ControlState,
    ) -> Result<(), ActorProcessingErr> {
        let now = Instant::now();
        match message {
            Message::Event(event) => {
                let actions = state.gossip.on_event(now, event);
                state.execute(&myself, actions);
            }
            Message::Sync(req, reply) => {
                let (response, actions) = state.handle_sync(now, &req);
                state.execute(&myself, actions);
                let _ = reply.send(response);
            }
            Message::Dump(reply) => {
                let _ = reply.send(state.dump(now));
            }
            Message::Leave(reply) => {
                let leases = state.gossip.leases();
                let shell = state.shell.clone();
                tokio::spawn(async move {
                    shell.revoke_leases(leases).await;
                    let _ = reply.send(());
                });
            }
        }
        state.publisher.publish(&state.gossip, now);
        Ok(())
    }
}

impl ControlState {
    fn execute(&mut self, actor: &ActorRef<Message>, actions: Vec<Action>) {
        for action in actions {
            self.shell.execute(actor, &mut self.watches, action);
        }
    }

    fn handle_sync(&mut self, now: Instant, req: &SyncRequest) -> (SyncReply, Vec<Action>) {
        let from = self.shell.local_peer.clone();
        match decode::<SyncDigest>(&req.payload) {
            Ok(digest) => {
                let (revision, delta, actions) =
                    self.gossip.on_sync(now, &req.from, req.revision, &digest);
                (SyncReply { from, revision, payload: encode(&delta) }, actions)
            }
            Err(error) => {
                let peer = &req.from.daemon;
                log::warn!(event = "sync_unreadable", peer:% = peer, error:% = error; "");
                let revision = self.gossip.tree().revision;
                (SyncReply { from, revision, payload: Vec::new() }, Vec::new())
            }
        }
    }

    fn dump(&self, now: Instant) -> Value {
        let status = self.gossip.status(now);
        let tree = self.gossip.tree();
        json!({
            "revision": status.revision,
            "watcher_slot": status.slot,
            "confirmed_age_ms": status.confirmed_age.map(|age| age.as_millis() as u64),
            "zones_reporting_service_down": status.down,
            "members": status.members,
            "skipped_changes": status.skipped_changes,
            "settings": {
                "zones": tree.zones.len(),
                "models": tree.models.len(),
                "endpoints": tree.endpoints.len(),
                "stores": tree.stores.len(),
                "workspaces": tree.workspaces.len(),
                "teams": tree.access.len(),
                "callers": tree.callers.len(),
                "serving": tree.serving.len(),
            },
        })
    }
}
