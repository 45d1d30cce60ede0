use super::CallerMemory;
use crate::{entry::http::IncompleteBody, http_server::CallerConnection};
use bytes::Bytes;
use cassiagw_core::{
    forwarding::{AnswerId, MemoryBudget},
    ids::WorkspaceId,
};
use hyper::body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

/// Size of the parts in which an answer is passed to its connection, in bytes.
const PART_BYTES: usize = 64 * 1024;

/// Buffers of a stream whose caller does not read: the read buffer of the endpoint's connection, a
/// part waiting there, and the part passed to the caller's connection, each up to 64 KiB.
const STREAM_BYTES: usize = 192 * 1024;

/// Complete answer whose memory is counted until its caller has read it or its connection ends.
#[derive(Debug)]
pub struct HeldAnswer {
    memory: Arc<CallerMemory>,
    id: AnswerId,
    rest: Bytes,
}

impl HeldAnswer {
    /// Holds an answer, unless it is so small that it is not counted; then returns its content.
    ///
    /// # Errors
    /// The content of a small answer.
    pub fn new(
        memory: &Arc<CallerMemory>,
        connection: &Arc<CallerConnection>,
        workspace: WorkspaceId,
        content: Bytes,
    ) -> Result<Self, Bytes> {
        if MemoryBudget::is_small(content.len()) {
            return Err(content);
        }
        let id = memory.hold_answer(connection.clone(), workspace, content.len());
        Ok(Self { memory: memory.clone(), id, rest: content })
    }
}

/// Part of a stream that was passed to its connection and not taken by its caller yet. The buffers
/// between caller and endpoint fill up meanwhile, and are counted.
#[derive(Debug)]
pub struct UnreadPart {
    memory: Arc<CallerMemory>,
    id: AnswerId,
}

impl UnreadPart {
    /// Counts the buffers of a stream until this is dropped.
    pub fn new(
        memory: &Arc<CallerMemory>,
        connection: &Arc<CallerConnection>,
        workspace: WorkspaceId,
    ) -> Self {
        let id = memory.hold_answer(connection.clone(), workspace, STREAM_BYTES);
        Self { memory: memory.clone(), id }
    }
}

impl Drop for UnreadPart {
    fn drop(&mut self) {
        self.memory.release_answer(self.id);
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        self.memory.release_answer(self.id);
    }
}

impl Body for HeldAnswer {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let bytes = self.rest.len().min(PART_BYTES);
        let part = self.rest.split_to(bytes);
        self.memory.on_answer_read(self.id, bytes);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
