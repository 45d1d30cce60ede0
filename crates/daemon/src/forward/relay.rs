use super::{
    answer::Body,
    attempt::{self, Opened},
    call::Call,
    dispatch::Sendings,
    forwarder::Forward,
    placement::Placed,
    request_log::RequestEnd,
};
use crate::entry::http::StreamCut;
use bytes::Bytes;
use cassiagw_core::forwarding::{EventSplitter, Fault, RetryDecision, RouteKind};
use futures::{TryStreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// Idle timeout after which a resumable stream is resumed elsewhere, as a multiple of the maximum
/// pause of the route.
const SILENCE_PAUSES: u32 = 3;
/// Idle timeout for routes without a maximum pause.
const DEFAULT_SILENCE: Duration = Duration::from_secs(1);

/// State of a stream that is being forwarded to the caller.
struct Relay {
    fw: Arc<Forward>,
    call: Arc<Call>,
    sendings: Sendings,
    opened: Option<Opened>,
    splitter: EventSplitter,
    last_id: Option<String>,
    is_over: bool,
}

/// Forwards a stream as it arrives. A resumable stream that is interrupted continues on another
/// endpoint, after the last complete event.
pub fn relay(fw: Arc<Forward>, call: Arc<Call>, sendings: Sendings, opened: Opened) -> Body {
    let relay = Relay {
        fw,
        call,
        sendings,
        opened: Some(opened),
        splitter: EventSplitter::default(),
        last_id: None,
        is_over: false,
    };
    let chunks = stream::try_unfold(relay, |mut relay| async move {
        let chunk = relay.next_chunk().await?;
        Ok(chunk.map(|chunk| (chunk, relay)))
    });
    StreamBody::new(chunks.map_ok(Frame::data)).boxed_unsync()
}

impl Relay {
    /// Next bytes for the caller, `None` at the end of the stream.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, StreamCut> {
        loop {
            if self.is_over {
                return Ok(None);
            }
            match self.read().await {
                Ok(Some(data)) => {
                    if let Some(chunk) = self.take(data) {
                        self.note_passed_on();
                        return Ok(Some(chunk));
                    }
                }
                Ok(None) => return Ok(self.finish()),
                Err(fault) => self.go_on_elsewhere(fault).await?,
            }
        }
    }

    fn is_resumable(&self) -> bool {
        self.call.route.kind == RouteKind::ResumableStream
    }

    async fn read(&mut self) -> Result<Option<Bytes>, Fault> {
        let silence = self.silence().min(self.call.time_left());
        let Some(opened) = &mut self.opened else { return Err(Fault::Cut) };
        match timeout(silence, next_data(&mut opened.body)).await {
            Ok(read) => read,
            Err(_) => Err(Fault::Silent),
        }
    }

    /// Idle timeout of the stream; unlimited if it cannot be resumed.
    fn silence(&self) -> Duration {
        match self.is_resumable() {
            true => self.call.route.max_pause.map_or(DEFAULT_SILENCE, |p| p * SILENCE_PAUSES),
            false => Duration::MAX,
        }
    }

    /// Returns the bytes to forward. For a resumable stream an incomplete event is held back, since
    /// the stream may continue on another endpoint.
    fn take(&mut self, data: Bytes) -> Option<Bytes> {
        if !self.is_resumable() {
            return Some(data);
        }
        let events = self.splitter.push(&data)?;
        if events.last_id.is_some() {
            self.last_id = events.last_id;
        }
        Some(events.bytes)
    }

    fn finish(&mut self) -> Option<Bytes> {
        self.is_over = true;
        if let Some(opened) = self.opened.take() {
            self.log("answered", "whole", opened.attempt.endpoint.as_ref());
            opened.attempt.finish();
        }
        let kind = self.call.route.kind;
        self.fw.metrics.record_whole(kind, self.call.arrival.elapsed());
        let rest = self.splitter.finish();
        (!rest.is_empty()).then_some(rest)
    }

    fn note_passed_on(&mut self) {
        if self.call.record.answered_bytes() {
            let kind = self.call.route.kind;
            self.fw.metrics.record_first_byte(kind, self.call.arrival.elapsed());
        }
    }

    /// Resumes the stream on another endpoint, after the last event that the caller has.
    async fn go_on_elsewhere(&mut self, fault: Fault) -> Result<(), StreamCut> {
        let mut fault = fault;
        let Some(opened) = self.opened.take() else { return Err(StreamCut) };
        let mut endpoint = opened.attempt.endpoint.clone();
        opened.attempt.note(fault);
        // Closes the connection, which makes the first endpoint cancel the request.
        drop(opened);
        self.splitter = EventSplitter::default();
        loop {
            let next = self.sendings.on_fault(&self.fw, &self.call, endpoint.clone(), fault);
            if next != RetryDecision::RetryElsewhere || self.call.time_left().is_zero() {
                return Err(self.cut(&endpoint, fault));
            }
            let Placed::At(placement) = self.sendings.place(&self.fw, &self.call).await else {
                return Err(self.cut(&endpoint, fault));
            };
            endpoint = placement.picked.entry.id.clone();
            let waits = self.sendings.waits(&self.call);
            let after = self.last_id.as_deref();
            match attempt::open(&self.fw, &self.call, placement, after, waits).await {
                Ok(opened) if opened.status.is_success() => {
                    self.opened = Some(opened);
                    return Ok(());
                }
                Ok(opened) => {
                    fault = Fault::Failed;
                    opened.attempt.note(fault);
                }
                Err(other) => fault = other,
            }
        }
    }

    fn cut(&self, endpoint: &str, fault: Fault) -> StreamCut {
        self.log("cut", fault.name(), endpoint);
        StreamCut
    }

    fn log(&self, outcome: &'static str, cause: &str, endpoint: &str) {
        let end = RequestEnd {
            outcome,
            status: 200,
            cause,
            endpoint: Some(endpoint),
            faults: self.sendings.faults(),
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
