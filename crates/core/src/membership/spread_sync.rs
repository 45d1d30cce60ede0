use super::{Action, News, PeerInfo, Probe, Spread, WatcherNews};
use crate::{
    ids::{Revision, ZoneId},
    ledger::RawRecord,
};
use rand::RngExt;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Maximum number of requests to other peers after unanswered ones, for each round.
const RETRIES_PER_ROUND: u32 = 3;
/// Factor by which rounds are more frequent while the view is about to become stale.
const URGENT_SPEEDUP: u32 = 8;
/// Minimum interval between pulls triggered by revisions in incoming calls.
const OBSERVED_PAUSE: Duration = Duration::from_millis(50);

impl Spread {
    /// Pulls from the sender of an incoming call that carried a newer revision.
    pub(super) fn on_observed(
        &mut self,
        now: Instant,
        revision: Revision,
        address: SocketAddr,
    ) -> Vec<Action> {
        if revision <= self.settings.revision() || now < self.next_observed {
            return Vec::new();
        }
        self.next_observed = now + OBSERVED_PAUSE;
        vec![self.sync_with(address)]
    }

    /// Returns the requests of the next anti-entropy round if it is due.
    pub(super) fn due_syncs(&mut self, now: Instant) -> Vec<Action> {
        if now < self.next_sync {
            return Vec::new();
        }
        let period =
            if self.is_urgent(now) { self.cfg.sync / URGENT_SPEEDUP } else { self.cfg.sync };
        self.next_sync = now + self.jittered(period);
        self.retries_left = RETRIES_PER_ROUND;
        let me = self.me.daemon.clone();
        let zone = self.me.zone.clone();
        let near = match self.is_watcher() {
            // The zone's other watcher has the same state; a watcher of another zone may have more.
            true => None,
            false => self
                .draw_watcher(now)
                .or_else(|| self.picks.draw(&mut self.rng, |p| p.zone == zone && p.daemon != me)),
        };
        let goes_out = self.rng.random_bool(0.5) || (self.is_watcher() && self.is_urgent(now));
        let other = self
            .picks
            .draw(&mut self.rng, |p| (p.zone != zone) == goes_out && p.daemon != me)
            .or_else(|| self.picks.draw(&mut self.rng, |p| p.daemon != me));
        let mut targets = near.into_iter().chain(other).collect::<Vec<_>>();
        if targets.is_empty() || !self.settings.is_known() {
            targets.extend(self.draw_bootstrap());
        }
        targets.dedup();
        targets.into_iter().map(|address| self.sync_with(address)).collect()
    }

    /// Returns whether the view is about to become stale, for example at the start of an outage.
    fn is_urgent(&self, now: Instant) -> bool {
        let is_agreed = self.freshness.confirmed().is_none_or(|at| at + self.cfg.freshness < now);
        let sees_outage = self.freshness.down(now, &self.cfg).next().is_some();
        let share = match (sees_outage, is_agreed) {
            // Reports from every zone must arrive before the last confirmed read becomes too old.
            (true, false) => 0.7,
            // Existing reports or the last confirmed read only have to be renewed.
            (true, true) | (false, _) => 0.5,
        };
        let margin = self.cfg.freshness.mul_f64(share);
        // A daemon that has been partitioned for longer returns to the normal interval.
        let window = (now - self.cfg.freshness)..(now + margin);
        self.settings.is_known()
            && self.current_until().is_some_and(|until| window.contains(&until))
    }

    fn draw_watcher(&mut self, now: Instant) -> Option<SocketAddr> {
        let fresh = self.slots.fresh(now, self.cfg.slot_silence);
        let addresses = fresh
            .filter_map(|(_, daemon, _)| self.members.get(daemon))
            .map(|peer| peer.address)
            .filter(|address| self.picks.is_usable(*address))
            .collect::<Vec<_>>();
        let count = addresses.len();
        (count > 0).then(|| addresses[self.rng.random_range(0..count)])
    }

    fn draw_bootstrap(&mut self) -> Option<SocketAddr> {
        let own = self.me.address;
        let usable = self.cfg.bootstrap.iter().copied().filter(|address| *address != own);
        let usable = usable.collect::<Vec<_>>();
        let count = usable.len();
        (count > 0).then(|| usable[self.rng.random_range(0..count)])
    }

    pub(super) fn sync_with(&mut self, to: SocketAddr) -> Action {
        let probe = Probe {
            members: self.members.version(),
            hosts: self.hosts.digest(),
            page_after: self.settings.wanted_page(),
        };
        Action::Sync { to, revision: self.settings.revision(), probe }
    }

