use super::{ForwardState, MemberValue};
use cassiagw_core::{
    forwarding::{HeldKeyView, register_slot},
    ids::DaemonId,
};
use cassiagw_platform::member_key;
use std::time::{Duration, Instant};

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
        self.is_registered = is_registered;
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
        self.is_registered = false;
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
    }
}
