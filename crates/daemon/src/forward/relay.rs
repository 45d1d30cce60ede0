use super::{
    answer::Body, attempt, call::Call, dispatch::Attempts, forwarder::Forwarder,
    placement::PlaceResult, request_log::RequestEnd, upstream_response::UpstreamResponse,
};
use crate::{caller_memory::UnreadPart, entry::http::IncompleteBody};
use bytes::Bytes;
use cassiagw_core::forwarding::{
    AnswerEnd, EventSplitter, EventTooLong, Fault, RetryDecision, RouteKind,
};
use futures::{TryStreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// Idle timeout after which a resumable stream is resumed elsewhere, as a multiple of the maximum
/// pause of the route.
const IDLE_TIMEOUT_FACTOR: u32 = 3;
/// Idle timeout for routes without a maximum pause.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// State of a stream that is being forwarded to the caller.
struct Relay {
    fw: Arc<Forwarder>,
    call: Arc<Call>,
    attempts: Attempts,
    upstream: Option<UpstreamResponse>,
    splitter: EventSplitter,
    last_id: Option<String>,
    /// Whether the next events are the first of another endpoint.
    is_resuming: bool,
    /// End of the part that the latest endpoint sends.
    end: AnswerEnd,
    is_finished: bool,
    /// Latest part, until the caller's connection asks for the next one.
    unread: Option<UnreadPart>,
}

/// Forwards a stream as it arrives. A resumable stream that is interrupted continues on another
/// endpoint, after the last complete event.
pub fn relay(
    fw: Arc<Forwarder>,
    call: Arc<Call>,
    attempts: Attempts,
    upstream: UpstreamResponse,
) -> Body {
    let relay = Relay {
        fw,
        call,
        attempts,
        end: upstream.answer_end(),
        upstream: Some(upstream),
        splitter: EventSplitter::default(),
        last_id: None,
        is_resuming: false,
        is_finished: false,
        unread: None,
    };
    let chunks = stream::try_unfold(relay, |mut relay| async move {
        relay.unread = None;
        let chunk = relay.next_chunk().await?;
        relay.unread = chunk.as_ref().map(|_| relay.new_unread());
        Ok(chunk.map(|chunk| (chunk, relay)))
    });
    StreamBody::new(chunks.map_ok(Frame::data)).boxed_unsync()
}

impl Relay {
    /// Next bytes for the caller, `None` at the end of the stream.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, IncompleteBody> {
        loop {
            if self.is_finished {
                return Ok(None);
            }
            match self.read().await {
                Ok(Some(data)) => match self.complete_events(data) {
                    Ok(Some(chunk)) => {
                        self.record_chunk();
                        return Ok(Some(chunk));
                    }
                    Ok(None) => {}
                    Err(fault) => self.resume_elsewhere(fault).await?,
                },
                Ok(None) => match self.check_end().await {
                    Ok(()) => {
                        self.finish();
                        return Ok(None);
                    }
                    Err(fault) => self.resume_elsewhere(fault).await?,
                },
                Err(fault) => self.resume_elsewhere(fault).await?,
            }
        }
    }

    fn new_unread(&self) -> UnreadPart {
        let call = &self.call;
        UnreadPart::new(&self.fw.caller_memory, &call.connection, call.workspace_id())
    }

    fn is_resumable(&self) -> bool {
        self.call.route.kind == RouteKind::ResumableStream
    }

    async fn read(&mut self) -> Result<Option<Bytes>, Fault> {
        let time_left = self.call.time_left();
        if time_left.is_zero() {
            // A timeout alone never ends a stream whose next bytes are always there.
            return Err(Fault::Silent);
        }
        let idle_timeout = self.idle_timeout().min(time_left);
        let Some(upstream) = &mut self.upstream else { return Err(Fault::Cut) };
        let read = timeout(idle_timeout, next_data(&mut upstream.body)).await;
        upstream.attempt.record_progress();
        if let Ok(Ok(Some(_))) = &read {
            upstream.attempt.record_data();
        }
        read.unwrap_or(Err(Fault::Silent))
    }

    /// Idle timeout of the stream; unlimited if it cannot be resumed.
    fn idle_timeout(&self) -> Duration {
        match self.is_resumable() {
            true => {
                self.call.route.max_pause.map_or(DEFAULT_IDLE_TIMEOUT, |p| p * IDLE_TIMEOUT_FACTOR)
            }
            false => Duration::MAX,
        }
    }

    /// Checks that the stream which the endpoint has ended is whole.
    async fn check_end(&self) -> Result<(), Fault> {
        let Some(upstream) = &self.upstream else { return Ok(()) };
        upstream.attempt.check_end(&self.end).await
    }

    /// Returns the bytes to forward. For a resumable stream an incomplete event is held back, since
    /// the stream may continue on another endpoint.
    ///
    /// # Errors
    /// [`Fault::Garbled`]: an event is too long, or the events of a resumed stream do not continue
    /// it.
    fn complete_events(&mut self, data: Bytes) -> Result<Option<Bytes>, Fault> {
        self.end.push(&data);
        if !self.is_resumable() {
            return Ok(Some(data));
        }
        let events = self.splitter.push(&data).map_err(|EventTooLong| Fault::Garbled)?;
        let Some(events) = events else { return Ok(None) };
        let last_id = self.last_id.as_deref().filter(|_| self.is_resuming);
        if last_id.is_some_and(|last_id| !events.continue_after(last_id)) {
            return Err(Fault::Garbled);
        }
        self.is_resuming = false;
        self.keep_version();
        if events.last_id.is_some() {
            self.last_id = events.last_id;
        }
        Ok(Some(events.bytes))
    }

    /// Binds the rest of the stream to the version of the endpoint, once the caller gets events of it.
    fn keep_version(&self) {
        if let Some(upstream) = &self.upstream {
            let version = &upstream.attempt.placement.picked.entry.version;
            // Set already after the first events, or if the stream was resumed.
            let _ = self.call.stream_version.set(version.clone());
        }
    }

    fn finish(&mut self) {
        self.is_finished = true;
        if let Some(upstream) = self.upstream.take() {
            self.log("answered", "whole", upstream.attempt.endpoint.as_ref());
            upstream.attempt.finish();
        }
        let kind = self.call.route.kind;
        self.fw.metrics.record_duration(kind, self.call.arrival.elapsed());
    }

    /// Records that bytes went to the caller, and for the first of them the time since arrival.
    fn record_chunk(&mut self) {
        if self.call.record.on_response_bytes() {
            let kind = self.call.route.kind;
            self.fw.metrics.record_first_byte(kind, self.call.arrival.elapsed());
        }
    }

    /// Resumes the stream on another endpoint, after the last event that the caller has.
    async fn resume_elsewhere(&mut self, fault: Fault) -> Result<(), IncompleteBody> {
        let mut fault = fault;
        let Some(mut upstream) = self.upstream.take() else { return Err(IncompleteBody) };
        let mut endpoint = upstream.attempt.endpoint.clone();
        upstream.attempt.end_with_fault(fault).await;
        // Closes the connection, which makes the first endpoint cancel the request.
        drop(upstream);
        self.splitter = EventSplitter::default();
        loop {
            let next = self.attempts.on_fault(&self.fw, &self.call, endpoint.clone(), fault);
            if next != RetryDecision::RetryElsewhere || self.call.time_left().is_zero() {
                return Err(self.abort(&endpoint, fault));
            }
            let PlaceResult::Placed(placement) = self.attempts.place(&self.fw, &self.call).await
            else {
                return Err(self.abort(&endpoint, fault));
            };
            endpoint = placement.picked.entry.id.clone();
            let timeouts = self.attempts.timeouts(&self.call);
            let last_event_id = self.last_id.as_deref();
            match attempt::start(&self.fw, &self.call, placement, last_event_id, timeouts).await {
                Ok(upstream) if upstream.is_event_stream() => {
                    self.is_resuming = true;
                    self.end = upstream.answer_end();
                    self.upstream = Some(upstream);
                    return Ok(());
                }
                Ok(mut upstream) => {
                    fault = Fault::Failed;
                    upstream.attempt.record_fault(fault);
                }
                Err(other) => fault = other,
            }
        }
    }

    fn abort(&self, endpoint: &str, fault: Fault) -> IncompleteBody {
        self.log("cut", fault.name(), endpoint);
        IncompleteBody
    }

    fn log(&self, outcome: &'static str, cause: &str, endpoint: &str) {
        let end = RequestEnd {
            outcome,
            status: 200,
            cause,
            endpoint: Some(endpoint),
            framing: Some(self.end.framing()),
            faults: self.attempts.faults(),
        };
        self.call.record.end(&self.call, &end);
    }
}

async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, Fault> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(_)) => return Err(Fault::Cut),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}
