use crate::ids::{BoundedMap, PromptRoot, WorkspaceId};
use std::time::{Duration, Instant};

/// Weight of the newest interval in the exponentially weighted moving average.
const EWMA_WEIGHT: f64 = 0.3;
/// Reuse interval assumed for a workspace without history.
const DEFAULT_GAP: Duration = Duration::from_secs(3_600);
/// Number of prompts seen in a workspace above which both of its counters are halved, so that older
/// behaviour loses weight.
const MAX_SEEN_PROMPTS: f64 = 1_000.0;
/// Initial counters of a workspace: prompts reused and prompts seen. Equivalent to a prior reuse
/// probability of one half.
const PRIOR_COUNTS: (f64, f64) = (1.0, 2.0);

#[derive(Clone, Copy, Debug)]
struct PromptHistory {
    last: Instant,
    gap_s: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct WorkspaceHistory {
    gap_s: f64,
    reused: f64,
    seen: f64,
}

impl WorkspaceHistory {
    fn new() -> Self {
        let (reused, seen) = PRIOR_COUNTS;
        Self { gap_s: DEFAULT_GAP.as_secs_f64(), reused, seen }
    }

    /// Caps the reuse probability at 1, as a prompt is counted as seen once but may be reused often,
    /// and halves both counters above [`MAX_SEEN_PROMPTS`].
    fn bound_counts(&mut self) {
        self.reused = self.reused.min(self.seen);
        if self.seen > MAX_SEEN_PROMPTS {
            self.seen /= 2.0;
            self.reused /= 2.0;
        }
    }

    /// Mean reuse interval divided by the reuse probability: a prompt that may never be reused
    /// counts as one that is reused later.
    fn expected_gap_s(&self) -> f64 {
        self.gap_s * self.seen / self.reused
    }
}

/// Predicts the time until a prompt is requested again, from a bounded history of reuse intervals.
#[derive(Clone, Debug)]
pub struct ReusePredictor {
    prompts: BoundedMap<PromptRoot, PromptHistory>,
    workspaces: BoundedMap<WorkspaceId, WorkspaceHistory>,
}

impl ReusePredictor {
    /// Creates a predictor that tracks at least `prompts` prompts and `workspaces` workspaces, and
    /// at most twice as many of each.
    pub fn new(prompts: usize, workspaces: usize) -> Self {
        Self { prompts: BoundedMap::new(prompts), workspaces: BoundedMap::new(workspaces) }
    }

    /// Records a request for a prompt and returns the expected time until the next one.
    ///
    /// Uses the prompt's own intervals if it was requested before, else those of its workspace.
    pub fn on_request(
        &mut self,
        now: Instant,
        workspace: &WorkspaceId,
        root: PromptRoot,
    ) -> Duration {
        let history = self.workspaces.entry(workspace, WorkspaceHistory::new);
        let earlier = self.prompts.peek(&root).copied();
        let gap_s = earlier.map(|prompt| (now - prompt.last).as_secs_f64());
        match gap_s {
            Some(gap_s) => {
                history.reused += 1.0;
                history.gap_s = ewma(history.gap_s, gap_s);
            }
            None => history.seen += 1.0,
        }
        history.bound_counts();
        let prior_s = history.expected_gap_s();
        let mean_s = earlier.and_then(|prompt| prompt.gap_s);
        let gap_s = gap_s.map(|gap_s| mean_s.map_or(gap_s, |mean_s| ewma(mean_s, gap_s)));
        *self.prompts.entry(&root, || PromptHistory { last: now, gap_s }) =
            PromptHistory { last: now, gap_s };
        Duration::from_secs_f64(gap_s.unwrap_or(prior_s))
    }

    /// Number of tracked prompts.
    pub fn len(&self) -> usize {
        self.prompts.len()
    }

    /// Returns whether no prompt is tracked.
    pub fn is_empty(&self) -> bool {
        self.prompts.is_empty()
    }
}

fn ewma(mean: f64, newest: f64) -> f64 {
    mean + EWMA_WEIGHT * (newest - mean)
}
