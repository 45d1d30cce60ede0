use super::{AnswerFaults, Body, Cut, FaultCell};
use hyper::{Request, Response, body::Incoming};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use std::{future::Future, sync::Arc};

/// A kind of stand-in, served by the shared HTTP listener.
pub trait StandIn: Send + Sync + Sized + 'static {
    /// Settings read at start.
    type Config: Default + DeserializeOwned + Send;
    /// Faults that can be changed at run time.
    type Faults: Clone
        + Serialize
        + DeserializeOwned
        + AsRef<AnswerFaults>
        + AsMut<AnswerFaults>
        + Send
        + Sync;
    /// Events and counters that the stand-in recorded, served at `/admin/records`.
    type Records: Serialize;

    /// Creates the state from the settings.
    fn new(cfg: Self::Config) -> Self;

    /// Answers one request; an `Err` closes the connection without a response.
    fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, Cut>> + Send;

    /// Background task, dropped when the stand-in stops; the stand-in also stops if it returns.
    fn background(self: Arc<Self>) -> impl Future<Output = ()> + Send {
        std::future::pending()
    }

    /// Returns the current faults.
    fn faults(&self) -> &FaultCell<Self::Faults>;

    /// Called after each change of the faults, to apply those that take effect once.
    fn on_faults_changed(&self) {}

    /// Returns whether lost-response faults apply to calls of `path`.
    fn may_lose_response(_path: &str) -> bool {
        true
    }

    /// Handles a POST below `/admin/` other than `/admin/faults`.
    ///
    /// # Errors
    /// A message saying why the call was rejected; it is returned with status 400.
    fn admin(&self, path: &str, _document: &Value) -> Result<Value, String> {
        Err(format!("{path}: unknown administration call"))
    }

    /// Returns a copy of the records so far.
    fn records(&self) -> Self::Records;
}