    /// Returns the local revision and the response to a peer's request, and the actions to perform.
    ///
    /// If the peer has a newer revision, the action is a pull from that peer.
    pub fn on_sync(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        revision: Revision,
        probe: &Probe,
    ) -> (Revision, News, Vec<Action>) {
        let held = self.settings.revision();
        let records = self.settings.records_after(revision);
        let page =
            probe.page_after.as_ref().map(|after| self.settings.page_after(after.as_deref()));
        let news = News {
            confirmed_ms: self.freshness.confirmed().map(|at| millis_since(now, at)),
            down_ms: with_ages(now, self.freshness.down(now, &self.cfg)),
            lapsed_ms: with_ages(now, self.possible_zones()),
            watchers: self.watcher_news(now, &from.zone),
            is_too_far: records.is_none(),
            records: records
                .unwrap_or_default()
                .into_iter()
                .map(|record| (record.revision, record.value.to_vec()))
                .collect(),
            page,
            members: self.members.news_for(probe.members),
            hosts: self.hosts.news_for(probe.hosts),
        };
        let is_behind = revision > held;
        let actions = is_behind.then(|| self.sync_with(from.address)).into_iter().collect();
        (held, news, actions)
    }

    fn watcher_news(&mut self, now: Instant, zone: &ZoneId) -> Vec<WatcherNews> {
        if *zone != self.me.zone {
            return Vec::new();
        }
        if let Some((slot, _)) = self.slots.own() {
            let me = self.me.daemon.clone();
            self.slots.on_holder(slot, &me, now);
        }
        self.slots.news(now, self.cfg.slot_silence)
    }

    pub(super) fn on_sync_replied(
        &mut self,
        now: Instant,
        to: SocketAddr,
        sent: Instant,
        reply: Option<(Revision, Box<News>)>,
    ) -> Vec<Action> {
        let Some((revision, news)) = reply else { return self.on_silent_peer(now, to) };
        self.picks.on_answer(to);
        self.freshness.on_peer(sent, revision);
        let before = (self.settings.revision(), self.settings.wanted_page());
        self.take_settings(revision, &news);
        // The age was measured after the request was sent, so subtracting it from the send time
        // never gives a time later than the actual one.
        let at = |age_ms: u32| sent.checked_sub(Duration::from_millis(age_ms.into()));
        let held = self.settings.revision();
        self.freshness.on_held(held);
        if let Some(confirmed) = news.confirmed_ms.and_then(at) {
            self.freshness.on_confirmed(confirmed, revision, held);
        }
        for (zone, age_ms) in &news.down_ms {
            at(*age_ms).into_iter().for_each(|at| self.freshness.on_down(zone, at));
        }
        for (zone, age_ms) in &news.lapsed_ms {
            at(*age_ms).into_iter().for_each(|at| self.lapsed_zones.on_news(zone, at));
        }
        for watcher in &news.watchers {
            let heard = at(watcher.age_ms);
            heard.into_iter().for_each(|at| {
                self.slots.on_holder(watcher.slot.into(), &watcher.daemon, at);
            });
        }
        self.hosts.on_news(news.hosts.unwrap_or_default());
        let is_changed = self.members.on_news(news.members);
        let mut actions = self.after_members(now, is_changed);
        let after = (self.settings.revision(), self.settings.wanted_page());
        let goes_on = before != after && (after.0 < revision || after.1.is_some());
        actions.extend(goes_on.then(|| self.sync_with(to)));
        actions
    }

    fn take_settings(&mut self, revision: Revision, news: &News) {
        let records = news.records.iter().map(|(revision, value)| RawRecord {
            revision: *revision,
            value: value.as_slice().into(),
        });
        self.settings.on_records(records.collect());
        if let Some(page) = &news.page {
            self.settings.on_page(page.clone(), revision);
        }
        if news.is_too_far {
            self.settings.start_pages(revision);
        }
        if news.confirmed_ms.is_some() && self.settings.revision() >= revision {
            self.settings.on_known();
        }
    }

    fn on_silent_peer(&mut self, now: Instant, to: SocketAddr) -> Vec<Action> {
        self.picks.on_silent(to, now + self.cfg.suspicion);
        if self.retries_left == 0 {
            return Vec::new();
        }
        self.retries_left -= 1;
        let me = self.me.daemon.clone();
        let other = self.picks.draw(&mut self.rng, |peer| peer.daemon != me);
        other.map(|address| self.sync_with(address)).into_iter().collect()
    }
}

/// Converts the time of each zone's event to its age in milliseconds.
fn with_ages<'a>(
    now: Instant,
    zones: impl Iterator<Item = (&'a ZoneId, Instant)>,
) -> Vec<(ZoneId, u32)> {
    zones.map(|(zone, at)| (zone.clone(), millis_since(now, at))).collect()
}

fn millis_since(now: Instant, at: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
}
