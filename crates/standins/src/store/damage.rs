use super::{config::Faults, objects::Objects};
use bytes::Bytes;
use rand::{Rng, RngExt};

/// Kind of damage to a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// The first half of the object, as if it were complete.
    Truncated,
    /// The object with one bit flipped.
    Flipped,
    /// The body of another object.
    Swapped,
    /// The previous version of the object, or the last version of a deleted one.
    Stale,
    /// The connection closes halfway through the body.
    Cut,
}

/// Randomly selects the damage of a read; none leaves it intact. The kinds are drawn in order, each
/// only if no earlier one occurs.
pub fn choose(faults: &Faults, rng: &mut impl Rng) -> Option<Damage> {
    let probabilities = [
        (Damage::Truncated, faults.truncate_permille),
        (Damage::Flipped, faults.flip_permille),
        (Damage::Swapped, faults.swap_permille),
        (Damage::Stale, faults.stale_permille),
        (Damage::Cut, faults.cut_permille),
    ];
    let occurs = |permille: u16, rng: &mut dyn Rng| rng.random_range(0..1000) < permille;
    probabilities.into_iter().find(|(_, permille)| occurs(*permille, rng)).map(|(damage, _)| damage)
}

/// Returns the body that a read of `name` responds with; none if the object is not found.
pub fn apply(
    damage: Option<Damage>,
    objects: &Objects,
    name: &str,
    body: Option<Bytes>,
) -> Option<Bytes> {
    match damage {
        Some(Damage::Truncated) => body.map(|body| body.slice(..body.len() / 2)),
        Some(Damage::Flipped) => body.map(flip),
        Some(Damage::Swapped) => body.map(|body| objects.next_after(name).unwrap_or(body)),
        Some(Damage::Stale) => objects.previous(name).or(body),
        Some(Damage::Cut) | None => body,
    }
}

fn flip(body: Bytes) -> Bytes {
    let mut bytes = body.to_vec();
    let middle = bytes.len() / 2;
    if let Some(byte) = bytes.get_mut(middle) {
        *byte ^= 1;
    }
    bytes.into()
}
