/// Ring points (virtual nodes) per member; more of them spread the keys of a removed member over
/// more of the others.
const POINTS_PER_MEMBER: u32 = 64;
/// Bits of a ring point that hold the slot; the bits above hold the ring position.
const POINT_BITS: u32 = 32;

/// Consistent hash ring over the endpoints of one model.
///
/// A lookup maps a prompt root to a stable order of endpoints in logarithmic time. Adding or
/// removing a member remaps only the keys of that member.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    /// Sorted points: ring position in the upper half, slot of the member in the lower half.
    points: Vec<u64>,
}

impl HashRing {
    /// Builds a ring of members, each given as the hash of its name and the slot to return.
    pub fn new(members: impl Iterator<Item = (u64, u32)>) -> Self {
        let mut points: Vec<u64> = members
            .flat_map(|(name_hash, slot)| {
                (0..POINTS_PER_MEMBER).map(move |i| point(name_hash, i, slot))
            })
            .collect();
        points.sort_unstable();
        Self { points }
    }

    /// Returns up to `count` distinct members for a key, in ring order from the key's position.
    pub fn order(&self, key: u64, count: usize) -> Vec<u32> {
        let position = mix(key) >> POINT_BITS << POINT_BITS;
        let start = self.points.partition_point(|point| *point < position);
        let (before, after) = self.points.split_at(start);
        let mut order = Vec::with_capacity(count);
        for slot in after.iter().chain(before).map(|point| *point as u32) {
            if order.len() == count {
                break;
            }
            if !order.contains(&slot) {
                order.push(slot);
            }
        }
        order
    }

    /// Heap memory in use, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.points.capacity() * size_of::<u64>()
    }
}

fn point(name_hash: u64, index: u32, slot: u32) -> u64 {
    let position = mix(name_hash ^ mix(u64::from(index)));
    (position >> POINT_BITS << POINT_BITS) | u64::from(slot)
}

/// The splitmix64 output function. Unlike a map's hasher, it gives the same result in every
/// process, so all entries build the same ring.
pub(super) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
