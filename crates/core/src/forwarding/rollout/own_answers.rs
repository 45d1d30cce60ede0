use super::{
    AnswerOutcome, RouteStatement,
    answer_counts::time_class,
    rollout_statement::{HostStatement, MAX_ROUTES},
};
use std::sync::Arc;

/// Answers that this daemon got since it learnt of the order.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnAnswers {
    routes: Vec<RouteStatement>,
    hosts: Vec<HostStatement>,
}

impl OwnAnswers {
    pub(super) fn routes(&self) -> &[RouteStatement] {
        &self.routes
    }

    pub(super) fn hosts(&self) -> &[HostStatement] {
        &self.hosts
    }

    /// Counts an answer on a route. Returns it as growth, unless it tells nothing.
    pub(super) fn count(
        &mut self,
        route: &Arc<str>,
        is_target: bool,
        outcome: AnswerOutcome,
    ) -> Option<RouteStatement> {
        let mut growth = RouteStatement::default();
        let side = if is_target { &mut growth.new } else { &mut growth.old };
        match outcome {
            AnswerOutcome::Good { first_byte } => side.add_good(first_byte),
            AnswerOutcome::Bad { .. } => side.add_bad(),
            AnswerOutcome::Cut => side.add_cut(),
            AnswerOutcome::Ignored => return None,
        }
        let known = self.route(route);
        known.old.add(&growth.old);
        known.new.add(&growth.new);
        growth.route = known.route.clone();
        Some(growth)
    }

    /// Counts an answer of the target on a host. Returns it as growth, unless it tells nothing or
    /// there are too many hosts.
    pub(super) fn count_host(
        &mut self,
        host: &Arc<str>,
        outcome: AnswerOutcome,
        is_slow: impl Fn(usize) -> bool,
    ) -> Option<HostStatement> {
        let mut growth = HostStatement { host: host.clone(), ..HostStatement::default() };
        match outcome {
            AnswerOutcome::Good { first_byte } => {
                growth.good = 1;
                growth.slow = u64::from(is_slow(time_class(first_byte)));
            }
            AnswerOutcome::Cut => growth.cut = 1,
            AnswerOutcome::Bad { .. } | AnswerOutcome::Ignored => return None,
        }
        growth.add_to(&mut self.hosts).then_some(growth)
    }

    fn route(&mut self, route: &Arc<str>) -> &mut RouteStatement {
        let found = self.routes.iter().position(|known| known.route == *route);
        let index = found.unwrap_or_else(|| {
            let is_full = self.routes.len() >= MAX_ROUTES;
            let name: Arc<str> = if is_full { "".into() } else { route.clone() };
            self.routes.iter().position(|known| known.route == name).unwrap_or_else(|| {
                self.routes.push(RouteStatement { route: name, ..RouteStatement::default() });
                self.routes.len() - 1
            })
        });
        &mut self.routes[index]
    }
}
