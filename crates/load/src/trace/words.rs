use rand::{Rng, RngExt, rngs::StdRng};

/// Syllables that words are made of.
const SYLLABLES: [&str; 16] = [
    "ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "va",
];

/// Appends random words, each one token, to a text.
pub fn append_words(text: &mut String, count: u32, rng: &mut StdRng) {
    for _ in 0..count {
        if !text.is_empty() {
            text.push(' ');
        }
        let bits = rng.next_u32() as usize;
        text.push_str(SYLLABLES[bits & 15]);
        text.push_str(SYLLABLES[(bits >> 4) & 15]);
    }
}

/// Draws a time between two events that come at random with a mean gap in seconds.
pub fn exponential(mean_s: f64, rng: &mut StdRng) -> f64 {
    let uniform: f64 = rng.random();
    -mean_s * (1.0 - uniform).ln()
}
