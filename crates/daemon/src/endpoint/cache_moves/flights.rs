use cassiagw_core::ids::{FastMap, PieceKey};
use futures::{
    FutureExt,
    future::{BoxFuture, Shared},
};
use std::{
    future::Future,
    sync::{Arc, Mutex, PoisonError},
};

/// End of a fetch that several runs may wait for; true if the piece was imported.
pub(super) type Flight = Shared<BoxFuture<'static, bool>>;

/// Fetches under way, one for each piece whoever waits for it.
#[derive(Clone, Default)]
pub(super) struct Flights {
    live: Arc<Mutex<FastMap<PieceKey, Flight>>>,
}

impl Flights {
    /// Joins the fetch of a piece or starts one; the fetch goes on if nobody waits any longer.
    ///
    /// Returns the fetch and whether it was joined.
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

/// Removes an ended fetch, whatever ended it.
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
