use super::{
    admin::{answer_admin, serve_questions},
    follow_caches::follow_caches,
    follow_store::follow_store,
    forwarder::Forward,
    membership::keep_member,
    orders::OrderTask,
    peers::{serve_peers, talk_to_peers, tell_work},
    queues::serve_queues,
    ready::answer_ready,
    serve::serve,
    settings_file::SettingsFile,
};
use crate::run::{RunError, bind};
use cassiagw_core::forwarding::ForwardConfig;
use std::{future::Future, sync::Arc, time::Duration};
use tokio::{task::JoinSet, time::sleep};

/// Time between two looks for connections that will not be used again.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a daemon in the forwarding role until `stop` ends and its running requests are over.
///
/// # Errors
/// An address cannot be listened on; the error names the setting.
pub async fn run(
    cfg: ForwardConfig,
    reload: SettingsFile,
    stop: impl Future<Output = ()>,
) -> Result<(), RunError> {
    let (callers, _) = bind("listen.callers", cfg.callers).await?;
    let (ready, _) = bind("listen.ready", cfg.ready).await?;
    let (peer, _) = bind("listen.peer", cfg.peer).await?;
    let (admin, _) = bind("listen.admin", cfg.admin).await?;
    log::info!(
        event = "started", daemon:% = cfg.name, zone:% = cfg.zone, callers:% = cfg.callers,
        peer:% = cfg.peer, admin:% = cfg.admin; ""
    );
    let fw = Arc::new(Forward::new(cfg));
    let mut background = JoinSet::new();
    background.spawn(serve_questions(ready, fw.clone(), answer_ready));
    background.spawn(serve_questions(admin, fw.clone(), answer_admin));
    background.spawn(serve_peers(peer, fw.clone()));
    background.spawn(follow_store(fw.clone()));
    background.spawn(follow_caches(fw.clone()));
    background.spawn(keep_member(fw.clone()));
    background.spawn(talk_to_peers(fw.clone()));
    background.spawn(serve_queues(fw.clone()));
    background.spawn(tell_work(fw.clone()));
    background.spawn(OrderTask::new(fw.clone()).run());
    background.spawn(reload.follow(fw.clone()));
    background.spawn(sweep(fw.clone()));
    let stopper = async {
        stop.await;
        log::info!(event = "draining", daemon:% = fw.cfg().name; "");
        fw.draining.send_replace(true);
    };
    tokio::join!(stopper, serve(callers, fw.clone()));
    log::info!(event = "stopped", daemon:% = fw.cfg().name; "");
    Ok(())
}

async fn sweep(fw: Arc<Forward>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        fw.pool.sweep();
    }
}
