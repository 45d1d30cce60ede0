//! Which runs ended with a crash of their endpoint.

use super::{
    call::Call, connection_pool::PeerClose, forwarder::Forwarder, quarantine::update_quarantine,
};
use cassiagw_core::{
    forwarding::{CrashedRun, EndpointEntry},
    ids::stable_hash,
};
use hyper::Method;
use std::{
    future::pending,
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, sleep_until, timeout_at};

/// Time from a crash to the decision whether its request is sent again, in which the other daemons
/// tell what they saw crash under the same request.
const TELLING_TIME: Duration = Duration::from_millis(25);

/// A run that has not survived, and what its log lines say of it.
#[derive(Clone, Debug)]
pub struct OpenRun {
    run: CrashedRun,
    entry: EndpointEntry,
    /// ID of the request.
    id: String,
    method: Method,
    path: String,
    /// Model of the prompt; `none` without one.
    model: String,
    /// Identifiers of all parts of the prompt, in order.
    parts: Vec<String>,
    /// Names of the suspects, in the order of [`CrashedRun::suspects`].
    suspect_names: Vec<String>,
}

impl OpenRun {
    /// Creates the record of a call's run at an endpoint. `has_begun` tells whether its answer has.
    pub fn new(call: &Call, entry: &EndpointEntry, has_begun: bool) -> Self {
        let prompt = call.head.prompt.as_ref();
        let parts = prompt.iter().flat_map(|prompt| &prompt.parts);
        Self {
            run: CrashedRun {
                endpoint: entry.id.clone(),
                boot: entry.started_unix_ms.unwrap_or_default(),
                request: stable_hash(call.head.id.as_bytes()),
                workspace: call.workspace().into(),
                has_begun,
                parts: call.suspect_parts.clone(),
                whole: call.whole(),
            },
            entry: entry.clone(),
            id: call.head.id.clone(),
            method: call.method.clone(),
            path: call.uri.path().to_owned(),
            model: prompt.map_or("none", |prompt| &*prompt.model).to_owned(),
            parts: parts.map(|part| part.id.clone()).collect(),
            suspect_names: call.suspect_names().collect(),
        }
    }

    /// Checks whether the endpoint has crashed, whose connection was lost before the run survived, and
    /// if so records the run.
    ///
    /// An endpoint has crashed if it refuses connections though its entry says that it is ready. One
    /// that does not answer may be cut off, and one that accepts closed that connection only.
    pub async fn check_for_crash(self, fw: &Arc<Forwarder>) {
        if !self.is_expected_up(fw) {
            return self.log_no_crash("not expected up");
        }
        let at = Instant::now();
        if fw.pool.is_refused(self.entry.address).await {
            self.record_crash(fw, at);
            return sleep(TELLING_TIME).await;
        }
        let fw = fw.clone();
        tokio::spawn(async move { self.check_again(&fw, at).await });
    }

    /// Waits until a run with a short answer has survived, and records that it has or that its endpoint
    /// crashed. The endpoint must live for all of `span` or answer others after it; `close` tells when it
    /// closes the connection of the answer, unless the answer ends with that.
    pub async fn await_survival(
        self,
        fw: Arc<Forwarder>,
        span: Range<Instant>,
        close: Option<PeerClose>,
    ) {
        let answer = fw.state().short_answers.on_answer(&self.run.endpoint);
        let closed = async {
            match close {
                Some(close) => close.wait().await,
                None => pending().await,
            }
        };
        let is_closed = timeout_at(span.end.into(), closed).await.is_ok();
        let at = Instant::now();
        if !fw.state().short_answers.is_suspected(&self.run.endpoint, answer) {
            return self.record_survival(&fw);
        }
        if is_closed && self.is_up_and_refuses(&fw).await {
            return self.record_crash(&fw, at);
        }
        sleep_until(span.end.into()).await;
        match self.has_crashed_since(&fw, span.start) {
            true => self.record_crash(&fw, at),
            false => self.record_survival(&fw),
        }
    }

    async fn is_up_and_refuses(&self, fw: &Forwarder) -> bool {
        let address = self.entry.address;
        self.is_expected_up(fw)
            && (fw.pool.is_refused(address).await || fw.pool.is_refused_soon(address).await)
    }

    /// Whether other runs at the endpoint have told that it crashed.
    fn has_crashed_since(&self, fw: &Forwarder, since: Instant) -> bool {
        let quarantine = &fw.state().quarantine;
        quarantine.has_crash_since(&self.run.endpoint, self.run.boot, since)
    }

    /// Records that the run survived.
    pub fn record_survival(&self, fw: &Forwarder) {
        let now = Instant::now();
        let is_news = {
            let quarantine = &mut fw.state().quarantine;
            let is_news = quarantine.on_survived(now, &self.run.parts);
            quarantine.on_answered(now, self.run.whole) || is_news
        };
        if is_news {
            log::info!(
                event = "crashes_cleared", id = &*self.id, endpoint:% = self.entry.id,
                suspects = self.suspect_names.join(","); ""
            );
            fw.report_due.notify_one();
        }
    }

    async fn check_again(self, fw: &Forwarder, at: Instant) {
        if !fw.pool.is_refused_soon(self.entry.address).await {
            return self.log_no_crash("connections not refused");
        }
        match self.is_expected_up(fw) {
            true => self.record_crash(fw, at),
            false => self.log_no_crash("no longer expected up"),
        }
    }

    fn is_expected_up(&self, fw: &Forwarder) -> bool {
        fw.state().endpoints.is_expected_up(&self.entry)
    }

    fn log_no_crash(&self, cause: &str) {
        log::info!(
            event = "endpoint_not_crashed", endpoint:% = self.entry.id, id = &*self.id, cause; ""
        );
    }

    fn record_crash(self, fw: &Forwarder, at: Instant) {
        let has_begun = self.run.has_begun;
        log::warn!(
            event = "endpoint_crashed", endpoint:% = self.entry.id, id = &*self.id, has_begun,
            workspace = &*self.run.workspace, request = format!("{:016x}", self.run.whole),
            method:% = self.method, path = &*self.path, model = &*self.model, parts:% = self.parts.join(","); ""
        );
        fw.metrics.count_crashed_run(has_begun);
        let names = self.suspect_names.iter().map(String::as_str);
        fw.state().quarantine.on_crash(at, self.run, names);
        update_quarantine(fw);
        fw.report_due.notify_one();
    }
}
