use super::{CacheScope, ChainKey};
use crate::ids::{PieceKey, PromptRoot};

/// Byte that terminates each token in the hash input; it never occurs in UTF-8.
const TOKEN_TERMINATOR: u8 = 0xFF;
/// Prefix of the hash input for a prompt shorter than one piece. Like [`TOKEN_TERMINATOR`] it never
/// occurs in UTF-8, so the input differs from that of any piece.
const SHORT_PROMPT_PREFIX: &[u8] = &[0xFE];
/// Assumed length of a token with its terminator, for preallocating the hash input.
const TYPICAL_TOKEN_BYTES: usize = 8;

/// Returns the keys of a prompt's complete pieces in order, with whitespace-separated words as
/// tokens.
///
/// A piece has `piece_tokens` tokens. An incomplete last piece has no key, so a prompt shorter than
/// one piece has none; neither has any prompt if `piece_tokens` is 0. The cost is one scan of the
/// prompt and one hash per piece.
pub fn piece_keys(scope: &CacheScope, prompt: &str, piece_tokens: u32) -> Vec<PieceKey> {
    piece_keys_with(scope, prompt, piece_tokens, next_word)
}

/// Returns the keys of a prompt's complete pieces as [`piece_keys`] does, with a custom tokenizer.
///
/// `next_token` returns the first token and the remaining text, or `None` at the end of the text.
pub fn piece_keys_with<'a>(
    scope: &CacheScope,
    prompt: &'a str,
    piece_tokens: u32,
    next_token: impl Fn(&'a str) -> Option<(&'a str, &'a str)>,
) -> Vec<PieceKey> {
    let mut keys = Vec::new();
    let mut chain = scope.chain_key();
    let mut piece = Vec::with_capacity(piece_tokens as usize * TYPICAL_TOKEN_BYTES);
    let mut tokens = 0;
    let mut rest = prompt;
    while piece_tokens > 0
        && let Some((token, remainder)) = next_token(rest)
    {
        piece.extend_from_slice(token.as_bytes());
        piece.push(TOKEN_TERMINATOR);
        tokens += 1;
        rest = remainder;
        if tokens == piece_tokens {
            let (next, key) = extend_chain(&chain, &piece);
            keys.push(key);
            chain = next;
            piece.clear();
            tokens = 0;
        }
    }
    keys
}

/// Returns the key that engines and stores are chosen by: the first piece key, or a hash of the
/// whole text if the prompt is shorter than one piece.
///
/// A hash of the second kind never equals a piece key, and nothing is stored under it.
pub fn prompt_root(scope: &CacheScope, prompt: &str, keys: &[PieceKey]) -> PromptRoot {
    keys.first().copied().unwrap_or_else(|| {
        let text = [SHORT_PROMPT_PREFIX, prompt.as_bytes()].concat();
        extend_chain(&scope.chain_key(), &text).1
    })
}

/// Splits the first whitespace-separated word off a text; `None` if there is no word left.
///
/// Same words as `str::split_whitespace`, with a fast path for ASCII.
pub fn next_word(text: &str) -> Option<(&str, &str)> {
    let bytes = text.as_bytes();
    let start = bytes.iter().take_while(|byte| **byte == b' ').count();
    let word = bytes[start..].iter().take_while(|byte| byte.is_ascii_graphic()).count();
    let end = start + word;
    let is_ascii_word = word > 0 && bytes.get(end).is_none_or(u8::is_ascii_whitespace);
    if is_ascii_word { Some((&text[start..end], &text[end..])) } else { next_unicode_word(text) }
}

fn next_unicode_word(text: &str) -> Option<(&str, &str)> {
    let text = text.trim_start();
    let end = text.find(char::is_whitespace).unwrap_or(text.len());
    (end > 0).then(|| text.split_at(end))
}

/// Derives the chain key for the next piece and the key of this piece.
///
/// Both are taken from one extendable output, so the public piece key does not reveal the chain
/// key.
fn extend_chain(chain: &ChainKey, piece: &[u8]) -> (ChainKey, PieceKey) {
    let mut output = blake3::Hasher::new_keyed(chain).update(piece).finalize_xof();
    let mut next = ChainKey::default();
    let mut key = PieceKey([0; 16]);
    output.fill(&mut next);
    output.fill(&mut key.0);
    (next, key)
}
