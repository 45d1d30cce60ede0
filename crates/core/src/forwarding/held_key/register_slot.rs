use crate::forwarding::DaemonRanks;
use std::time::Duration;

/// Hash that ranks the daemons for registration.
const REGISTER_RANK_KEY: u64 = 0x72;
/// Time for each daemon that registers: two writes at the store's 400 a second.
const TIME_PER_DAEMON: Duration = Duration::from_millis(5);

/// Delay before this daemon registers when it and `others` do so at once. The daemons take turns, so
/// that together they stay within the store's rate limit of writes.
///
/// `writing` is the number of daemons that are known to register; the turns are shorter if it is only
/// some of them.
pub fn register_slot<'a>(
    own: &'a str,
    others: impl IntoIterator<Item = &'a str>,
    writing: usize,
) -> Duration {
    let ranks = DaemonRanks::new(own, others);
    let daemons = ranks.daemons();
    let share = ranks.own_rank(REGISTER_RANK_KEY) as f64 / daemons as f64;
    let writing = u32::try_from(writing.min(daemons)).unwrap_or(u32::MAX);
    TIME_PER_DAEMON.saturating_mul(writing).mul_f64(share)
}
