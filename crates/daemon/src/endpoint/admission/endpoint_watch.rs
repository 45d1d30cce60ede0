use super::AdmissionGate;
use cassiagw_surfaces::engine::EngineClient;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// Interval at which the engine is polled.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a load request to the engine.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Tracks an engine's boot number for as long as the future is polled.
///
/// The number is read at intervals, and at once when starting more requests depends on it.
/// An engine with a new boot number is cold.
pub async fn watch_engine(engine: EngineClient, gate: AdmissionGate) {
    let mut ticks = interval(WATCH_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => gate.poll(),
            () = gate.confirmation_needed() => {}
        }
        let Ok(load) = engine.load(LOAD_TIMEOUT).await else { continue };
        if gate.on_endpoint_boot(load.boot) {
            log::info!(event = "endpoint_boot", boot = load.boot; "");
        }
    }
}
