use super::EndpointLoad;
use crate::ids::{EndpointId, VersionId};
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Maximum number of unreported sends tracked per endpoint; beyond it, the oldest counts as
/// reported.
const MAX_PENDING_SENDS: usize = 64;

/// Age after which a report without credits still allows one request, whose response brings a new
/// report.
const STALE_AFTER: Duration = Duration::from_secs(1);
/// Age after which a report that the daemon is draining is ignored, since the daemon may have been
/// replaced.
const LEAVING_EXPIRY: Duration = Duration::from_secs(5);
/// Age after which a send is no longer counted even if no report has followed.
const SEND_EXPIRY: Duration = Duration::from_secs(10);

/// Network distance of an endpoint from this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// What this entry knows about one endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub id: EndpointId,
    pub distance: Distance,
    pub takes_work: bool,
    /// `None` until the first event. Boxed, so that endpoints this entry never uses take little
    /// memory.
    pub report: Option<Box<Report>>,
}

/// The last load report of an endpoint and what happened since.
#[derive(Clone, Debug)]
pub(super) struct Report {
    load: EndpointLoad,
    /// Time up to which `load` reflects sent requests; `None` before the first report.
    as_of: Option<Instant>,
    pending_sends: VecDeque<PendingSend>,
    avoid_until: Option<Instant>,
    not_loaded: Option<(VersionId, Instant)>,
}

#[derive(Clone, Copy, Debug)]
struct PendingSend {
    sent_at: Instant,
    tokens: u32,
}

impl EndpointState {
    pub fn new(id: EndpointId, distance: Distance) -> Self {
        Self { id, distance, takes_work: true, report: None }
    }

    pub fn report_mut(&mut self, default_load: &EndpointLoad) -> &mut Report {
        self.report.get_or_insert_with(|| Box::new(Report::new(default_load.clone())))
    }
}

impl Report {
    fn new(load: EndpointLoad) -> Self {
        Self {
            load,
            as_of: None,
            pending_sends: VecDeque::new(),
            avoid_until: None,
            not_loaded: None,
        }
    }

    /// Stores a report that reflects every request sent up to `as_of`. A report older than the
    /// stored one is ignored.
    pub fn on_load(&mut self, load: EndpointLoad, as_of: Instant) {
        if self.as_of.is_some_and(|known| as_of < known) {
            return;
        }
        self.load = load;
        self.as_of = Some(as_of);
        self.pending_sends.retain(|send| send.sent_at > as_of);
    }

    pub fn on_sent(&mut self, now: Instant, tokens: u32) {
        if self.pending_sends.len() == MAX_PENDING_SENDS {
            self.pending_sends.pop_front();
        }
        self.pending_sends.push_back(PendingSend { sent_at: now, tokens });
    }

    pub fn avoid(&mut self, until: Instant) {
        self.avoid_until = Some(until);
    }

    pub fn on_not_loaded(&mut self, version: VersionId, until: Instant) {
        self.not_loaded = Some((version, until));
    }

    pub fn load(&self) -> &EndpointLoad {
        &self.load
    }

    /// Reported credits, or one if the report is stale and has none, less the requests sent since.
    pub fn credits_left(&self, now: Instant) -> u32 {
        let reported = if self.is_older(now, STALE_AFTER) { 1 } else { 0 }.max(self.load.credits);
        reported.saturating_sub(self.unreported_sends(now).count() as u32)
    }

    /// Whether the endpoint may be sent a request for the weight version, regardless of credits.
    pub fn is_open(&self, now: Instant, version: Option<&str>) -> bool {
        let is_leaving = self.load.leaving && !self.is_older(now, LEAVING_EXPIRY);
        let is_avoided = self.avoid_until.is_some_and(|until| now < until);
        let lacks_version = self
            .not_loaded
            .as_ref()
            .is_some_and(|(lacked, until)| now < *until && version == Some(&**lacked));
        !(is_leaving || is_avoided || lacks_version)
    }

    /// Expected wait: the reported one, less the age of the report, plus the prefill time of the
    /// requests sent since.
    pub fn wait(&self, now: Instant) -> Duration {
        let tokens =
            self.unreported_sends(now).map(|send| send.tokens).fold(0, u32::saturating_add);
        self.load.expected_wait.saturating_sub(self.age(now)) + self.load.prefill_per_token * tokens
    }

    fn unreported_sends(&self, now: Instant) -> impl Iterator<Item = &PendingSend> {
        self.pending_sends
            .iter()
            .filter(move |send| now.saturating_duration_since(send.sent_at) < SEND_EXPIRY)
    }

    fn is_older(&self, now: Instant, limit: Duration) -> bool {
        self.as_of.is_some() && self.age(now) > limit
    }

    fn age(&self, now: Instant) -> Duration {
        self.as_of.map_or(Duration::ZERO, |as_of| now.saturating_duration_since(as_of))
    }
}
