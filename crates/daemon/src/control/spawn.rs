use super::{ControlConfig, ControlHandle, edit};
use cassiagw_core::{
    ledger::{LedgerKeys, RawRecord},
    membership::View,
    settings::{Tree, decode_snapshot},
};
use cassiagw_platform::kv::{KvClient, LedgerClient};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval},
};

/// Time between two reads of the settings log.
const POLL: Duration = Duration::from_millis(250);

/// Starts the control part of a daemon in the background.
pub async fn spawn(cfg: &ControlConfig) -> ControlHandle {
    let keys = LedgerKeys::new(format!("{}/settings", cfg.prefix));
    let ledger = LedgerClient::new(KvClient::new(cfg.kv), keys);
    let (view_tx, view) = watch::channel(Arc::new(View::default()));
    let (_, peers) = watch::channel(Arc::new(vec![cfg.me.clone()]));
    let (feed, records) = mpsc::channel(16);
    tokio::spawn(follow(ledger.clone(), view_tx, records));
    ControlHandle { me: cfg.me.clone(), ledger, view, peers, feed }
}

async fn follow(
    ledger: LedgerClient,
    view: watch::Sender<Arc<View>>,
    mut feed: mpsc::Receiver<Vec<RawRecord>>,
) {
    let mut tree = Arc::new(Tree::default());
    let mut ticks = interval(POLL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let records = tokio::select! {
            records = feed.recv() => match records {
                Some(records) => records,
                None => return,
            },
            _ = ticks.tick() => poll(&ledger, &mut tree).await,
        };
        let next = Arc::make_mut(&mut tree);
        for record in &records {
            if record.revision == next.revision + 1 {
                let edits = edit::edits_of(record);
                for (at, edit) in edits {
                    next.apply(at, &edit);
                }
                next.revision = record.revision;
            }
        }
        let is_current = true;
        view.send_replace(Arc::new(View { tree: tree.clone(), is_current, ..View::default() }));
    }
}

async fn poll(ledger: &LedgerClient, tree: &mut Arc<Tree>) -> Vec<RawRecord> {
    if let Ok(page) = ledger.read_page(tree.revision + 1).await {
        return page.records;
    }
    let Ok(loaded) = ledger.load().await else { return Vec::new() };
    if let Some(set) = loaded.snapshot.filter(|set| set.revision > tree.revision)
        && let Ok(read) = decode_snapshot(set.revision, &set.content)
    {
        *tree = Arc::new(read);
    }
    loaded.records.into_iter().filter(|record| record.revision > tree.revision).collect()
}
