use super::{AnswerFaults, Body, Cut, FaultCell};
use hyper::{Request, Response, body::Incoming};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use std::{future::Future, sync::Arc};

/// One kind of stand-in behind the shared listener.
pub trait StandIn: Send + Sync + Sized + 'static {
    /// Settings at start.
    type Config: Default + DeserializeOwned + Send;
    /// Faults that can be changed at run time.
    type Faults: Clone
        + Serialize
        + DeserializeOwned
        + AsRef<AnswerFaults>
        + AsMut<AnswerFaults>
        + Send
        + Sync;
    /// What the stand-in itself saw.
    type Records: Serialize;

    /// Builds the state.
    fn new(cfg: Self::Config) -> Self;

    /// Answers one call.
    fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, Cut>> + Send;

    /// Work beside the calls; it ends with the stand-in.
    fn background(self: Arc<Self>) -> impl Future<Output = ()> + Send {
        std::future::pending()
    }

    /// Faults in force.
    fn faults(&self) -> &FaultCell<Self::Faults>;

    /// Called after each change of the faults, to carry out those that happen once.
    fn on_faults_changed(&self) {}

    /// Says whether a call to `path` may lose its answer.
    fn loses_answers(_path: &str) -> bool {
        true
    }

    /// Answers a call below `/admin/` other than those that all stand-ins share.
    ///
    /// # Errors
    /// A text that says what is wrong with the call.
    fn admin(&self, path: &str, _document: &Value) -> Result<Value, String> {
        Err(format!("{path}: unknown administration call"))
    }

    /// What happened so far.
    fn records(&self) -> Self::Records;
}
