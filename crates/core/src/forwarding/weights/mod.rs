//! Weight versions of models: which may be used until when, and how engines are brought to the newest
//! one.

mod order_mode;
mod target_weights;
mod weight_rollout;

pub use self::{
    order_mode::OrderMode,
    target_weights::{INITIAL_WEIGHT_VERSION, PREVIOUS_WEIGHTS_FETCH_WINDOW, TargetWeights},
    weight_rollout::{EngineView, OrderOutcome, WeightOrder, WeightRollout, WeightStep},
};
