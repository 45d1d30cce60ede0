use crate::world::World;
use std::{
    collections::HashSet,
    hash::{BuildHasher, RandomState},
};

/// Result of a state-space search.
#[derive(Debug)]
pub struct Found {
    /// Number of distinct states visited.
    pub states: usize,
    /// Path to the first invariant violation, if any, and its description.
    pub violation: Option<(Vec<String>, String)>,
    /// Whether any path delivered the service's answer to a caller.
    pub answered: bool,
}

/// Visits every reachable state depth first, until an invariant is violated.
pub fn explore(start: World) -> Found {
    let seeds = (RandomState::new(), RandomState::new());
    let mut seen = HashSet::new();
    let mut found = Found { states: 0, violation: None, answered: false };
    let mut path = Vec::<String>::new();
    let mut stack = vec![(0, String::from("start"), start)];
    while let Some((depth, label, world)) = stack.pop() {
        if !seen.insert((seeds.0.hash_one(&world), seeds.1.hash_one(&world))) {
            continue;
        }
        path.truncate(depth);
        path.push(label);
        found.states += 1;
        found.answered |= world.has_answered();
        if let Some(broken) = world.broken() {
            found.violation = Some((path, broken.to_owned()));
            return found;
        }
        let next = world.next().into_iter();
        stack.extend(next.map(|(label, world)| (depth + 1, label, world)));
    }
    found
}
