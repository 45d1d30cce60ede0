use cassiagwd::{Addresses, Daemon, config, context::Context};
use serde_json::Value;
use std::{sync::Arc, time::Duration};
use tokio::{
    runtime::{Builder, Runtime},
    sync::oneshot,
    task::JoinHandle,
    time::sleep,
};

/// Maximum number of starts while the predecessor's address is still in use.
const MAX_STARTS: usize = 500;
/// Delay between two starts.
const START_DELAY: Duration = Duration::from_millis(10);

/// A daemon in the test process with its own runtime, which is shut down to simulate a kill.
pub struct RunningDaemon {
    /// Context of the daemon.
    pub cx: Arc<Context>,
    runtime: Option<Runtime>,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl RunningDaemon {
    /// Starts a daemon with the given configuration.
    pub async fn start(config: &Value) -> (Self, Addresses) {
        let runtime =
            Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("a runtime");
        let daemon = start_in(&runtime, config).await;
        let (cx, addresses) = (daemon.context(), daemon.addresses.clone());
        let (stop, stopped) = oneshot::channel::<()>();
        let task = runtime.spawn(daemon.run(async move {
            // A dropped sender also stops the daemon.
            let _ = stopped.await;
        }));
        (Self { cx, runtime: Some(runtime), stop: Some(stop), task }, addresses)
    }

    /// Shuts the daemon down gracefully and waits until it has stopped.
    pub async fn shut_down(&mut self) {
        self.stop.take();
        let _ = (&mut self.task).await;
        self.kill();
    }

    /// Aborts the daemon's tasks and closes its sockets, as a kill of its process would.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Whether the daemon has neither been killed nor shut down.
    pub fn is_running(&self) -> bool {
        self.runtime.is_some() && !self.task.is_finished()
    }
}

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn start_in(runtime: &Runtime, config: &Value) -> Daemon {
    let mut last = String::new();
    for _ in 0..MAX_STARTS {
        let cfg = config::parse(&config.to_string()).expect("valid settings");
        match runtime.spawn(Daemon::start(cfg)).await.expect("the start does not panic") {
            Ok(daemon) => return daemon,
            Err(error) => last = error.to_string(),
        }
        sleep(START_DELAY).await;
    }
    panic!("daemon failed to start: {last}");
}
