use super::{CacheScope, ChainKey};
use crate::ids::{PieceKey, PromptRoot};

/// Byte after each token in the hashed form; it never occurs in UTF-8.
const TOKEN_END: u8 = 0xFF;
/// Bytes before the first token of a prompt that is too short for a piece.
const SHORT_PROMPT: &[u8] = &[0xFE];
/// Bytes reserved for a token, with its end, before its length is known.
const TYPICAL_TOKEN_BYTES: usize = 8;

/// Keys of a prompt's whole pieces, first to last, with white-space words as tokens.
///
/// A piece has `piece_tokens` tokens; a last piece with fewer gets no key, so a prompt shorter
/// than one piece has no keys. Cost: one scan of the prompt and one hash of each piece.
pub fn piece_keys(scope: &CacheScope, prompt: &str, piece_tokens: u32) -> Vec<PieceKey> {
    piece_keys_with(scope, prompt, piece_tokens, next_word)
}

/// Keys of a prompt's whole pieces with the tokens that `next_token` cuts off the text's start.
///
/// `next_token` returns the first token and the text behind it, or none at the end.
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
        && let Some((token, behind)) = next_token(rest)
    {
        piece.extend_from_slice(token.as_bytes());
        piece.push(TOKEN_END);
        tokens += 1;
        rest = behind;
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

/// Root by which a prompt is placed: its first key, or a hash of the whole text if it has none.
///
/// A root of the second kind never equals a piece key and names nothing that is kept.
pub fn prompt_root(scope: &CacheScope, prompt: &str, keys: &[PieceKey]) -> PromptRoot {
    keys.first().copied().unwrap_or_else(|| {
        let text = [SHORT_PROMPT, prompt.as_bytes()].concat();
        extend_chain(&scope.chain_key(), &text).1
    })
}

/// Cuts the first white-space word off a text.
pub fn next_word(text: &str) -> Option<(&str, &str)> {
    let bytes = text.as_bytes();
    let blank = bytes.iter().take_while(|byte| **byte == b' ').count();
    let word = bytes[blank..].iter().take_while(|byte| byte.is_ascii_graphic()).count();
    let end = blank + word;
    let is_plain = word > 0 && bytes.get(end).is_none_or(u8::is_ascii_whitespace);
    if is_plain { Some((&text[blank..end], &text[end..])) } else { next_unicode_word(text) }
}

fn next_unicode_word(text: &str) -> Option<(&str, &str)> {
    let text = text.trim_start();
    let end = text.find(char::is_whitespace).unwrap_or(text.len());
    (end > 0).then(|| text.split_at(end))
}

/// Derives the key of a piece and the chain behind it; the key does not reveal the chain.
fn extend_chain(chain: &ChainKey, piece: &[u8]) -> (ChainKey, PieceKey) {
    let mut output = blake3::Hasher::new_keyed(chain).update(piece).finalize_xof();
    let mut next = ChainKey::default();
    let mut key = PieceKey([0; 16]);
    output.fill(&mut next);
    output.fill(&mut key.0);
    (next, key)
}
