//! What the daemons tell each other of crashes, survivals and quarantines.

use super::{
    AgedRun, CrashHistory, CrashedRun, PartHash, PartQuarantine, QUARANTINE_TIME, QuarantineReport,
    Survival, part_quarantine::MAX_REPORTED_RUNS,
};
use crate::ids::FastMap;
use std::time::{Duration, Instant};

/// Time for which crashes and survivals are repeated in reports.
const REPEAT_TIME: Duration = Duration::from_secs(2);

impl PartQuarantine {
    /// Applies the report of another daemon, made `age` ago.
    ///
    /// Returns whether this daemon knows something in turn that the others should hear soon.
    pub fn on_report(&mut self, now: Instant, age: Duration, report: QuarantineReport) -> bool {
        let told_before = self.own_survivals.len();
        let at = |own_age: Duration| now.checked_sub(age + own_age).unwrap_or(now);
        for survival in report.survivals {
            let survived = at(survival.age);
            self.history.add_survival(survived, survival.part);
            let told = self.told_survivals.entry(&survival.part, || survived);
            *told = survived.max(*told);
        }
        for aged in report.runs {
            self.add_run(now, at(aged.age), aged.run);
        }
        for aged in report.quarantined {
            let until = now + aged.left.saturating_sub(age).min(QUARANTINE_TIME);
            let is_lifted =
                self.lifted.get(&aged.quarantined.part).is_some_and(|until| now < *until);
            if !is_lifted {
                self.hold(now, aged.quarantined, until, false);
            }
        }
        self.own_survivals.len() > told_before
    }

    /// Records that another daemon started, which knows of no earlier crashes: the latest that count are
    /// reported for a time.
    pub fn on_new_daemon(&mut self, now: Instant) {
        self.repeats_all_until = Some(now + REPEAT_TIME);
    }

    /// What the other daemons are to be told now.
    pub fn report(&mut self, now: Instant) -> QuarantineReport {
        self.own_runs.retain(|(at, _)| now < *at + REPEAT_TIME);
        self.own_survivals.retain(|_, (_, until)| now < *until);
        let survivals = self.own_survivals.iter().map(|(part, (at, _))| (*part, *at));
        let survivals: FastMap<PartHash, Instant> = survivals.collect();
        if self.repeats_all_until.is_some_and(|until| now < until) {
            return self.report_latest(now, survivals);
        }
        self.report_of(now, self.own_runs.iter(), survivals)
    }

    /// What a daemon that starts must know: the latest crashes that count, whoever saw them.
    pub fn report_to_new(&self, now: Instant) -> QuarantineReport {
        self.report_latest(now, FastMap::default())
    }

    /// The latest crashes, with the survivals around them and others.
    fn report_latest(
        &self,
        now: Instant,
        mut survivals: FastMap<PartHash, Instant>,
    ) -> QuarantineReport {
        let runs: Vec<&(Instant, CrashedRun)> =
            self.history.latest_open_runs(MAX_REPORTED_RUNS).collect();
        let suspects = runs.iter().flat_map(|(_, run)| run.suspects());
        let survived = suspects.filter_map(|part| Some((part, self.history.survived_at(part)?)));
        survivals.extend(survived);
        self.report_of(now, runs.into_iter(), survivals)
    }

    fn report_of<'a>(
        &self,
        now: Instant,
        runs: impl Iterator<Item = &'a (Instant, CrashedRun)>,
        survivals: FastMap<PartHash, Instant>,
    ) -> QuarantineReport {
        let age = |at: Instant| now.saturating_duration_since(at);
        let survivals = survivals.into_iter();
        QuarantineReport {
            runs: runs.map(|(at, run)| AgedRun { run: run.clone(), age: age(*at) }).collect(),
            survivals: survivals.map(|(part, at)| Survival { part, age: age(at) }).collect(),
            quarantined: self.quarantined(now).collect(),
        }
    }

    /// Reports the last survival of a part if by it a crash no longer counts for the part or its
    /// quarantine ends, and the other daemons do not know that yet.
    pub(super) fn tell_survival(&mut self, now: Instant, part: PartHash) -> bool {
        let Some(survived) = self.history.survived_at(part) else { return false };
        let told = self.told_survivals.peek(&part).copied();
        let clears_crash = self.history.crashes_of(part).any(|(at, _)| {
            let is_told = told.is_some_and(|told| CrashHistory::clears(told, at));
            CrashHistory::clears(survived, at) && !is_told
        });
        let ends_quarantine = self.active.get(&part).is_some_and(|active| {
            survived > active.since && told.is_none_or(|told| told <= active.since)
        });
        let is_news = clears_crash || ends_quarantine;
        if is_news {
            *self.told_survivals.entry(&part, || survived) = survived;
            self.own_survivals.insert(part, (survived, now + REPEAT_TIME));
        }
        is_news
    }
}
