use super::StreamBuffer;
use cassiagw_core::ids::{AttemptId, FastMap};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Streams by attempt.
#[derive(Debug, Default)]
pub struct StreamTable {
    streams: Mutex<FastMap<AttemptId, Arc<StreamBuffer>>>,
}

impl StreamTable {
    /// Starts the stream of an attempt.
    pub fn open(&self, attempt: AttemptId) -> Arc<StreamBuffer> {
        self.lock().entry(attempt).or_default().clone()
    }

    /// Finds the stream of an attempt.
    pub fn get(&self, attempt: AttemptId) -> Option<Arc<StreamBuffer>> {
        self.lock().get(&attempt).cloned()
    }

    /// Cancels streams that nobody reads and forgets ended ones, both after their idle times.
    pub fn sweep(&self, unread: Duration, ended: Duration) {
        self.lock().retain(|_, stream| {
            let idle = stream.idle();
            let has_ended = stream.end().is_some();
            if !has_ended && idle > unread {
                stream.cancel();
            }
            !has_ended || idle <= ended
        });
    }

    /// Whether every stream has ended and its end was read or is no longer of use.
    pub fn is_idle(&self) -> bool {
        self.lock().values().all(|stream| stream.is_settled())
    }

    /// Streams held, ended ones included.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no stream is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<AttemptId, Arc<StreamBuffer>>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
