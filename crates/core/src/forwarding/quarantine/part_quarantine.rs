use super::{
    CrashHistory, CrashedRun, PartHash, QUARANTINE_TIME, QuarantinedPart, RequestHash,
    TimedQuarantine, quarantined_part::ActiveQuarantine,
};
use crate::ids::{BoundedMap, EndpointId, FastMap, FastSet};
use std::{
    mem,
    time::{Duration, Instant},
};

/// Weight of the crashes from which on a request with the part is not sent again.
const NO_RETRY_WEIGHT: usize = 4;
/// Minimum time from the first crash to a quarantine, in which daemons tell each other under which
/// parts runs survived: several endpoints may crash shortly after each other for another reason.
pub const SETTLING_TIME: Duration = Duration::from_millis(250);
/// Time by which a trial comes later with a request that has several quarantined suspects: if it crashes
/// its endpoint, only one of them need be the cause, and the others would wait for their next trial.
const SHARED_TRIAL_DELAY: Duration = Duration::from_secs(5);
/// Number of own runs that are reported at once; the oldest give way.
pub(super) const MAX_REPORTED_RUNS: usize = 32;
/// Number of parts for which it is remembered what the other daemons were told.
const MAX_TOLD_SURVIVALS: usize = 8_192;
/// Number of parts whose names are remembered for logs.
const MAX_NAMES: usize = 256;
/// Longest name kept, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Number of quarantines that are kept and reported; the ones that end first give way.
const MAX_QUARANTINED: usize = 64;
/// Number of requests whose last answer is remembered while nothing speaks against them; twice as many
/// at most.
const MAX_ANSWERED: usize = 4_096;
/// Time for which a lifted quarantine is not taken over from daemons that do not know of it yet.
const LIFT_MEMORY: Duration = Duration::from_secs(30);

/// Changes of the quarantines since the last update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineChanges {
    /// Quarantines that are new or hold for more workspaces since the last look, also those of other
    /// daemons and of the store.
    pub new: Vec<QuarantinedPart>,
    /// Quarantines that have ended.
    pub ended: Vec<QuarantinedPart>,
}

/// Decides which prompt parts are kept away from the endpoints, by the crashes that all daemons saw.
///
/// Answers a load in which requests with one part come at any daemon, and each crashes the endpoint
/// that runs it together with the runs of other callers.
#[derive(Debug)]
pub struct PartQuarantine {
    pub(super) history: CrashHistory,
    pub(super) active: FastMap<PartHash, ActiveQuarantine>,
    /// Parts whose quarantine has ended here, and when, until their keys are removed.
    pub(super) released: FastMap<PartHash, Instant>,
    /// Times until which quarantines of other daemons are not taken over.
    pub(super) lifted: FastMap<PartHash, Instant>,
    pub(super) own_runs: Vec<(Instant, CrashedRun)>,
    /// Until when the latest crashes are reported whoever saw them.
    pub(super) repeats_all_until: Option<Instant>,
    /// Survivals to report, and until when.
    pub(super) own_survivals: FastMap<PartHash, (Instant, Instant)>,
    /// Survivals that the other daemons were told of.
    pub(super) told_survivals: BoundedMap<PartHash, Instant>,
    names: BoundedMap<PartHash, String>,
    /// Quarantines that are new or were widened since the last update, from whatever source.
    new: Vec<QuarantinedPart>,
    /// When whole requests that are not suspected were last answered here.
    answered: BoundedMap<RequestHash, Instant>,
    /// Whole requests that run, by this daemon, though crashes count for them.
    on_probation: FastSet<RequestHash>,
    /// Until when new crashes may lead to a quarantine; `None` if there is nothing to evaluate.
    evaluate_until: Option<Instant>,
}

impl Default for PartQuarantine {
    fn default() -> Self {
        Self {
            history: CrashHistory::default(),
            active: FastMap::default(),
            released: FastMap::default(),
            lifted: FastMap::default(),
            own_runs: Vec::new(),
            repeats_all_until: None,
            own_survivals: FastMap::default(),
            told_survivals: BoundedMap::new(MAX_TOLD_SURVIVALS),
            names: BoundedMap::new(MAX_NAMES),
            new: Vec::new(),
            answered: BoundedMap::new(MAX_ANSWERED),
            on_probation: FastSet::default(),
            evaluate_until: None,
        }
    }
}

