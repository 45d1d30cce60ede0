//! What endpoints say in their answers of the requests that they want.

use super::{EndpointNotice, EndpointPhase, EndpointTable, KnownEndpoint, LeavingStatement};
use crate::ids::EndpointId;
use std::time::{Duration, Instant};

impl EndpointTable {
    /// Sets the time for which an endpoint that leaves still serves.
    pub fn set_drain(&mut self, drain: Duration) {
        self.drain = drain;
    }

    /// Applies what an endpoint said in an answer to this daemon. Returns what of it is news.
    pub fn on_notice(&mut self, now: Instant, id: &str, notice: EndpointNotice) -> EndpointNotice {
        let Some(known) = self.endpoints.get_mut(id) else { return EndpointNotice::default() };
        let turn = notice.pause.map_or(0.0, |_| {
            self.ranks.own_rank(known.name_hash) as f64 / self.ranks.daemons() as f64
        });
        known.notices.on_notice(now, notice, turn)
    }

    /// Takes one of the few calls other than requests that may be made to an endpoint while it wants
    /// nothing; false if none may be made now.
    pub fn take_control_call(&mut self, now: Instant, id: &str) -> bool {
        let known = self.endpoints.get_mut(id);
        known.is_none_or(|known| known.notices.take_control_call(now))
    }

    /// Time until some endpoint of a service wants requests again; `None` unless all that accept
    /// requests, other than the `excluded` ones, asked for a pause.
    pub fn pause_left(
        &self,
        now: Instant,
        service: &str,
        excluded: &[EndpointId],
    ) -> Option<Duration> {
        let open = self.open_endpoints(now, service).into_iter();
        let untried = open.filter(|known| !excluded.contains(&known.entry.id));
        untried.map(|known| known.notices.pause_wait(now)).min().filter(|left| !left.is_zero())
    }

    /// Time for which an endpoint still wants no requests of this daemon; `None` if it asked for no
    /// pause.
    pub fn pause_of(&self, now: Instant, id: &str) -> Option<Duration> {
        let pause = self.endpoints.get(id)?.notices.pause()?;
        Some(pause.until().saturating_duration_since(now))
    }

    /// Number of endpoints that want no requests of this daemon now.
    pub fn paused(&self, now: Instant) -> usize {
        self.endpoints.values().filter(|known| known.is_pausing(now)).count()
    }

    /// Applies what another daemon, whose report was made `age` ago, heard of an endpoint that
    /// leaves. Returns whether that is news.
    pub fn on_peer_leaving(
        &mut self,
        now: Instant,
        age: Duration,
        statement: &LeavingStatement,
    ) -> bool {
        let known = self.endpoints.get_mut(&statement.endpoint);
        let known = known.filter(|known| known.entry.started_unix_ms == statement.boot);
        let since = now.checked_sub(age + statement.age).unwrap_or(now);
        known.is_some_and(|known| known.notices.on_peer_leaving(since))
    }

    /// Endpoints that lately said to this daemon that they leave.
    pub fn leaving_statements(&self, now: Instant) -> Vec<LeavingStatement> {
        let statement = |known: &KnownEndpoint| {
            Some(LeavingStatement {
                endpoint: known.entry.id.clone(),
                boot: known.entry.started_unix_ms,
                age: known.notices.untold_leaving_age(now)?,
            })
        };
        self.endpoints.values().filter_map(statement).collect()
    }

    /// Whether an endpoint leaves, as its entry or its answers say.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|known| !known.is_ready())
    }

    /// Number of endpoints that leave as their answers say, though their entries do not.
    pub fn unlisted_leaving(&self) -> usize {
        let is_unlisted =
            |known: &&KnownEndpoint| known.entry.phase == EndpointPhase::Ready && !known.is_ready();
        self.endpoints.values().filter(is_unlisted).count()
    }
}
