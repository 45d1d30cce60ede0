//! Limits on the requests to an endpoint that all daemons share: while it is cold, and as it names
//! them.

use super::{DaemonRanks, EndpointTable, KnownEndpoint, LimitStatement, Service, SharedRate};
use std::time::{Duration, Instant};

/// Span over which the requests to a cold endpoint are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

impl EndpointTable {
    /// Sets the requests that a cold endpoint may get in any one second: `ratio` times its rate and
    /// `slack` more.
    pub fn set_cold_bound(&mut self, ratio: f64, slack: f64) {
        self.cold_ratio = ratio;
        self.cold_slack = slack;
    }

    /// Sets the daemons that share the rate limits of cold endpoints.
    pub fn set_daemons(&mut self, ranks: DaemonRanks) {
        self.ranks = ranks;
        let ranked = self.endpoints.values_mut().filter(|known| known.needs_rank());
        ranked.for_each(|known| known.rank = self.ranks.own_rank(known.name_hash));
    }

    /// Rank of this daemon, from 0, among those that could do what only one is to do for a subject,
    /// such as an endpoint, by the hash of its name.
    pub fn own_rank(&self, subject: u64) -> usize {
        self.ranks.own_rank(subject)
    }

    /// Records the limit that an endpoint advertises in an answer to this daemon, in requests a second;
    /// `None` if it advertises none. Returns whether that has changed.
    pub fn on_limit(&mut self, now: Instant, id: &str, per_s: Option<f64>) -> bool {
        let Some(known) = self.endpoints.get_mut(id) else { return false };
        let is_changed = known.on_limit(now, now, per_s, true);
        if is_changed {
            self.update_rank(id);
        }
        is_changed
    }

    /// Applies what another daemon, whose report was made `age` ago, heard of the limit of an
    /// endpoint. Returns whether that has changed.
    pub fn on_peer_limit(
        &mut self,
        now: Instant,
        age: Duration,
        statement: &LimitStatement,
    ) -> bool {
        let Some(known) = self.endpoints.get_mut(&statement.endpoint) else { return false };
        if known.entry.started_unix_ms != statement.boot {
            return false;
        }
        let said_at = now.checked_sub(age + statement.age).unwrap_or(now);
        let is_changed = known.on_limit(now, said_at, statement.per_s, false);
        if is_changed {
            self.update_rank(&statement.endpoint);
        }
        is_changed
    }

    /// What endpoints lately said to this daemon of their limits.
    pub fn limit_statements(&self, now: Instant) -> Vec<LimitStatement> {
        let statement = |known: &KnownEndpoint| {
            let limit = known.advertised_limit.as_ref()?;
            Some(LimitStatement {
                endpoint: known.entry.id.clone(),
                boot: known.entry.started_unix_ms,
                per_s: limit.per_s(),
                age: limit.untold_age(now)?,
            })
        };
        self.endpoints.values().filter_map(statement).collect()
    }

    /// Limit that an endpoint advertises, in requests a second.
    pub fn limit_per_s(&self, id: &str) -> Option<f64> {
        self.endpoints.get(id).and_then(KnownEndpoint::limit_per_s)
    }

    /// Number of endpoints that advertise a limit.
    pub fn limited(&self) -> usize {
        self.endpoints.values().filter(|known| known.limit_per_s().is_some()).count()
    }

    /// Whether an endpoint is to be asked, with a request that is sent now, whether it has become cold:
    /// its service limits the requests to cold endpoints, and it is not known to be cold.
    pub fn take_cold_check(&mut self, now: Instant, service: &Service, id: &str) -> bool {
        let can_tell = service.cold_per_s > 0.0 && service.health_path.is_some();
        let known = self.endpoints.get_mut(id).filter(|known| can_tell && !known.is_cold(now));
        known.is_some_and(|known| known.cold_check.take(now))
    }

    /// Rate at which this daemon may send to an endpoint while it is cold, in requests per second;
    /// `None` if the service has no such limit.
    pub(super) fn cold_share(&self, service: &Service, known: &KnownEndpoint) -> Option<f64> {
        let per_s = service.cold_per_s;
        let max_in_window = per_s * self.cold_ratio + self.cold_slack;
        let limit = SharedRate { per_s, window: COLD_WINDOW, max_in_window };
        (per_s > 0.0).then(|| limit.share(self.ranks.daemons(), known.rank))
    }

    /// Rate at which this daemon may send to an endpoint that advertises a limit, in requests per second;
    /// `None` if it advertises none.
    pub(super) fn limit_share(&self, known: &KnownEndpoint) -> Option<f64> {
        known.advertised_limit.as_ref()?.share(self.ranks.daemons(), known.rank)
    }

    /// Updates the rank of this daemon for an endpoint that has just become cold or limited.
    pub(super) fn update_rank(&mut self, id: &str) {
        if let Some(known) = self.endpoints.get_mut(id).filter(|known| known.needs_rank()) {
            known.rank = self.ranks.own_rank(known.name_hash);
        }
    }
}
