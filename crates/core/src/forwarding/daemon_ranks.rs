use crate::ids::stable_hash;

/// Order of the daemons for each endpoint by rendezvous hashing, the same at every daemon that
/// knows the same members.
#[derive(Clone, Debug, Default)]
pub struct DaemonRanks {
    own: u64,
    others: Vec<u64>,
}

impl DaemonRanks {
    /// Creates the order for the daemon `own` and the other members.
    pub fn new<'a>(own: &str, others: impl IntoIterator<Item = &'a str>) -> Self {
        let hash = |name: &str| stable_hash(name.as_bytes());
        Self { own: hash(own), others: others.into_iter().map(hash).collect() }
    }

    /// Number of daemons, including the own one.
    pub fn daemons(&self) -> usize {
        self.others.len() + 1
    }

    /// Rank of the own daemon for an endpoint, from 0, by the hash of the endpoint's name.
    pub fn own_rank(&self, endpoint: u64) -> usize {
        let score = |daemon: u64| stable_hash(&(daemon ^ endpoint).to_le_bytes());
        let own = score(self.own);
        self.others.iter().filter(|other| score(**other) < own).count()
    }
}
