use crate::links::TransferEstimate;
use std::time::Duration;

/// Location of one piece of a prompt's KV cache before prefill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceState {
    /// The engine is believed to have it cached.
    Held,
    /// A store has it, so it can be fetched.
    Stored {
        /// Length of the block object in bytes.
        bytes: u64,
    },
    /// It is neither in the engine nor in a store that was asked.
    Unknown,
}

/// Returns how many leading pieces should be in the engine's cache when prefill starts.
///
/// This is the longest prefix whose missing blocks can be transferred within `time_limit` and in
/// less time than the engine needs to compute the pieces that the transfer makes reusable. The
/// engine only reuses a contiguous prefix, so cached pieces behind a gap count as saved by the
/// fetch that closes the gap.
pub fn plan_fetch(
    pieces: &[PieceState],
    prefill_per_piece: Duration,
    link: TransferEstimate,
    time_limit: Duration,
) -> usize {
    let held = pieces.iter().take_while(|piece| **piece == PieceState::Held).count();
    let mut missing_bytes = 0;
    let mut fetch_count = held;
    for (index, piece) in pieces.iter().enumerate().skip(held) {
        match piece {
            PieceState::Held => {}
            PieceState::Stored { bytes } => missing_bytes += bytes,
            PieceState::Unknown => break,
        }
        let saved_pieces = u32::try_from(index + 1 - held).unwrap_or(u32::MAX);
        let transfer = link.time(missing_bytes);
        if transfer < prefill_per_piece.saturating_mul(saved_pieces) && transfer <= time_limit {
            fetch_count = index + 1;
        }
    }
    fetch_count
}
