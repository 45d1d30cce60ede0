use super::BlockId;
use crate::ids::PieceKey;

/// Prefix of manifest object names.
pub const MANIFEST_PREFIX: &str = "m-";
/// Prefix of block object names.
pub const BLOCK_PREFIX: &str = "b-";

/// Returns the object name of a piece's manifest: `m-<key>`.
pub fn manifest_name(key: PieceKey) -> String {
    format!("{MANIFEST_PREFIX}{key}")
}

/// Returns the object name of a block: `b-<key>-<block>`, both as 32 hexadecimal digits.
///
/// The piece key is part of the name so that the manifest can be looked up from a listing and
/// orphaned blocks can be recognized.
pub fn block_name(key: PieceKey, block: BlockId) -> String {
    format!("{BLOCK_PREFIX}{key}-{block:032x}")
}

/// Parses a block object name; `None` if it does not have the form that [`block_name`] writes.
pub fn parse_block_name(name: &str) -> Option<(PieceKey, BlockId)> {
    let (key, block) = name.strip_prefix(BLOCK_PREFIX)?.split_once('-')?;
    let key = PieceKey(parse_hex(key)?.to_be_bytes());
    Some((key, parse_hex(block)?))
}

/// Parses exactly 32 lowercase hexadecimal digits.
fn parse_hex(text: &str) -> Option<u128> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    let is_whole = text.len() == 32 && text.bytes().all(is_digit);
    is_whole.then(|| u128::from_str_radix(text, 16).ok()).flatten()
}
