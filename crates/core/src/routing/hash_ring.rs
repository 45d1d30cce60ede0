/// Points of one member; more points spread a lost member's share over more others.
const POINTS_PER_MEMBER: u32 = 64;
const POINT_BITS: u32 = 32;

/// Consistent hash ring over the endpoints of one model.
///
/// It gives each prompt root a stable order of endpoints in logarithmic time. Adding or removing
/// a member moves only that member's share of the roots.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    /// Upper half: position; lower half: slot of the member.
    points: Vec<u64>,
}

impl HashRing {
    /// Builds a ring of members given as a hash of the name and the slot to return.
    pub fn new(members: impl Iterator<Item = (u64, u32)>) -> Self {
        let mut points: Vec<u64> = members
            .flat_map(|(name_hash, slot)| {
                (0..POINTS_PER_MEMBER).map(move |i| point(name_hash, i, slot))
            })
            .collect();
        points.sort_unstable();
        Self { points }
    }

    /// Lists distinct members for a key, preferred first, at most `count`.
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

    /// Bytes held on the heap.
    pub fn heap_bytes(&self) -> usize {
        self.points.capacity() * size_of::<u64>()
    }
}

fn point(name_hash: u64, index: u32, slot: u32) -> u64 {
    let position = mix(name_hash ^ mix(u64::from(index)));
    (position >> POINT_BITS << POINT_BITS) | u64::from(slot)
}

/// Finaliser of splitmix64: the same in every process, unlike a map's hasher.
pub(super) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
