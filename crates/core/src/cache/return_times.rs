use crate::ids::{BoundedMap, PromptRoot, WorkspaceId};
use std::time::{Duration, Instant};

/// Weight of the newest gap in a mean gap.
const NEWEST_SHARE: f64 = 0.3;
/// Gap taken for a workspace of which nothing is known.
const DEFAULT_GAP: Duration = Duration::from_secs(3_600);
/// Prompts of a workspace counted before both counts are halved, so that old habits fade.
const MAX_SEEN: f64 = 1_000.0;
/// Prompts that a fresh workspace is taken to have seen come back, and to have seen in all.
const PRIOR_RETURNS: (f64, f64) = (1.0, 2.0);

#[derive(Clone, Copy, Debug)]
struct PromptHistory {
    last: Instant,
    gap_s: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct WorkspaceHistory {
    gap_s: f64,
    returned: f64,
    seen: f64,
}

impl WorkspaceHistory {
    fn new() -> Self {
        let (returned, seen) = PRIOR_RETURNS;
        Self { gap_s: DEFAULT_GAP.as_secs_f64(), returned, seen }
    }

    /// A prompt is seen once but may return often; the share of returns never passes one.
    fn bound_counts(&mut self) {
        self.returned = self.returned.min(self.seen);
        if self.seen > MAX_SEEN {
            self.seen /= 2.0;
            self.returned /= 2.0;
        }
    }

    /// A prompt that may never return counts as one that returns later.
    fn expected_gap_s(&self) -> f64 {
        self.gap_s * self.seen / self.returned
    }
}

/// Bounded history of the gaps after which prompts return.
#[derive(Clone, Debug)]
pub struct ReturnTimes {
    prompts: BoundedMap<PromptRoot, PromptHistory>,
    workspaces: BoundedMap<WorkspaceId, WorkspaceHistory>,
}

impl ReturnTimes {
    /// Makes a history of at least `prompts` prompts and `workspaces` workspaces.
    pub fn new(prompts: usize, workspaces: usize) -> Self {
        Self { prompts: BoundedMap::new(prompts), workspaces: BoundedMap::new(workspaces) }
    }

    /// Takes in an arrival of a prompt and returns the gap until the next one expected.
    pub fn on_arrival(
        &mut self,
        now: Instant,
        workspace: &WorkspaceId,
        root: PromptRoot,
    ) -> Duration {
        let whole = self.workspaces.entry(workspace, WorkspaceHistory::new);
        let known = self.prompts.peek(&root).copied();
        let gap_s = known.map(|prompt| (now - prompt.last).as_secs_f64());
        match gap_s {
            Some(gap_s) => {
                whole.returned += 1.0;
                whole.gap_s = blend(whole.gap_s, gap_s);
            }
            None => whole.seen += 1.0,
        }
        whole.bound_counts();
        let prior_s = whole.expected_gap_s();
        let mean_s = known.and_then(|prompt| prompt.gap_s);
        let gap_s = gap_s.map(|gap_s| mean_s.map_or(gap_s, |mean_s| blend(mean_s, gap_s)));
        *self.prompts.entry(&root, || PromptHistory { last: now, gap_s }) =
            PromptHistory { last: now, gap_s };
        Duration::from_secs_f64(gap_s.unwrap_or(prior_s))
    }

    /// Prompts remembered.
    pub fn len(&self) -> usize {
        self.prompts.len()
    }

    /// Says whether no prompt is remembered.
    pub fn is_empty(&self) -> bool {
        self.prompts.is_empty()
    }
}

fn blend(mean: f64, newest: f64) -> f64 {
    mean + NEWEST_SHARE * (newest - mean)
}
