use super::{ForwardState, MemberValue};
use cassiagw_core::{
    forwarding::{HeldKeyView, WatchPace, register_slot, watch_pace},
    ids::DaemonId,
};
use cassiagw_platform::member_key;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

impl ForwardState {
    /// Name under which this daemon registers; it differs from the configured one if a newer process
    /// has that.
    pub fn name(&self) -> &DaemonId {
        &self.name
    }

    /// What the view shows for this daemon's member key.
    pub fn member_view(&self) -> HeldKeyView {
        let key = self.view.get(&member_key(&self.name)).map(|item| {
            // A value that cannot be decoded counts as written by an unknown, older process.
            let member: Option<MemberValue> = serde_json::from_slice(&item.value).ok();
            (member.map(|member| member.writer).unwrap_or_default(), item.written_at)
        });
        HeldKeyView { as_of: self.view.as_of(), key }
    }

    /// Records whether the store shows this daemon's member key.
    pub fn set_registered(&mut self, is_registered: bool) {
        if self.is_registered != is_registered {
            self.is_registered = is_registered;
            self.update_daemons();
        }
    }

    /// Whether the store showed this daemon's member key when it was last looked at.
    pub fn is_registered(&self) -> bool {
        self.is_registered
    }

    /// Leaves the name to a newer process and takes another one. The newer process is a member like
    /// any other from now on.
    pub fn leave_name(&mut self, now: Instant) {
        let alias = self.own.alias(&self.name).into();
        let former = std::mem::replace(&mut self.name, alias);
        self.set_registered(false);
        self.apply_member(now, &member_key(&former), former);
    }

    /// Delay before this daemon registers: all daemons do so if `is_whole_fleet`, else those whose
    /// keys are missing.
    pub fn register_pause(&self, is_whole_fleet: bool) -> Duration {
        let is_missing =
            |name: &&DaemonId| is_whole_fleet || self.view.get(&member_key(name)).is_none();
        let writing = self.sharing.iter().filter(is_missing).count() + 1;
        register_slot(&self.name, self.sharing.iter().map(|name| &**name), writing)
    }

    /// Number of member daemons, including this one.
    pub fn daemon_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Number of daemons, including this one, that share the limits on retries and on requests to
    /// cold and limited endpoints.
    pub fn sharing_count(&self) -> usize {
        self.sharing.len() + self.unseen_seeds().count() + 1
    }

    /// Daemons of the settings file that count for limits though they are not known as members: while
    /// the store does not show this daemon's own key, it may lack theirs in the same way.
    pub(super) fn unseen_seeds(&self) -> impl Iterator<Item = &SocketAddr> {
        let is_member =
            |seed: &SocketAddr| self.members.values().any(|member| member.peer == *seed);
        let seeds = if self.is_registered { &[][..] } else { &self.seeds };
        seeds.iter().filter(move |seed| !is_member(seed))
    }

    /// Address of another daemon; `None` if it is not a member.
    pub fn peer_address(&self, daemon: &DaemonId) -> Option<SocketAddr> {
        self.members.get(daemon).map(|member| member.peer)
    }

    /// How promptly this daemon watches the store.
    pub fn watch_pace(&self) -> WatchPace {
        watch_pace(self.daemon_count(), &self.zone_ranks)
    }

    /// The other daemons in the own availability zone.
    pub fn zone_members(&self) -> impl Iterator<Item = (&DaemonId, &MemberValue)> {
        self.members.iter().filter(|(_, member)| member.zone == self.zone)
    }

    /// Forgets former members that no longer count for limits.
    ///
    /// While the store does not show this daemon's own key, it may lack the keys of others that run
    /// in the same way, so former members count on.
    pub fn expire_former_members(&mut self, now: Instant) {
        if !self.is_registered {
            self.sharing.hold(now);
        }
        if self.sharing.expire(now) {
            self.update_daemons();
        }
        self.forget_rollout_peers(now);
    }
}
