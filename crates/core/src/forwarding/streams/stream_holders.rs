use super::StreamKey;
use crate::ids::{DaemonId, stable_hash};
use std::cmp::Reverse;

/// Number of daemons that are told which version began a stream, so that one of them may fail.
const HOLDERS: usize = 2;

/// Selects the daemons that hold the origin of a stream by rendezvous hashing: the same at every
/// daemon that knows the same ones.
pub fn stream_holders<'a>(
    daemons: impl IntoIterator<Item = &'a DaemonId>,
    key: StreamKey,
) -> Vec<&'a DaemonId> {
    let score =
        |daemon: &DaemonId| stable_hash(&(stable_hash(daemon.as_bytes()) ^ key).to_le_bytes());
    let mut daemons: Vec<&DaemonId> = daemons.into_iter().collect();
    daemons.sort_by_cached_key(|daemon| Reverse(score(daemon)));
    daemons.truncate(HOLDERS);
    daemons
}
