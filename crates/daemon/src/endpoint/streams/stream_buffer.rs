use cassiagw_rpc::StreamEnd;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};

/// All tokens of one attempt, kept so that a reader can resume at any offset.
#[derive(Debug, Default)]
pub struct StreamBuffer {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    tokens: Vec<String>,
    first_token: Option<Instant>,
    end: Option<StreamEnd>,
    last_read: Instant,
    is_canceled: bool,
    end_was_read: bool,
}

impl Default for State {
    fn default() -> Self {
        Self {
            tokens: Vec::new(),
            first_token: None,
            end: None,
            last_read: Instant::now(),
            is_canceled: false,
            end_was_read: false,
        }
    }
}

/// Tokens of a stream from an offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Tokens from the requested offset on; may be empty.
    pub tokens: Vec<String>,
    /// How the stream ended; `None` while more tokens may follow.
    pub end: Option<StreamEnd>,
}

impl StreamBuffer {
    /// Appends one token and wakes the readers.
    pub fn push(&self, token: String) {
        let mut state = self.lock();
        state.first_token.get_or_insert_with(Instant::now);
        state.tokens.push(token);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Ends the stream; later calls have no effect.
    pub fn finish(&self, end: StreamEnd) {
        self.lock().end.get_or_insert(end);
        self.changed.notify_waiters();
    }

    /// Cancels the attempt and wakes the task that runs it.
    pub fn cancel(&self) {
        self.lock().is_canceled = true;
        self.changed.notify_waiters();
    }

    /// Returns whether [`StreamBuffer::cancel`] was called.
    pub fn is_canceled(&self) -> bool {
        self.lock().is_canceled
    }

    /// Waits until the attempt is canceled.
    pub async fn canceled(&self) {
        loop {
            let changed = self.changed.notified();
            if self.lock().is_canceled {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the first token arrives or the stream ends; returns whether there is a token.
    pub async fn first_token_received(&self) -> bool {
        loop {
            let changed = self.changed.notified();
            let has_token = !self.is_empty();
            if has_token || self.end().is_some() {
                return has_token;
            }
            changed.await;
        }
    }

    /// Waits up to `wait` for tokens from `offset` on or the end; an empty chunk on timeout.
    pub async fn read(&self, offset: usize, wait: Duration) -> Chunk {
        let ready = async {
            loop {
                let changed = self.changed.notified();
                if let Some(chunk) = self.available(offset) {
                    return chunk;
                }
                changed.await;
            }
        };
        timeout(wait, ready).await.unwrap_or(Chunk { tokens: Vec::new(), end: None })
    }

    /// Returns how the stream ended; `None` while it has not.
    pub fn end(&self) -> Option<StreamEnd> {
        self.lock().end.clone()
    }

    /// Waits until the first token has arrived or the stream has ended.
    pub async fn started(&self) {
        loop {
            let changed = self.changed.notified();
            if self.first_token().is_some() || self.end().is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Returns the time at which the first token arrived; `None` if there is none yet.
    pub fn first_token(&self) -> Option<Instant> {
        self.lock().first_token
    }

    /// Returns the number of tokens received so far.
    pub fn len(&self) -> usize {
        self.lock().tokens.len()
    }

    /// Returns whether no token has arrived yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether the stream has ended, with its end read or its attempt canceled.
    pub fn is_done(&self) -> bool {
        let state = self.lock();
        state.end.is_some() && (state.end_was_read || state.is_canceled)
    }

    /// Returns the time since the last read.
    pub fn idle_time(&self) -> Duration {
        self.lock().last_read.elapsed()
    }

    fn available(&self, offset: usize) -> Option<Chunk> {
        let mut state = self.lock();
        state.last_read = Instant::now();
        let tokens = state.tokens.get(offset..).unwrap_or_default().to_vec();
        if tokens.is_empty() && state.end.is_none() {
            return None;
        }
        state.end_was_read |= state.end.is_some();
        Some(Chunk { tokens, end: state.end.clone() })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
