use crate::control::ControlHandle;
use cassiagw_core::settings::TokenHash;

/// What the operators' interface needs of its daemon.
#[derive(Clone, Debug)]
pub struct OperatorsContext {
    /// Settings and membership.
    pub control: ControlHandle,
    /// Hashes of the operators' tokens, from the daemon's own settings.
    pub operators: Vec<TokenHash>,
}
