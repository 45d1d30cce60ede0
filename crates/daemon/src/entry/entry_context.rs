use super::dispatch::EndpointPool;
use crate::{context::Context, operators::OperatorsContext};
use cassiagw_core::ids::AttemptId;
use std::sync::Arc;

/// What the filters of an entry share.
pub struct EntryContext {
    /// The daemon's context.
    pub cx: Arc<Context>,
    /// Connections to endpoint daemons and their last load.
    pub pool: EndpointPool,
    /// The operators' interface.
    pub operators: OperatorsContext,
}

impl EntryContext {
    /// Makes the context of an entry.
    pub fn new(cx: Arc<Context>) -> Self {
        let pool = EndpointPool::new(cx.cfg.limits.connect_timeout, cx.cfg.zone.clone());
        let operators = OperatorsContext {
            control: cx.control.clone(),
            operators: vec![cx.cfg.operator_token],
        };
        Self { cx, pool, operators }
    }

    /// Draws the name of a new attempt.
    pub fn new_attempt(&self) -> AttemptId {
        rand::random()
    }
}
