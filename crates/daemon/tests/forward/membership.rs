//! Daemons stay registered, and know of each other, whatever becomes of their writes.

use super::support::Cluster;
use cassiagw_platform_standins::LostWrite::{self, Dropped, MadeAfter};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Prefix of the member keys.
const MEMBERS: &str = "cassiagw/daemons/";
/// Key of the order lease.
const ORDERS: &str = "cassiagw/orders";
/// Duration of the member lease.
const LEASE: Duration = Duration::from_secs(6);
/// Time in which a daemon registers again.
const BOUND: Duration = Duration::from_secs(3);

impl Cluster {
    /// Whether all daemons are registered and know all others.
    async fn all_are_members(&self) -> bool {
        let count = self.daemons.len();
        let mut do_all_know = self.store.members() == count;
        for number in 0..count {
            let members = self.dump(number).await["members"].as_array().map_or(0, Vec::len);
            do_all_know &= members + 1 == count;
        }
        do_all_know
    }

    async fn with_lost_writes(prefix: &str, fates: &[LostWrite], daemons: usize) -> Self {
        let mut cluster = Self::start_without_daemons(1, 1).await;
        cluster.store.lose_writes(prefix, fates);
        for _ in 0..daemons {
            cluster.add_daemon(&[]).await;
        }
        cluster
    }
}

/// Guards against daemons that run, renew their lease and are not registered any more: each takes
/// itself for the only one and uses the whole of every shared limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemons_whose_first_writes_are_late_stay_registered() {
    struct Case {
        name: &'static str,
        fates: Vec<LostWrite>,
        late: Duration,
    }
    let cases = [
        Case {
            name: "response lost",
            fates: vec![MadeAfter(Duration::ZERO)],
            late: Duration::ZERO,
        },
        Case {
            name: "late write",
            fates: vec![MadeAfter(Duration::from_secs(3))],
            late: Duration::from_secs(3),
        },
        Case {
            name: "two late writes",
            fates: vec![MadeAfter(Duration::from_secs(5)), MadeAfter(Duration::from_secs(2))],
            late: Duration::from_secs(5),
        },
    ];
    for Case { name, fates, late } in cases {
        let cluster = Cluster::with_lost_writes(MEMBERS, &fates, 3).await;
        // The lease of the late write ends, if nobody renews it.
        sleep(late + LEASE + BOUND).await;
        assert!(cluster.all_are_members().await, "{name}: {:?}", cluster.store.keys(MEMBERS));
        sleep(BOUND).await;
        assert!(cluster.all_are_members().await, "{name}: {:?}", cluster.store.keys(MEMBERS));
    }
}

/// Guards against a daemon that does not look whether its key still exists.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_member_key_that_vanishes_is_written_again() {
    let mut cluster = Cluster::start(1, 1).await;
    cluster.add_daemon(&[]).await;
    cluster.wait_until("both are members", async |c| c.all_are_members().await).await;
    for key in cluster.store.keys(MEMBERS) {
        cluster.store.remove(&key);
    }
    let removed_at = Instant::now();
    cluster.wait_until("both are members again", async |c| c.all_are_members().await).await;
    assert!(removed_at.elapsed() < LEASE, "{:?}", removed_at.elapsed());
}

/// Guards against a daemon that takes itself for the only one because its key and those of the others
/// have not been written.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_daemon_that_is_not_registered_counts_the_daemons_of_its_settings_file() {
    let mut cluster = Cluster::start_without_daemons(1, 1).await;
    cluster.store.lose_writes(MEMBERS, &[Dropped, Dropped]);
    cluster.add_daemon(&[]).await;
    let seeds = [cluster.daemons[0].peer, "127.0.0.1:9".parse().expect("an address")];
    cluster.add_daemon(&seeds).await;
    let dump = cluster.dump(1).await;
    assert_eq!(dump["is_registered"], false);
    assert_eq!(dump["sharing_daemons"], 3);
    cluster.wait_until("both are members", async |c| c.all_are_members().await).await;
    let is_registered = async |c: &Cluster| c.dump(1).await["is_registered"] == true;
    cluster.wait_until("the daemon sees its key", is_registered).await;
    assert_eq!(cluster.dump(1).await["sharing_daemons"], 2, "only members count from now on");
}

/// Guards against two processes of one name that overwrite each other's key, or count as one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_daemons_of_one_name_are_both_registered() {
    let mut cluster = Cluster::start_without_daemons(1, 1).await;
    cluster.name = Some("edge");
    cluster.add_daemon(&[]).await;
    cluster.wait_until("it is a member", async |c| c.store.members() == 1).await;
    // Boots are told apart by their start in milliseconds.
    sleep(Duration::from_millis(20)).await;
    cluster.add_daemon(&[]).await;
    cluster.wait_until("both are members", async |c| c.all_are_members().await).await;
    let own_key = format!("{MEMBERS}edge");
    assert!(cluster.store.keys(MEMBERS).contains(&own_key), "{:?}", cluster.store.keys(MEMBERS));
    for _ in 0..20 {
        assert!(cluster.all_are_members().await, "{:?}", cluster.store.keys(MEMBERS));
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a holder that takes an earlier write of its own for the current one: the key ends
/// with the earlier lease, and another daemon may give orders beside it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_key_of_the_order_lease_exists_while_orders_are_given() {
    let late = MadeAfter(Duration::from_millis(1_500));
    let cluster = Cluster::with_lost_writes(ORDERS, &[late, Dropped], 1).await;
    for version in 2..6 {
        cluster.store.set_newest_weights(version);
        let has_weights = async |c: &Cluster| c.models[0].version() == version;
        cluster.wait_until("the engine has the weights", has_weights).await;
        let keys = cluster.store.keys(ORDERS);
        assert_eq!(keys, [ORDERS], "version {version}: the lease is not held");
        sleep(Duration::from_millis(700)).await;
    }
}
