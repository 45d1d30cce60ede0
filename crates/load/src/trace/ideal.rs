use super::{
    Trace,
    arrivals::{ArrivalKind, PIECE_TOKENS},
};
use cassiagw_core::ids::FastMap;
use std::collections::BTreeSet;

/// Cache piece: index of its context and position in that context.
type Piece = (usize, u32);

/// Fraction of the prompt tokens that would be recomputed with an optimal offline cache: one that
/// holds `capacity` pieces, knows all arrivals in advance and is shared by all engines without
/// delay.
///
/// It evicts the piece whose next use is furthest in the future (Belady's algorithm).
pub fn ideal_recomputed_share(trace: &Trace, capacity: usize) -> f64 {
    let requests = prompt_requests(trace);
    let mut next_uses = uses_by_piece(&requests);
    let mut cached: BTreeSet<(usize, Piece)> = BTreeSet::new();
    let mut next_use: FastMap<Piece, usize> = FastMap::default();
    let (mut computed, mut all) = (0_u64, 0_u64);
    for (number, (context, tokens)) in requests.iter().enumerate() {
        all += u64::from(*tokens);
        computed += u64::from(tokens % PIECE_TOKENS);
        for index in 0..tokens / PIECE_TOKENS {
            let piece = (*context, index);
            let known = next_use.remove(&piece).map(|next| cached.remove(&(next, piece)));
            if known.is_none() {
                computed += u64::from(PIECE_TOKENS);
            }
            let uses = next_uses.get_mut(&piece);
            let next = uses.and_then(|uses| {
                uses.retain(|use_at| *use_at > number);
                uses.first().copied()
            });
            let Some(next) = next else { continue };
            next_use.insert(piece, next);
            cached.insert((next, piece));
        }
        while cached.len() > capacity {
            if let Some((_, piece)) = cached.pop_last() {
                next_use.remove(&piece);
            }
        }
    }
    if all == 0 { 0.0 } else { computed as f64 / all as f64 }
}

fn prompt_requests(trace: &Trace) -> Vec<(usize, u32)> {
    let prompt = |kind: &ArrivalKind| match kind {
        ArrivalKind::Prompt { context, tokens, .. } => Some((*context, *tokens)),
        ArrivalKind::Order { .. } => None,
    };
    trace.arrivals.iter().filter_map(|arrival| prompt(&arrival.kind)).collect()
}

fn uses_by_piece(requests: &[(usize, u32)]) -> FastMap<Piece, Vec<usize>> {
    let mut uses: FastMap<Piece, Vec<usize>> = FastMap::default();
    for (number, (context, tokens)) in requests.iter().enumerate() {
        for index in 0..tokens / PIECE_TOKENS {
            uses.entry((*context, index)).or_default().push(number);
        }
    }
    uses
}
