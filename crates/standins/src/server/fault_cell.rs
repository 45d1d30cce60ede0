use super::{AnswerFaults, Down};
use rand::{SeedableRng, rngs::StdRng};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};
use std::sync::Mutex;
use thiserror::Error;
use tokio::sync::watch;

/// Rejection of a fault patch; the faults in force are unchanged.
#[derive(Debug, Error)]
pub enum FaultError {
    /// The patch is not a JSON object.
    #[error("faults: expected a JSON object")]
    NotAnObject,
    /// The patch names an unknown fault.
    #[error("faults.{0}: unknown fault")]
    Unknown(String),
    /// A value has the wrong type or is out of range.
    #[error("faults: {0}")]
    Value(#[from] serde_json::Error),
}

/// Current faults and the seeded generator that selects the calls they affect.
#[derive(Debug)]
pub struct FaultCell<F> {
    faults: watch::Sender<F>,
    rng: Mutex<StdRng>,
}

impl<F> FaultCell<F>
where
    F: Clone + Serialize + DeserializeOwned + AsRef<AnswerFaults> + AsMut<AnswerFaults>,
{
    /// Creates a cell with the initial `faults` and a generator seeded with `seed`.
    pub fn new(faults: F, seed: u64) -> Self {
        Self { faults: watch::Sender::new(faults), rng: Mutex::new(StdRng::seed_from_u64(seed)) }
    }

    /// Returns a copy of the current faults.
    pub fn get(&self) -> F {
        self.faults.borrow().clone()
    }

    /// Reads the current faults without cloning them.
    pub fn read<T>(&self, read: impl FnOnce(&F) -> T) -> T {
        read(&self.faults.borrow())
    }

    /// Modifies the faults and wakes tasks in [`FaultCell::wait_for_down`].
    pub fn update(&self, change: impl FnOnce(&mut F)) {
        self.faults.send_modify(change);
    }

    /// Replaces the faults that the JSON object names; the others keep their values.
    ///
    /// # Errors
    /// `change` is not a JSON object, names an unknown fault or has an invalid value.
    pub fn patch(&self, change: &Value) -> Result<(), FaultError> {
        let change = change.as_object().ok_or(FaultError::NotAnObject)?;
        let mut members = self.members()?;
        for (name, value) in change {
            let member = members.get_mut(name).ok_or_else(|| FaultError::Unknown(name.clone()))?;
            *member = value.clone();
        }
        let patched = serde_json::from_value(Value::Object(members))?;
        self.faults.send_replace(patched);
        Ok(())
    }

    /// Draws with the seeded generator; fault changes made by `decide` wake no waiting task.
    pub fn draw<T>(&self, decide: impl FnOnce(&mut F, &mut StdRng) -> T) -> T {
        let mut rng = self.rng.lock().expect("no thread panics while drawing");
        let mut decision = None;
        self.faults.send_if_modified(|faults| {
            decision = Some(decide(faults, &mut rng));
            false
        });
        decision.expect("the closure runs once")
    }

    /// Waits until the reachability satisfies `condition`.
    pub async fn wait_for_down(&self, condition: impl Fn(Down) -> bool) {
        let mut rx = self.faults.subscribe();
        let reached = rx.wait_for(|faults| condition(faults.as_ref().down)).await.is_ok();
        debug_assert!(reached, "the sender lives as long as the stand-in");
    }

    fn members(&self) -> Result<Map<String, Value>, FaultError> {
        match serde_json::to_value(self.get())? {
            Value::Object(members) => Ok(members),
            _ => Err(FaultError::NotAnObject),
        }
    }
}