impl PartQuarantine {
    /// Records that an endpoint of this daemon crashed before a run survived the start of its
    /// answer. `names` are those of its suspects: of the parts as callers name them, then of the whole.
    pub fn on_crash<'a>(
        &mut self,
        now: Instant,
        run: CrashedRun,
        names: impl IntoIterator<Item = &'a str>,
    ) {
        for (part, name) in run.suspects().zip(names) {
            let part = &part;
            let shortened = name.get(..MAX_NAME_BYTES).unwrap_or(name);
            self.names.entry(part, || shortened.to_owned());
        }
        if self.add_run(now, now, run.clone()) {
            if self.own_runs.len() >= MAX_REPORTED_RUNS {
                self.own_runs.remove(0);
            }
            self.own_runs.push((now, run));
        }
    }

    /// Records that a run survived: its answer was complete, or went on for some time. It ends the
    /// quarantines of its parts.
    ///
    /// Returns whether other daemons should hear of it soon.
    pub fn on_survived(&mut self, now: Instant, parts: &[PartHash]) -> bool {
        let mut is_news = false;
        for part in parts {
            self.history.add_survival(now, *part);
            is_news |= self.tell_survival(now, *part);
        }
        is_news
    }

    /// Records that a run of a whole request survived. One that nothing speaks against is remembered
    /// too: if endpoints crash under it soon after, it is not the cause.
    ///
    /// Returns whether other daemons should hear of it soon.
    pub fn on_answered(&mut self, now: Instant, whole: RequestHash) -> bool {
        if self.is_suspect(whole) {
            return self.on_survived(now, &[whole]);
        }
        *self.answered.entry(&whole, || now) = now;
        false
    }

    /// Records that the quarantine of a part was lifted: an operator knows that the crashes under it have
    /// another cause or none any more, so they no longer count for whatever came with the part either.
    ///
    /// The other daemons are told; [`Self::update`] ends the quarantine.
    pub fn lift(&mut self, now: Instant, part: PartHash) {
        let mut cleared = self.history.suspects_beside(part);
        cleared.retain(|suspect| !self.active.contains_key(suspect));
        cleared.insert(part);
        self.on_survived(now, &cleared.into_iter().collect::<Vec<_>>());
    }

    /// Ends the quarantine of a part. The crashes that led to it may count for others now.
    pub(super) fn end(&mut self, now: Instant, part: PartHash) {
        self.active.remove(&part);
        self.evaluate_until = self.evaluate_until.max(Some(now));
        self.lifted.retain(|_, until| now < *until);
        self.lifted.insert(part, now + LIFT_MEMORY);
    }

    /// Whether nothing is suspected, so that no request has to be looked at.
    pub fn is_idle(&self) -> bool {
        self.history.is_empty() && self.active.is_empty()
    }

    /// Whether crashes ended runs with the part, or it is in quarantine.
    pub fn is_suspect(&self, part: PartHash) -> bool {
        self.active.contains_key(&part) || self.history.is_suspect(part)
    }

    /// Whether it is known that a process of an endpoint crashed at `since` or later.
    pub fn has_crash_since(&self, endpoint: &EndpointId, boot: u64, since: Instant) -> bool {
        self.history.has_crash_since(endpoint, boot, since)
    }

    /// Number of endpoints whose crash counts for the part.
    pub fn open_crashes(&self, part: PartHash) -> usize {
        self.history.open_crashes(part)
    }

    /// Starts and ends quarantines by what is known now.
    ///
    /// A quarantine ends after its time, when a run with the part survives after all, or when it turns
    /// out that runs survived around all the crashes that led to it.
    pub fn update(&mut self, now: Instant) -> QuarantineChanges {
        let mut changes = QuarantineChanges::default();
        let has_survived = |active: &ActiveQuarantine| {
            let survived = self.history.survived_at(active.quarantined.part);
            survived.is_some_and(|at| at > active.since)
                || self.history.clears_all_of(active.quarantined.part)
        };
        let ended = self.active.values();
        let ended = ended.filter(|active| now >= active.until || has_survived(active));
        changes.ended = ended.map(|active| active.quarantined.clone()).collect();
        for quarantined in &changes.ended {
            self.end(now, quarantined.part);
            self.released.insert(quarantined.part, now);
        }
        self.active.values_mut().for_each(|active| active.skip_missed_trial(now));
        if let Some(until) = self.evaluate_until {
            while let Some(quarantined) = self.next_to_quarantine(now) {
                self.hold(now, quarantined, now + QUARANTINE_TIME, false);
            }
            self.evaluate_until = (now < until).then_some(until);
        }
        changes.new = mem::take(&mut self.new);
        changes
    }

    /// The quarantine that keeps a request of a workspace away, and the time for which it still holds.
    ///
    /// `makes_trials` tells whether trials with a part are up to this daemon; while one is due, the
    /// quarantine keeps nothing away here, until [`Self::on_sent`].
    pub fn find(
        &self,
        now: Instant,
        workspace: &str,
        parts: &[PartHash],
        makes_trials: impl Fn(PartHash) -> bool,
    ) -> Option<(&QuarantinedPart, Duration)> {
        let active = parts.iter().filter_map(|part| self.active.get(part));
        let covers =
            |active: &&ActiveQuarantine| now < active.until && active.quarantined.covers(workspace);
        let covering: Vec<&ActiveQuarantine> = active.filter(covers).collect();
        let min_due = if covering.len() > 1 { SHARED_TRIAL_DELAY } else { Duration::ZERO };
        let is_on_trial = |active: &ActiveQuarantine| {
            let is_due = active.trial_due_for(now).is_some_and(|due| due >= min_due);
            is_due && makes_trials(active.quarantined.part)
        };
        let active = covering.into_iter().find(|active| !is_on_trial(active))?;
        Some((&active.quarantined, active.until.saturating_duration_since(now)))
    }

    /// Whether a request has to wait: crashes count for it, and this daemon already runs it. So no
    /// more endpoints are lost than it takes to tell whether it is the cause.
    pub fn must_wait(&self, whole: RequestHash) -> bool {
        self.on_probation.contains(&whole) && self.history.is_open_suspect(whole)
    }

    /// Records that a request is sent. Returns whether [`Self::on_probation_end`] must follow.
    pub fn begin_probation(&mut self, whole: RequestHash) -> bool {
        let is_suspect = self.history.is_open_suspect(whole);
        is_suspect && self.on_probation.insert(whole)
    }

    /// Records that a run for which [`Self::begin_probation`] was true has ended.
    pub fn on_probation_end(&mut self, whole: RequestHash) {
        self.on_probation.remove(&whole);
    }

    /// Records that a request was sent to an endpoint, which may be a trial. Returns the part that it
    /// tries, which the other daemons should hear of soon.
    pub fn on_sent(&mut self, now: Instant, parts: &[PartHash]) -> Option<PartHash> {
        let mut tried = None;
        for part in parts {
            if let Some(active) = self.active.get_mut(part).filter(|v| v.is_trial_due(now)) {
                active.on_trial(now);
                tried = Some(*part);
            }
        }
        tried
    }

    /// Time for which a trial of a part has been due; `None` if none is.
    pub fn trial_due_for(&self, now: Instant, part: PartHash) -> Option<Duration> {
        self.active.get(&part)?.trial_due_for(now)
    }

    /// Whether a request with these parts may well crash the next endpoint too and must not be sent
    /// again.
    pub fn forbids_retry(&self, now: Instant, parts: &[PartHash]) -> bool {
        self.crashes_by_part(now).iter().any(|part_crashes| {
            parts.contains(&part_crashes.part) && part_crashes.weight() >= NO_RETRY_WEIGHT
        })
    }

    /// Quarantines in force.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = TimedQuarantine> {
        let active = self.active.values().filter(move |active| now < active.until);
        active.map(move |active| TimedQuarantine {
            quarantined: active.quarantined.clone(),
            left: active.until.saturating_duration_since(now),
        })
    }

    /// Number of crashes that count for each part, in no particular order.
    pub fn suspects(&self, now: Instant) -> Vec<(PartHash, usize)> {
        let crashes_by_part = self.crashes_by_part(now).into_iter();
        crashes_by_part.map(|part_crashes| (part_crashes.part, part_crashes.crashes())).collect()
    }

    /// Endpoints that crashed under a part, as far as they are remembered.
    pub fn crashed_endpoints(&self, part: PartHash) -> FastSet<EndpointId> {
        self.history.crashes_of(part).map(|(_, endpoint)| endpoint.clone()).collect()
    }

    /// Identifier of a part as callers name it, if a run of this daemon had it.
    pub fn name(&self, part: PartHash) -> Option<&str> {
        self.names.peek(&part).map(String::as_str)
    }

    pub(super) fn add_run(&mut self, now: Instant, at: Instant, run: CrashedRun) -> bool {
        let suspects: Vec<PartHash> = run.suspects().collect();
        let whole = run.whole;
        let is_new = self.history.add_run(now, at, run);
        if is_new {
            if let Some(answered) = self.answered.peek(&whole) {
                self.history.add_survival(*answered, whole);
            }
            self.evaluate_until = Some(now + SETTLING_TIME);
            for part in suspects {
                self.tell_survival(now, part);
            }
        }
        is_new
    }

    /// Holds a quarantine until `until`. One on the same part is extended, and widened if this one
    /// holds for all workspaces or another one.
    pub(super) fn hold(
        &mut self,
        now: Instant,
        quarantined: QuarantinedPart,
        until: Instant,
        is_stored: bool,
    ) {
        let part = quarantined.part;
        if let Some(active) = self.active.get_mut(&part) {
            let is_widened = active.widen(now, &quarantined);
            if is_widened {
                self.new.push(active.quarantined.clone());
            }
            active.until = active.until.max(until);
            let is_stored = is_stored && quarantined.trials >= active.quarantined.trials;
            active.is_stored = is_stored || (active.is_stored && !is_widened);
            return;
        }
        if self.active.len() >= MAX_QUARANTINED {
            let ends_first = self.active.values().min_by_key(|active| active.until);
            if let Some(part) = ends_first.map(|active| active.quarantined.part) {
                self.active.remove(&part);
            }
        }
        self.new.push(quarantined.clone());
        let is_uncertain = self.is_uncertain(&quarantined);
        let active = ActiveQuarantine::new(now, quarantined, until, is_stored, is_uncertain);
        self.active.insert(part, active);
    }
}
