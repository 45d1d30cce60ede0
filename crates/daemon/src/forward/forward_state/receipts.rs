//! Answers to reports, by which daemons prove to each other how far they have read the store.

use super::{ForwardState, boot_time};
use cassiagw_core::{
    forwarding::{BootTime, StorePosition, Witness, needs_relays},
    ids::DaemonId,
};
use cassiagw_rpc::{WorkReceipt, ZoneReceipt};

impl ForwardState {
    /// Answer to a report that arrives now.
    pub fn work_receipt(&self) -> WorkReceipt {
        let is_large = needs_relays(self.members.len());
        let zone = is_large.then(|| self.zone_receipt()).flatten();
        WorkReceipt { position: self.view.as_of(), zone }
    }

    /// Records a daemon's answer to a report that was sent at `called_at`.
    pub fn on_work_receipt(&mut self, called_at: BootTime, from: &DaemonId, receipt: &WorkReceipt) {
        self.freshness.on_witness(called_at, Witness::Daemon(from.clone()), receipt.position);
        let (Some(zone), Some(member)) = (&receipt.zone, self.members.get(from)) else { return };
        let known = self.members.values().filter(|other| other.zone == member.zone).count();
        // A daemon that the answer does not vouch for may know more.
        if zone.daemons >= known {
            let at = called_at.saturating_sub(zone.age);
            self.freshness.on_witness(at, Witness::Zone(member.zone.clone()), zone.position);
        }
    }

    /// Records that a daemon did not answer: what it reported may be of a process that has ended.
    pub fn on_unanswered_report(&mut self, daemon: &DaemonId) {
        self.peer_positions.forget(daemon);
    }

    /// Records a position in the store that another daemon has reached.
    pub fn on_known_position(&mut self, position: StorePosition) {
        self.freshness.on_position(position);
    }

    fn zone_receipt(&self) -> Option<ZoneReceipt> {
        let witnesses = self.zone_members().map(|(name, _)| Witness::Daemon(name.clone()));
        Some(ZoneReceipt {
            daemons: self.zone_members().count() + 1,
            position: self.freshness.newest().max(self.view.as_of()),
            age: self.freshness.oldest_age(boot_time(), witnesses)?,
        })
    }
}
