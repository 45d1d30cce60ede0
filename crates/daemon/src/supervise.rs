//! Background tasks that outlast their panics.

use std::time::Duration;
use tokio::{task::JoinSet, time::sleep};

/// Pause before a task that panicked is started anew.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Runs a background task until this future is dropped or the task ends, and starts it anew when it
/// panics: a daemon that no longer follows the store, for example, must not go on as if it did.
///
/// `task` creates the task's future; `on_panic` is called with its name after each panic.
pub async fn supervise<F>(name: &'static str, on_panic: impl Fn(&'static str), task: impl Fn() -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let mut running = JoinSet::new();
        running.spawn(task());
        match running.join_next().await {
            Some(Err(error)) if error.is_panic() => {
                log::error!(event = "task_panicked", task = name, error:% = error; "");
                on_panic(name);
                sleep(RESTART_PAUSE).await;
            }
            _ => return,
        }
    }
}
