use crate::model_state::ModelState;
use std::{
    collections::HashSet,
    hash::{BuildHasher, RandomState},
};

/// Result of a state-space search.
#[derive(Debug)]
pub struct SearchResult {
    /// Number of distinct states visited.
    pub states: usize,
    /// Path to the first invariant violation, if any, and its description.
    pub violation: Option<(Vec<String>, String)>,
    /// Whether any path delivered the service's answer to a caller.
    pub answered: bool,
}

/// Visits every reachable state depth first, until an invariant is violated.
pub fn explore(start: ModelState) -> SearchResult {
    // A seen state is stored as two independent 64-bit hashes to save memory. A collision would
    // skip a state, but is improbable at this size.
    let hashers = (RandomState::new(), RandomState::new());
    let mut seen = HashSet::new();
    let mut result = SearchResult { states: 0, violation: None, answered: false };
    let mut path = Vec::<String>::new();
    let mut stack = vec![(0, String::from("start"), start)];
    while let Some((depth, label, state)) = stack.pop() {
        if !seen.insert((hashers.0.hash_one(&state), hashers.1.hash_one(&state))) {
            continue;
        }
        path.truncate(depth);
        path.push(label);
        result.states += 1;
        result.answered |= state.has_answered();
        if let Some(violation) = state.violation() {
            result.violation = Some((path, violation.to_owned()));
            return result;
        }
        let successors = state.successors().into_iter();
        stack.extend(successors.map(|(label, state)| (depth + 1, label, state)));
    }
    result
}
