use cassiagw_core::ids::{FastMap, PieceKey};
use futures::{
    FutureExt,
    future::{BoxFuture, Shared},
};
use std::{
    future::Future,
    sync::{Arc, Mutex, PoisonError},
};

/// Result of a fetch, shared by the runs that wait for it; true if the piece was imported.
pub(super) type SharedFetch = Shared<BoxFuture<'static, bool>>;

/// Fetches in progress, at most one for each piece.
#[derive(Clone, Default)]
pub(super) struct FetchTable {
    in_progress: Arc<Mutex<FastMap<PieceKey, SharedFetch>>>,
}

impl FetchTable {
    /// Joins the fetch of a piece in progress or starts one; returns it and whether it was joined.
    ///
    /// The fetch continues when nothing waits for it any longer.
    pub fn join(
        &self,
        key: PieceKey,
        fetch: impl Future<Output = bool> + Send + 'static,
    ) -> (SharedFetch, bool) {
        let mut in_progress = self.in_progress.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(shared) = in_progress.get(&key) {
            return (shared.clone(), true);
        }
        let remove = RemoveOnDrop { fetches: self.clone(), key };
        let task = tokio::spawn(async move {
            let _remove = remove;
            fetch.await
        });
        let shared = task.map(|end| end.unwrap_or(false)).boxed().shared();
        in_progress.insert(key, shared.clone());
        (shared, false)
    }
}

/// Removes a fetch from the table when it ends, also when its task panics or is aborted.
struct RemoveOnDrop {
    fetches: FetchTable,
    key: PieceKey,
}

impl Drop for RemoveOnDrop {
    fn drop(&mut self) {
        let mut in_progress =
            self.fetches.in_progress.lock().unwrap_or_else(PoisonError::into_inner);
        in_progress.remove(&self.key);
    }
}
