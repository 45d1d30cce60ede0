use super::{attempt::Attempt, notices::apply_notice};
use cassiagw_core::forwarding::{AnswerEnd, EndVerdict, Fault, Framing};
use hyper::{
    HeaderMap,
    body::{Body as _, Incoming},
    header::TRANSFER_ENCODING,
};
use std::time::{Duration, Instant};

/// Time in which an endpoint must tell who it is.
const IDENTITY_TIMEOUT: Duration = Duration::from_secs(1);

impl Attempt {
    /// Checks that a body which ended without an error is whole.
    ///
    /// # Errors
    /// It broke off, or nothing tells that it did not.
    pub async fn check_end(&self, end: &AnswerEnd) -> Result<(), Fault> {
        match end.verdict() {
            EndVerdict::Whole => Ok(()),
            EndVerdict::WholeIfAlive if self.is_alive().await => Ok(()),
            EndVerdict::Cut | EndVerdict::WholeIfAlive => Err(Fault::Cut),
        }
    }

    /// Whether the boot of the endpoint that the request was sent to still answers.
    async fn is_alive(&self) -> bool {
        let (service, entry) = (&self.call.service, &self.placement.picked.entry);
        let limit = self.call.time_left().min(IDENTITY_TIMEOUT);
        if !self.fw.state().endpoints.take_control_call(Instant::now(), &entry.id) {
            return false;
        }
        let said = self.fw.identities.identify(service, entry, limit).await;
        let said_by_boot = said.as_ref().ok().filter(|said| said.is_boot_of(entry));
        if let Some(said) = said_by_boot {
            apply_notice(&self.fw, entry, said.notice, "identity");
        }
        let is_alive = said_by_boot.is_some();
        self.fw.metrics.count_end_check(is_alive);
        if !is_alive {
            log::info!(
                event = "answer_end_unproved", id = &*self.call.head.id, endpoint:% = entry.id,
                said:? = said; ""
            );
        }
        is_alive
    }
}

/// How the HTTP library finds the end of a body.
pub fn framing(headers: &HeaderMap, body: &Incoming) -> Framing {
    let encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let last = encodings.filter_map(|list| list.to_str().ok()).next_back();
    let last = last.and_then(|list| list.rsplit(',').next());
    match last {
        _ if body.size_hint().exact().is_some() => Framing::Length,
        Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Framing::Chunked,
        _ => Framing::Close,
    }
}
