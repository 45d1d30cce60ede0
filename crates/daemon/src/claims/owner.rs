use cassiagw_rpc::PeerInfo;

/// Finds the entry that owns a shard by rendezvous hashing: the one with the highest hash of shard
/// and daemon ID. `None` if there is no entry.
pub(super) fn owner_of(shard: u32, peers: &[PeerInfo]) -> Option<&PeerInfo> {
    peers.iter().filter(|peer| peer.is_entry).max_by_key(|peer| rank(shard, &peer.daemon))
}

fn rank(shard: u32, daemon: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&shard.to_le_bytes());
    hasher.update(daemon.as_bytes());
    *hasher.finalize().as_bytes()
}
