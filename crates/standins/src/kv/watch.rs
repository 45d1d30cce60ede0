use super::{
    api::{Event, Streamed, WatchCreateRequest, WatchResponse},
    key_range::KeyRange,
    rates::CallClass,
    server::Kv,
};
use crate::server::{Cut, Down};
use bytes::Bytes;
use std::{sync::Arc, time::Duration};
use tokio::{
    select,
    sync::{mpsc, watch},
    time::{Instant, sleep, sleep_until},
};

/// Serves one watch until it is canceled, a fault closes its connection or the client disconnects.
pub async fn run(kv: Arc<Kv>, req: WatchCreateRequest, tx: mpsc::Sender<Result<Bytes, Cut>>) {
    let _guard = OpenWatchGuard::new(&kv);
    let closed_by_fault = async {
        kv.faults.wait_for_down(|down| matches!(down, Down::Unavailable | Down::Refuse)).await;
    };
    select! {
        () = Watcher::new(&kv, req, &tx).send_all() => {}
        () = closed_by_fault => { let _ = tx.send(Err(Cut)).await; }
        () = tx.closed() => {}
    }
}

struct Watcher<'a> {
    kv: &'a Kv,
    tx: &'a mpsc::Sender<Result<Bytes, Cut>>,
    range: KeyRange,
    req: WatchCreateRequest,
    next_revision: i64,
    changes: watch::Receiver<i64>,
}

/// The watch was canceled or its client disconnected.
struct Ended;

impl<'a> Watcher<'a> {
    fn new(kv: &'a Kv, req: WatchCreateRequest, tx: &'a mpsc::Sender<Result<Bytes, Cut>>) -> Self {
        let changes = kv.changes.subscribe();
        let next_revision = match req.start_revision {
            0 => kv.state().keys.revision() + 1,
            revision => revision,
        };
        let range = KeyRange::new(&req.key, &req.range_end);
        Self { kv, tx, range, req, next_revision, changes }
    }

    async fn send_all(mut self) {
        let created = WatchResponse { created: true, ..self.empty_response() };
        if self.send(created).await.is_err() {
            return;
        }
        while self.send_next().await.is_ok() {}
    }

    async fn send_next(&mut self) -> Result<(), Ended> {
        self.changes.borrow_and_update();
        if let Some(compact_revision) = self.compacted_revision() {
            let canceled = WatchResponse {
                canceled: true,
                compact_revision,
                cancel_reason: "etcdserver: mvcc: required revision has been compacted",
                ..self.empty_response()
            };
            self.send(canceled).await?;
            return Err(Ended);
        }
        let events = self.take_events();
        if !events.is_empty() {
            return self.send(WatchResponse { events, ..self.empty_response() }).await;
        }
        select! {
            changed = self.changes.changed() => changed.map_err(|_| Ended),
            () = wait_for_progress(self.kv, self.req.progress_notify) => {
                self.send(self.empty_response()).await
            }
        }
    }

    /// Returns the oldest readable revision if the next one to send has been compacted.
    fn compacted_revision(&self) -> Option<i64> {
        let compacted = self.kv.state().keys.compacted();
        (self.next_revision < compacted).then_some(compacted)
    }

    fn take_events(&mut self) -> Vec<Event> {
        let state = self.kv.state();
        let mut events = state.keys.events_since(&self.range, self.next_revision);
        self.next_revision = self.next_revision.max(state.keys.revision() + 1);
        if !self.req.prev_kv {
            events.iter_mut().for_each(|event| event.prev_kv = None);
        }
        events
    }

    fn empty_response(&self) -> WatchResponse {
        WatchResponse { header: self.kv.state().header(), ..WatchResponse::default() }
    }

    async fn send(&self, response: WatchResponse) -> Result<(), Ended> {
        let faults = self.kv.faults.get();
        self.kv.rate_limiter.admit(CallClass::WatchResponse, &faults).await.map_err(|_| Ended)?;
        sleep(Duration::from_millis(faults.answers.slow_ms)).await;
        self.kv.faults.wait_for_down(|down| down != Down::Hang).await;
        let mut line = serde_json::to_vec(&Streamed { result: response }).map_err(|_| Ended)?;
        line.push(b'\n');
        self.tx.send(Ok(line.into())).await.map_err(|_| Ended)
    }
}

async fn wait_for_progress(kv: &Kv, enabled: bool) {
    if enabled {
        sleep_until(Instant::now() + kv.progress_interval).await;
    } else {
        std::future::pending().await
    }
}

/// Counts a watch as open until dropped.
struct OpenWatchGuard<'a> {
    kv: &'a Kv,
}

impl<'a> OpenWatchGuard<'a> {
    fn new(kv: &'a Kv) -> Self {
        kv.rate_limiter.with_records(|records| records.open_watches += 1);
        Self { kv }
    }
}

impl Drop for OpenWatchGuard<'_> {
    fn drop(&mut self) {
        self.kv.rate_limiter.with_records(|records| records.open_watches -= 1);
    }
}
