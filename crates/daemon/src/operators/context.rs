use crate::control::ControlHandle;
use cassiagw_core::settings::TokenHash;

/// State that the handlers of the operators' interface share.
#[derive(Clone, Debug)]
pub struct OperatorsContext {
    /// Access to settings and membership.
    pub control: ControlHandle,
    /// Hashes of the operators' tokens, from the daemon's configuration file.
    pub token_hashes: Vec<TokenHash>,
}
