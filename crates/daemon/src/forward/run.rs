use super::{
    admin::answer_admin,
    follow_caches::follow_caches,
    follow_store::follow_store,
    forwarder::Forwarder,
    learn_quarantine::learn_quarantine,
    membership::maintain_membership,
    orders::OrderTask,
    peers::{exchange_changes, serve_peers},
    quarantine::store_quarantine,
    queues::serve_queues,
    ready::answer_ready,
    rollout_leader::suspect_versions,
    serve::serve,
    settings_file::SettingsFile,
    stream_origins::tell_origins,
    version_announcements::announce_versions,
    work_reports::send_work_reports,
};
use crate::{
    http_server::serve_admin,
    run::{RunError, bind},
    supervise::supervise,
};
use cassiagw_core::forwarding::ForwardConfig;
use hyper::{Request, body::Incoming};
use std::{
    future::{self, Future},
    sync::Arc,
    time::Duration,
};
use tokio::{net::TcpListener, task::JoinSet, time::sleep};

/// Interval at which expired pool connections are closed.
const POOL_CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// A daemon in the forwarding role with open listeners.
pub struct ForwardDaemon {
    fw: Arc<Forwarder>,
    callers: TcpListener,
    ready: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
}

impl ForwardDaemon {
    /// Opens the listeners. Port 0 lets the system choose a port.
    ///
    /// # Errors
    /// A listener cannot be bound; the error names the setting.
    pub async fn start(mut cfg: ForwardConfig) -> Result<Self, RunError> {
        let callers;
        let ready;
        let peer;
        let admin;
        (callers, cfg.callers) = bind("listen.callers", cfg.callers).await?;
        (ready, cfg.ready) = bind("listen.ready", cfg.ready).await?;
        (peer, cfg.peer) = bind("listen.peer", cfg.peer).await?;
        (admin, cfg.admin) = bind("listen.admin", cfg.admin).await?;
        log::info!(
            event = "started", daemon:% = cfg.name, zone:% = cfg.zone, callers:% = cfg.callers,
            peer:% = cfg.peer, admin:% = cfg.admin; ""
        );
        Ok(Self { fw: Arc::new(Forwarder::new(cfg)), callers, ready, peer, admin })
    }

    /// Settings, with the ports that the system chose.
    pub fn cfg(&self) -> Arc<ForwardConfig> {
        self.fw.cfg()
    }

    /// Serves until `stop` completes and the running requests have ended or the grace period is
    /// over. Reloads `file` when it changes.
    pub async fn run(self, file: Option<SettingsFile>, stop: impl Future<Output = ()>) {
        let fw = self.fw;
        let mut background = JoinSet::new();
        let context = fw.clone();
        let ready = move |req: Request<Incoming>| future::ready(answer_ready(&context, &req));
        background.spawn(serve_admin(self.ready, ready));
        let context = fw.clone();
        let admin = move |req: Request<Incoming>| future::ready(answer_admin(&context, &req));
        background.spawn(serve_admin(self.admin, admin));
        background.spawn(serve_peers(self.peer, fw.clone()));
        background.spawn(restarting("follow_store", &fw, follow_store));
        background.spawn(restarting("learn_quarantine", &fw, learn_quarantine));
        background.spawn(restarting("follow_caches", &fw, follow_caches));
        background.spawn(restarting("maintain_membership", &fw, maintain_membership));
        background.spawn(restarting("exchange_changes", &fw, exchange_changes));
        background.spawn(restarting("serve_queues", &fw, serve_queues));
        background.spawn(restarting("send_work_reports", &fw, send_work_reports));
        background.spawn(restarting("store_quarantine", &fw, store_quarantine));
        background.spawn(restarting("suspect_versions", &fw, suspect_versions));
        background.spawn(restarting("tell_origins", &fw, tell_origins));
        background.spawn(restarting("announce_versions", &fw, announce_versions));
        background.spawn(restarting("orders", &fw, |fw| OrderTask::new(fw).run()));
        if let Some(file) = file {
            background.spawn(file.follow(fw.clone()));
        }
        background.spawn(restarting("pool", &fw, remove_expired_connections));
        let drain_on_stop = async {
            stop.await;
            log::info!(event = "draining", daemon:% = fw.cfg().name; "");
            fw.drain();
        };
        tokio::join!(drain_on_stop, serve(self.callers, fw.clone()));
        log::info!(event = "stopped", daemon:% = fw.cfg().name; "");
    }
}

async fn remove_expired_connections(fw: Arc<Forwarder>) {
    loop {
        sleep(POOL_CLEANUP_INTERVAL).await;
        fw.pool.remove_expired();
    }
}

/// A background task of the daemon that outlasts its panics.
fn restarting<F>(
    name: &'static str,
    fw: &Arc<Forwarder>,
    task: impl Fn(Arc<Forwarder>) -> F + Send + 'static,
) -> impl Future<Output = ()> + Send + 'static
where
    F: Future<Output = ()> + Send + 'static,
{
    let (metrics, fw) = (fw.metrics.clone(), fw.clone());
    supervise(name, move |name| metrics.count_task_panic(name), move || task(fw.clone()))
}
