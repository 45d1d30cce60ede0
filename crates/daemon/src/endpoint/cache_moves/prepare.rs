use super::{
    CacheMoves, Prepared, PromptRun, counters::add, lookup::StoredPrompt, moves::lock,
    shared_fetch::SharedFetch,
};
use cassiagw_core::{
    cache::{LOOKUP_STORES, Manifest, PieceState, plan_fetch},
    settings::Tree,
};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, timeout, timeout_at};

impl CacheMoves {
    /// Fetches the pieces of a prompt that the engine lacks and a store has, as far as fetching is
    /// faster than computing them.
    ///
    /// Waits at most about as long as computing them would take, and no longer than `max_fetch_wait`
    /// or half of `time_left`.
    pub async fn prepare(
        self: &Arc<Self>,
        tree: &Tree,
        run: &PromptRun,
        time_left: Duration,
    ) -> Prepared {
        add(&self.counters.runs, 1);
        let Some(root) = run.pieces.first() else { return Prepared::default() };
        let now = Instant::now();
        let expected_gap =
            lock(&self.reuse_predictor).on_request(now.into_std(), &run.workspace, *root);
        let _ = timeout(self.cfg.event_timeout, self.read_events(self.cfg.event_max_age)).await;
        let is_held = self.which_held(&run.pieces);
        let held = is_held.iter().take_while(|held| **held).count();
        if held == run.pieces.len() {
            return Prepared { held, imported: 0, expected_gap };
        }
        let per_piece = lock(&self.prefill_rate).per_token() * run.piece_tokens;
        let missing = u32::try_from(run.pieces.len() - held).unwrap_or(u32::MAX);
        let prefill_time = per_piece.saturating_mul(missing);
        let deadline = now + prefill_time.min(self.cfg.max_fetch_wait).min(time_left / 2);
        let imported = self.fetch_missing(tree, run, &is_held, per_piece, deadline).await;
        Prepared { held: held + imported, imported, expected_gap }
    }

    /// Returns the number of pieces by which the prefix held by the engine grew.
    async fn fetch_missing(
        self: &Arc<Self>,
        tree: &Tree,
        run: &PromptRun,
        is_held: &[bool],
        per_piece: Duration,
        deadline: Instant,
    ) -> usize {
        let lanes = self.usable_lanes(tree, run.pieces[0], LOOKUP_STORES);
        let search = timeout_at(deadline, self.look_up(&lanes, run, is_held)).await;
        let Ok(Some(StoredPrompt { lane, manifests })) = search else { return 0 };
        self.record_seen_in_store(manifests.iter().flatten().map(|manifest| manifest.key));
        let states = piece_states(is_held, &manifests);
        let left = deadline.saturating_duration_since(Instant::now());
        let count = plan_fetch(&states, per_piece, lane.estimate(), left);
        let held = is_held.iter().take_while(|held| **held).count();
        let fetches: Vec<Option<SharedFetch>> = manifests
            .into_iter()
            .take(count)
            .skip(held)
            .map(|manifest| manifest.map(|manifest| self.fetch(&lane, run, manifest)))
            .collect();
        count_available(fetches, deadline).await
    }
}

fn piece_states(is_held: &[bool], manifests: &[Option<Manifest>]) -> Vec<PieceState> {
    let states = is_held.iter().zip(manifests).map(|(is_held, manifest)| match manifest {
        _ if *is_held => PieceState::Held,
        Some(manifest) => PieceState::Stored { bytes: manifest.bytes },
        None => PieceState::Unknown,
    });
    states.collect()
}

/// Counts the leading pieces that are available by the deadline; `None` needs no fetch.
async fn count_available(fetches: Vec<Option<SharedFetch>>, deadline: Instant) -> usize {
    let mut count = 0;
    for fetch in fetches {
        let is_available = match fetch {
            Some(fetch) => timeout_at(deadline, fetch).await.unwrap_or(false),
            None => true,
        };
        if !is_available {
            break;
        }
        count += 1;
    }
    count
}
