use super::{message::Message, peer_links::PeerLinks, service::ServiceCalls};
use cassiagw_core::membership::{Action, Event, PeerInfo, SyncDigest, decode, encode};
use cassiagw_rpc::SyncRequest;
use cassiagw_surfaces::hosts::{HostState, HostsClient};
use ractor::ActorRef;
use std::{
    future::Future,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::mpsc, task::AbortHandle};

/// Timeout of calls to a peer.
pub const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of reading the host list.
const HOST_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Imperative shell around the state machine: executes its actions as calls and returns the results
/// to the actor as events.
pub struct Shell {
    pub local_peer: PeerInfo,
    pub service: ServiceCalls,
    pub hosts: Option<HostsClient>,
    pub links: Arc<PeerLinks>,
}

/// Running watch tasks; aborted when the actor's state is dropped.
#[derive(Default)]
pub struct Watches {
    running: Vec<AbortHandle>,
}

impl Drop for Watches {
    fn drop(&mut self) {
        self.abort_all();
    }
}

impl Watches {
    fn abort_all(&mut self) {
        self.running.drain(..).for_each(|watch| watch.abort());
    }

    fn add(&mut self, watch: AbortHandle) {
        self.running.retain(|watch| !watch.is_finished());
        self.running.push(watch);
    }
}

impl Shell {
    /// Starts the execution of an action; its result is sent to the actor as an event.
    pub fn execute(
        self: &Arc<Self>,
        actor: &ActorRef<Message>,
        watches: &mut Watches,
        action: Action,
    ) {
        let shell = self.clone();
        match action {
            Action::ReadLog { next } => {
                spawn_call(actor, async move { shell.service.read_log(next).await });
            }
            Action::LoadSettings => {
                spawn_call(actor, async move { shell.service.load_settings().await })
            }
            Action::ReadMembers => {
                spawn_call(actor, async move { shell.service.read_members().await });
            }
            Action::Register => {
                spawn_call(actor, async move { shell.service.register(&shell.local_peer).await });
            }
            Action::RenewRegistration { lease } => spawn_call(actor, async move {
                Event::RegistrationRenewed(shell.service.renew_lease(lease).await)
            }),
            Action::Campaign { slot } => {
                spawn_call(
                    actor,
                    async move { shell.service.campaign(&shell.local_peer, slot).await },
                );
            }
            Action::RenewSlot { lease } => spawn_call(actor, async move {
                Event::SlotRenewed(shell.service.renew_lease(lease).await)
            }),
            Action::ReadHosts => spawn_call(actor, async move { shell.read_hosts().await }),
            Action::Sync { to, revision, digest } => {
                spawn_call(actor, async move { shell.sync(to, revision, digest).await });
            }
            Action::WriteSnapshot { tree, ahead } => {
                tokio::spawn(async move { shell.service.write_snapshot(&tree, ahead).await });
            }
            Action::WatchLog { from } => watches.add(spawn_watch(actor, move |tx| async move {
                shell.service.watch_log(from, tx).await
            })),
            Action::WatchMembers { from } => watches
                .add(spawn_watch(actor, move |tx| async move {
                    shell.service.watch_members(from, tx).await
                })),
            Action::StopWatches => watches.abort_all(),
        }
    }

    /// Revokes leases; failures are only logged, as the leases then expire.
    pub async fn revoke_leases(&self, leases: Vec<i64>) {
        for lease in leases {
            self.service.revoke_lease(lease).await;
        }
    }

    async fn read_hosts(&self) -> Event {
        let Some(hosts) = &self.hosts else { return Event::HostsRead(Some(Vec::new())) };
        let list = hosts.list(HOST_LIST_TIMEOUT).await.inspect_err(|error| {
            log::debug!(event = "host_list_failed", error:% = error; "");
        });
        let is_leaving = |state| state == HostState::Leaving;
        let list = list.ok().map(|list| {
            list.into_iter().map(|listed| (listed.host, is_leaving(listed.state))).collect()
        });
        Event::HostsRead(list)
    }

    async fn sync(&self, to: SocketAddr, revision: u64, digest: SyncDigest) -> Event {
        let sent = Instant::now();
        let req = SyncRequest { from: self.local_peer.clone(), revision, payload: encode(&digest) };
        let reply = self.links.sync(to, req).await.and_then(|reply| {
            let delta = decode(&reply.payload).ok()?;
            Some((reply.revision, Box::new(delta)))
        });
        Event::SyncReplied { to, sent, reply }
    }
}

fn spawn_call(actor: &ActorRef<Message>, call: impl Future<Output = Event> + Send + 'static) {
    let actor = actor.clone();
    tokio::spawn(async move {
        let event = call.await;
        let _ = actor.cast(Message::Event(event));
    });
}

/// Spawns a watch and forwards its events to the actor in order.
fn spawn_watch<F>(
    actor: &ActorRef<Message>,
    watch: impl FnOnce(mpsc::UnboundedSender<Event>) -> F,
) -> AbortHandle
where
    F: Future<Output = ()> + Send + 'static,
{
    let (tx, mut rx) = mpsc::unbounded_channel();
    let actor = actor.clone();
    let watch = watch(tx);
    let forward = async move {
        while let Some(event) = rx.recv().await {
            let _ = actor.cast(Message::Event(event));
        }
    };
    tokio::spawn(async move {
        tokio::join!(watch, forward);
    })
    .abort_handle()
}
