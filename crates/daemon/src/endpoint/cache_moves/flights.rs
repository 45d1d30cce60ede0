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
pub(super) type Flight = Shared<BoxFuture<'static, bool>>;

/// Fetches in progress, at most one for each piece.
#[derive(Clone, Default)]
pub(super) struct Flights {
    live: Arc<Mutex<FastMap<PieceKey, Flight>>>,
}

impl Flights {
    /// Joins the fetch of a piece in progress or starts one; returns it and whether it was joined.
    ///
    /// The fetch continues when nothing waits for it any longer.
    pub fn join(
        &self,
        key: PieceKey,
        fetch: impl Future<Output = bool> + Send + 'static,
    ) -> (Flight, bool) {
        let mut live = self.live.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(flight) = live.get(&key) {
            return (flight.clone(), true);
        }
        let landing = Landing { flights: self.clone(), key };
        let task = tokio::spawn(async move {
            let _landing = landing;
            fetch.await
        });
        let flight = task.map(|end| end.unwrap_or(false)).boxed().shared();
        live.insert(key, flight.clone());
        (flight, false)
    }
}

/// Removes a fetch from the table when it ends, also when its task panics or is aborted.
struct Landing {
    flights: Flights,
    key: PieceKey,
}

impl Drop for Landing {
    fn drop(&mut self) {
        let mut live = self.flights.live.lock().unwrap_or_else(PoisonError::into_inner);
        live.remove(&self.key);
    }
}
