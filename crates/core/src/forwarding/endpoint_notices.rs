//! What endpoints say in their answers of the requests that they want.

use super::{EndpointNotice, EndpointPhase, EndpointTable, KnownEndpoint, LeavingStatement};
use std::time::{Duration, Instant};

impl EndpointTable {
    /// Sets the time for which an endpoint that leaves still serves.
    pub fn set_drain(&mut self, drain: Duration) {
        self.drain = drain;
    }

    /// Applies what an endpoint said in an answer to this daemon. Returns whether it changes what is
    /// known.
    pub fn on_notice(&mut self, now: Instant, id: &str, notice: EndpointNotice) -> bool {
        let known = self.endpoints.get_mut(id);
        known.is_some_and(|known| known.notices.on_notice(now, notice))
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
