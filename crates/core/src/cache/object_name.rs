use super::BlockId;
use crate::ids::PieceKey;

/// Start of every manifest's name.
pub const MANIFEST_PREFIX: &str = "m-";
/// Start of every block's name.
pub const BLOCK_PREFIX: &str = "b-";

/// Name of the manifest of a piece.
pub fn manifest_name(key: PieceKey) -> String {
    format!("{MANIFEST_PREFIX}{key}")
}

/// Name of a block; it carries the piece, so that a block without manifest can be told.
pub fn block_name(key: PieceKey, block: BlockId) -> String {
    format!("{BLOCK_PREFIX}{key}-{block:032x}")
}

/// Reads the name of a block.
pub fn parse_block_name(name: &str) -> Option<(PieceKey, BlockId)> {
    let (key, block) = name.strip_prefix(BLOCK_PREFIX)?.split_once('-')?;
    let key = PieceKey(parse_hex(key)?.to_be_bytes());
    Some((key, parse_hex(block)?))
}

/// Reads exactly 32 lower-case hexadecimal digits.
fn parse_hex(text: &str) -> Option<u128> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    let is_whole = text.len() == 32 && text.bytes().all(is_digit);
    is_whole.then(|| u128::from_str_radix(text, 16).ok()).flatten()
}
