use rand::{Rng, RngExt, rngs::StdRng};

/// Syllables from which words are formed.
const SYLLABLES: [&str; 16] = [
    "ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "va",
];

/// Appends `count` random words to a text; each word counts as one token.
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

/// Draws an exponentially distributed interval, in seconds, with the given mean (Poisson arrivals).
pub fn exponential(mean_s: f64, rng: &mut StdRng) -> f64 {
    let uniform: f64 = rng.random();
    -mean_s * (1.0 - uniform).ln()
}
