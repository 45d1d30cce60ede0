/// Part of the permitted share that daemons use; the rest is for requests whose sending is counted
/// late.
const SHARE_USED: f64 = 0.8;

/// Requests that this daemon has sent to a service under rollout, and the share of them that may
/// go to a version on trial.
///
/// Each daemon keeps to the share of its own requests, so that the sum over all daemons keeps to it
/// without messages, whatever their number, load, restarts and information.
#[derive(Clone, Debug, Default)]
pub(super) struct Exposure {
    sent: u64,
    exposed: u64,
    /// Start of the count within one exposed request, from 0 to below 1. It is drawn for each boot
    /// and order, so that many daemons with few requests each expose the share in the mean.
    offset: f64,
}

impl Exposure {
    pub(super) fn new(offset: f64) -> Self {
        Self { sent: 0, exposed: 0, offset }
    }

    pub(super) fn on_sent(&mut self, is_target: bool) {
        self.sent += 1;
        self.exposed += u64::from(is_target);
    }

    /// Whether one more request to the target stays within the share.
    pub(super) fn has_room(&self, expose_share: f64) -> bool {
        let permitted = (self.sent + 1) as f64 * expose_share * SHARE_USED + self.offset;
        (self.exposed + 1) as f64 <= permitted
    }

    /// Whether one more request to the target stays within the share and some `extra` requests, and
    /// within half of all requests.
    pub(super) fn has_extra_room(&self, expose_share: f64, extra: f64) -> bool {
        let permitted =
            self.sent as f64 * expose_share * SHARE_USED + (extra + self.offset).floor();
        let exposed = (self.exposed + 1) as f64;
        exposed <= permitted && 2.0 * exposed <= (self.sent + 1) as f64
    }

    /// Number of a count of requests that the share permits.
    pub(super) fn permitted_of(sent: f64, expose_share: f64) -> f64 {
        sent * expose_share * SHARE_USED
    }

    pub(super) fn sent(&self) -> u64 {
        self.sent
    }

    pub(super) fn exposed(&self) -> u64 {
        self.exposed
    }
}
