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
    let news = {
        let mut state = fw.state();
        let known = state.endpoints.entry(&entry.id);
        let is_current = known.is_some_and(|known| known.is_same_boot(entry));
        match is_current {
            true => state.endpoints.on_notice(Instant::now(), &entry.id, notice),
            false => EndpointNotice::default(),
        }
    };
    log_news(&entry.id, news, answer);
    if news.is_leaving {
        fw.report_due.notify_one();
    }
}

fn log_news(endpoint: &EndpointId, news: EndpointNotice, answer: &str) {
    if news.is_leaving {
        log::info!(event = "endpoint_leaving", endpoint:% = endpoint, answer; "");
    }
    if let Some(pause) = news.pause {
        let pause_ms = pause.as_millis() as u64;
        log::info!(event = "endpoint_pause", endpoint:% = endpoint, pause_ms, answer; "");
    }
}
