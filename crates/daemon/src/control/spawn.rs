use super::{ControlConfig, ControlHandle};
use cassiagw_core::membership::View;
use std::sync::Arc;
use tokio::sync::watch;

/// Starts the control part of a daemon in the background.
pub async fn spawn(cfg: &ControlConfig) -> ControlHandle {
    let (_, view) = watch::channel(Arc::new(View::default()));
    let (_, peers) = watch::channel(Arc::new(vec![cfg.me.clone()]));
    ControlHandle { me: cfg.me.clone(), view, peers }
}
