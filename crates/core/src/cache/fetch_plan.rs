use crate::links::TransferEstimate;
use std::time::Duration;

/// What is known of one piece of a prompt before its run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceState {
    /// The engine holds it.
    Held,
    /// A store holds it.
    Kept {
        /// Length of its block object.
        bytes: u64,
    },
    /// Nobody is known to hold it.
    Unknown,
}

/// Counts the leading pieces that the engine should hold when the run starts.
///
/// It is the longest prefix whose missing blocks arrive sooner than the engine could compute
/// what the prefix saves. The engine reuses only an unbroken prefix, so a piece that it holds
/// behind a gap counts as saved by closing the gap.
pub fn plan_fetch(
    pieces: &[PieceState],
    prefill_per_piece: Duration,
    link: TransferEstimate,
    time_limit: Duration,
) -> usize {
    let held = pieces.iter().take_while(|piece| **piece == PieceState::Held).count();
    let mut missing_bytes = 0;
    let mut best = held;
    for (index, piece) in pieces.iter().enumerate().skip(held) {
        match piece {
            PieceState::Held => {}
            PieceState::Kept { bytes } => missing_bytes += bytes,
            PieceState::Unknown => break,
        }
        let saved_pieces = u32::try_from(index + 1 - held).unwrap_or(u32::MAX);
        let transfer = link.time(missing_bytes);
        if transfer < prefill_per_piece.saturating_mul(saved_pieces) && transfer <= time_limit {
            best = index + 1;
        }
    }
    best
}
