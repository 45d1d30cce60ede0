use super::StreamBuffer;
use cassiagw_core::ids::{AttemptId, FastMap};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Thread-safe table of the streams held, by attempt.
#[derive(Debug, Default)]
pub struct StreamTable {
    streams: Mutex<FastMap<AttemptId, Arc<StreamBuffer>>>,
}

impl StreamTable {
    /// Returns the stream of an attempt, creating it if there is none.
    pub fn open(&self, attempt: AttemptId) -> Arc<StreamBuffer> {
        self.lock().entry(attempt).or_default().clone()
    }

    /// Returns the stream of an attempt; `None` if it was never opened or has been removed.
    pub fn get(&self, attempt: AttemptId) -> Option<Arc<StreamBuffer>> {
        self.lock().get(&attempt).cloned()
    }

    /// Cancels running streams not read for longer than `unread`, and removes ended ones not read
    /// for longer than `ended`.
    pub fn sweep(&self, unread: Duration, ended: Duration) {
        self.lock().retain(|_, stream| {
            let idle = stream.idle_time();
            let has_ended = stream.end().is_some();
            if !has_ended && idle > unread {
                stream.cancel();
            }
            !has_ended || idle <= ended
        });
    }

    /// Returns whether every stream has ended, with its end read or its attempt canceled.
    pub fn is_idle(&self) -> bool {
        self.lock().values().all(|stream| stream.is_done())
    }

    /// Returns the number of streams held, ended ones included.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether no stream is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<AttemptId, Arc<StreamBuffer>>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
