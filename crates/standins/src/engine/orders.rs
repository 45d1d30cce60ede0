use serde::{Deserialize, Serialize};

/// Request body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the sender.
    pub fence: u64,
    /// Requested change.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// Change that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderAction {
    /// Loads a weight version; no effect if it is loaded.
    LoadVersion {
        /// Model name; must be the served one.
        model: String,
        /// Version to load, read from the weight store if one is configured.
        version: String,
    },
    /// Unloads a weight version; running requests continue with it.
    UnloadVersion {
        /// Model name; must be the served one.
        model: String,
        /// Version to unload; no effect if it is not loaded.
        version: String,
    },
    /// Loads an adapter, without reading weights.
    LoadAdapter {
        /// Name of the adapter to load; no effect if it is loaded.
        adapter: String,
    },
    /// Unloads an adapter; running requests continue with it.
    UnloadAdapter {
        /// Name of the adapter to unload; no effect if it is not loaded.
        adapter: String,
    },
    /// Sets the role that `GET /load` reports.
    SetRole {
        /// New role; any string is accepted.
        role: String,
    },
}

impl OrderAction {
    /// Weight version to load or unload; none for other actions.
    pub fn version(&self) -> Option<&str> {
        match self {
            Self::LoadVersion { version, .. } | Self::UnloadVersion { version, .. } => {
                Some(version)
            }
            _ => None,
        }
    }
}

/// Why an order was rejected or failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// Its fencing token is lower than the highest one seen.
    OldFence,
    /// The engine does not serve the model.
    UnknownModel,
    /// The maximum number of versions is loaded.
    NoRoom,
    /// Reading the weights from the weight store failed.
    NoWeights,
}

/// Loaded versions and adapters, role and fencing token; response of `GET /orders/state`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Boot number; a reboot resets the effect of all orders.
    pub boot: u64,
    /// Highest fencing token seen, or that of the last order if tokens are not checked.
    pub fence: u64,
    /// Name of the served model.
    pub model: String,
    /// Loaded weight versions, in load order.
    pub versions: Vec<String>,
    /// Loaded adapters, in load order.
    pub adapters: Vec<String>,
    /// Role set by the last `set_role` order; `both` after a boot.
    pub role: String,
}

impl OrderState {
    /// Checks an order's fencing token and records it.
    ///
    /// # Errors
    /// [`OrderError::OldFence`] if tokens are checked and a higher one was seen.
    pub fn check_fence(&mut self, order: &Order, checks_fencing: bool) -> Result<(), OrderError> {
        if checks_fencing && order.fence < self.fence {
            return Err(OrderError::OldFence);
        }
        self.fence = order.fence;
        Ok(())
    }

    /// Checks an action against the served model and the version limit.
    ///
    /// # Errors
    /// [`OrderError::UnknownModel`] for another model, [`OrderError::NoRoom`] if the version limit
    /// is reached.
    pub fn check_action(
        &self,
        action: &OrderAction,
        max_versions: usize,
    ) -> Result<(), OrderError> {
        match action {
            OrderAction::LoadVersion { model, .. } | OrderAction::UnloadVersion { model, .. }
                if *model != self.model =>
            {
                Err(OrderError::UnknownModel)
            }
            OrderAction::LoadVersion { version, .. }
                if !self.versions.contains(version) && self.versions.len() >= max_versions =>
            {
                Err(OrderError::NoRoom)
            }
            _ => Ok(()),
        }
    }

    /// Returns whether an action loads a version that is not loaded yet.
    pub fn needs_weights(&self, action: &OrderAction) -> bool {
        matches!(action, OrderAction::LoadVersion { version, .. } if !self.versions.contains(version))
    }

    /// Applies an action. Idempotent.
    pub fn apply(&mut self, action: &OrderAction) {
        match action {
            OrderAction::LoadVersion { version, .. } => add(&mut self.versions, version),
            OrderAction::UnloadVersion { version, .. } => remove(&mut self.versions, version),
            OrderAction::LoadAdapter { adapter } => add(&mut self.adapters, adapter),
            OrderAction::UnloadAdapter { adapter } => remove(&mut self.adapters, adapter),
            OrderAction::SetRole { role } => self.role.clone_from(role),
        }
    }
}

fn add(names: &mut Vec<String>, name: &str) {
    if !names.iter().any(|known| known == name) {
        names.push(name.into());
    }
}

fn remove(names: &mut Vec<String>, name: &str) {
    names.retain(|known| known != name);
}
