use serde::{Deserialize, Serialize};

/// `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the sender.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderAction {
    /// Loads a weight version.
    LoadVersion {
        /// Model.
        model: String,
        /// Version.
        version: String,
    },
    /// Unloads a weight version; running requests keep it.
    UnloadVersion {
        /// Model.
        model: String,
        /// Version.
        version: String,
    },
    /// Loads an adapter.
    LoadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Unloads an adapter.
    UnloadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Changes the role.
    SetRole {
        /// Role.
        role: String,
    },
}

impl OrderAction {
    /// Version that the action names.
    pub fn version(&self) -> Option<&str> {
        match self {
            Self::LoadVersion { version, .. } | Self::UnloadVersion { version, .. } => {
                Some(version)
            }
            _ => None,
        }
    }
}

/// Why an order was not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// Its fencing number is older than one seen before.
    OldFence,
    /// It names another model.
    UnknownModel,
    /// There is no room for another version.
    NoRoom,
    /// The weights could not be read.
    NoWeights,
}

/// What is loaded and the last order's fence; answer of `GET /orders/state`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Boot number; a boot forgets all orders.
    pub boot: u64,
    /// Highest fencing number that was checked, or the last order's where none is checked.
    pub fence: u64,
    /// Model.
    pub model: String,
    /// Versions in the order in which they were loaded.
    pub versions: Vec<String>,
    /// Adapters in the order in which they were loaded.
    pub adapters: Vec<String>,
    /// Role.
    pub role: String,
}

impl OrderState {
    /// Takes an order's fence into account.
    ///
    /// # Errors
    /// [`OrderError::OldFence`] if fences are checked and a newer one was seen.
    pub fn admit(&mut self, order: &Order, checks_fencing: bool) -> Result<(), OrderError> {
        if checks_fencing && order.fence < self.fence {
            return Err(OrderError::OldFence);
        }
        self.fence = order.fence;
        Ok(())
    }

    /// Checks whether an action can be carried out.
    ///
    /// # Errors
    /// The action names another model or a version for which there is no room.
    pub fn check(&self, action: &OrderAction, max_versions: usize) -> Result<(), OrderError> {
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

    /// Says whether an action has to read weights first.
    pub fn needs_weights(&self, action: &OrderAction) -> bool {
        matches!(action, OrderAction::LoadVersion { version, .. } if !self.versions.contains(version))
    }

    /// Carries an action out; repeating it changes nothing.
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
