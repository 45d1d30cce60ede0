use super::{AnswerFaults, Down};
use rand::{SeedableRng, rngs::StdRng};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};
use std::sync::Mutex;
use thiserror::Error;
use tokio::sync::watch;

/// A change of faults that was not understood; nothing was changed.
#[derive(Debug, Error)]
pub enum FaultError {
    /// The change is no JSON object.
    #[error("faults: expected a JSON object")]
    NotAnObject,
    /// No such fault.
    #[error("faults.{0}: unknown fault")]
    Unknown(String),
    /// A value has the wrong type.
    #[error("faults: {0}")]
    Value(#[from] serde_json::Error),
}

/// The faults in force and the seeded generator that decides which calls they hit.
#[derive(Debug)]
pub struct FaultCell<F> {
    faults: watch::Sender<F>,
    rng: Mutex<StdRng>,
}

impl<F> FaultCell<F>
where
    F: Clone + Serialize + DeserializeOwned + AsRef<AnswerFaults> + AsMut<AnswerFaults>,
{
    /// Starts with `faults` and a generator made from `seed`.
    pub fn new(faults: F, seed: u64) -> Self {
        Self { faults: watch::Sender::new(faults), rng: Mutex::new(StdRng::seed_from_u64(seed)) }
    }

    /// Copies the faults in force.
    pub fn get(&self) -> F {
        self.faults.borrow().clone()
    }

    /// Reads from the faults in force.
    pub fn read<T>(&self, read: impl FnOnce(&F) -> T) -> T {
        read(&self.faults.borrow())
    }

    /// Changes the faults.
    pub fn update(&self, change: impl FnOnce(&mut F)) {
        self.faults.send_modify(change);
    }

    /// Takes over the members of a JSON object; members it lacks stay.
    ///
    /// # Errors
    /// The object names an unknown fault or has a value of a wrong type.
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

    /// Decides by chance, with the seeded generator at hand.
    pub fn draw<T>(&self, decide: impl FnOnce(&mut F, &mut StdRng) -> T) -> T {
        let mut rng = self.rng.lock().expect("no thread panics while drawing");
        let mut decision = None;
        self.faults.send_if_modified(|faults| {
            decision = Some(decide(faults, &mut rng));
            false
        });
        decision.expect("the closure runs once")
    }

    /// Waits until the reachability satisfies a condition.
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
