use super::forwarder::Forwarder;
use cassiagw_core::{
    forwarding::{EndpointEntry, EndpointNotice},
    ids::EndpointId,
};
use std::time::Instant;

/// Applies what the boot of an endpoint's entry said in an answer of any kind of the requests that
/// it wants, and tells the other daemons if it leaves. `answer` names the answer for the log.
pub fn apply_notice(fw: &Forwarder, entry: &EndpointEntry, notice: EndpointNotice, answer: &str) {
    fw.metrics.count_notice(notice);
    if notice.is_empty() {
        return;
    }
    let is_news = {
        let mut state = fw.state();
        let known = state.endpoints.entry(&entry.id);
        let is_current = known.is_some_and(|known| known.is_same_boot(entry));
        is_current && state.endpoints.on_notice(Instant::now(), &entry.id, notice)
    };
    if is_news {
        log_notice(&entry.id, notice, answer);
        fw.report_due.notify_one();
    }
}

fn log_notice(endpoint: &EndpointId, notice: EndpointNotice, answer: &str) {
    if notice.is_leaving {
        log::info!(event = "endpoint_leaving", endpoint:% = endpoint, answer; "");
    }
}
