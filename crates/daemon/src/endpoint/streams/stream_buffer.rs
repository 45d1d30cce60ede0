use cassiagw_rpc::End;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};

/// Tokens of one attempt, all of them, so that a reader may come back at any offset.
#[derive(Debug, Default)]
pub struct StreamBuffer {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    tokens: Vec<String>,
    first_token: Option<Instant>,
    end: Option<End>,
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

/// Tokens from an offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Tokens past the offset.
    pub tokens: Vec<String>,
    /// End of the stream, with its last tokens.
    pub end: Option<End>,
}

impl StreamBuffer {
    /// Appends one token.
    pub fn push(&self, token: String) {
        let mut state = self.lock();
        state.first_token.get_or_insert_with(Instant::now);
        state.tokens.push(token);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Ends the stream; only the first end counts.
    pub fn finish(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.changed.notify_waiters();
    }

    /// Marks the attempt as no longer wanted and wakes its runner.
    pub fn cancel(&self) {
        self.lock().is_canceled = true;
        self.changed.notify_waiters();
    }

    /// Whether the attempt is no longer wanted.
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

    /// Waits until the first token or the end has come; true for a token.
    pub async fn first_token_came(&self) -> bool {
        loop {
            let changed = self.changed.notified();
            let has_token = !self.is_empty();
            if has_token || self.end().is_some() {
                return has_token;
            }
            changed.await;
        }
    }

    /// Waits up to `wait` for tokens past `offset` or the end.
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

    /// The end, if the stream has one.
    pub fn end(&self) -> Option<End> {
        self.lock().end.clone()
    }

    /// Waits until the first token has come or the stream has ended.
    pub async fn started(&self) {
        loop {
            let changed = self.changed.notified();
            if self.first_token().is_some() || self.end().is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Time of the first token.
    pub fn first_token(&self) -> Option<Instant> {
        self.lock().first_token
    }

    /// Tokens received so far.
    pub fn len(&self) -> usize {
        self.lock().tokens.len()
    }

    /// Whether no token has come yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the stream has ended and its end was read, or nobody wants it.
    pub fn is_settled(&self) -> bool {
        let state = self.lock();
        state.end.is_some() && (state.end_was_read || state.is_canceled)
    }

    /// Time since somebody last asked for tokens.
    pub fn idle(&self) -> Duration {
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
