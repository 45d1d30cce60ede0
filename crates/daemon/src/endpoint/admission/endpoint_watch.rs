use super::AdmissionGate;
use cassiagw_surfaces::engine::EngineClient;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// Time between two looks at the engine.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Time for the engine to tell its load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows an engine's boot number for as long as the future is polled.
///
/// It is read at intervals, and at once where more starts depend on it. A new boot is cold.
pub async fn watch_engine(engine: EngineClient, gate: AdmissionGate) {
    let mut ticks = interval(WATCH_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => gate.poll(),
            () = gate.doubted() => {}
        }
        let Ok(load) = engine.load(LOAD_TIMEOUT).await else { continue };
        if gate.on_endpoint_boot(load.boot) {
            log::info!(event = "endpoint_boot", boot = load.boot; "");
        }
    }
}
