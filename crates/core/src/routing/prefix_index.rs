use crate::ids::{BootId, FastMap, PieceKey, PromptRoot};

/// Endpoints recorded per prompt root.
const HOLDERS_PER_PROMPT: usize = 3;

/// Index of the endpoints that recently computed the prompts under each prompt root.
///
/// The number of roots is bounded; CLOCK replacement evicts one when the index is full.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    by_root: FastMap<PromptRoot, u32>,
    prompts: Vec<Prompt>,
    capacity: usize,
    clock_hand: usize,
}

#[derive(Clone, Debug)]
struct Prompt {
    root: PromptRoot,
    holders: [Option<Holder>; HOLDERS_PER_PROMPT],
    is_referenced: bool,
}

/// An endpoint that computed leading pieces of a prompt.
///
/// Stores only half of the last piece's key and the lower half of the boot number, to save memory.
#[derive(Clone, Copy, Debug)]
struct Holder {
    key_suffix: u64,
    slot: u32,
    boot: u32,
    pieces: u32,
}

/// Leading pieces of the prompt looked up that an endpoint has computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CachedPrefix {
    pub slot: u32,
    pub boot: u32,
    pub pieces: u32,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` prompt roots; 0 counts as 1.
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        Self { by_root: FastMap::default(), prompts: Vec::new(), capacity, clock_hand: 0 }
    }

    /// Number of prompt roots in the index.
    pub fn len(&self) -> usize {
        self.prompts.len()
    }

    /// Whether the index has no prompt root.
    pub fn is_empty(&self) -> bool {
        self.prompts.is_empty()
    }

    /// Records that the endpoint in `slot` computed all of `pieces` in this boot.
    pub fn record(&mut self, pieces: &[PieceKey], slot: u32, boot: BootId) {
        let (Some(root), Some(last)) = (pieces.first(), pieces.last()) else {
            return;
        };
        let index = self.index_of(*root);
        let holder = Holder {
            key_suffix: key_suffix(last),
            slot,
            boot: boot as u32,
            pieces: pieces.len() as u32,
        };
        self.prompts[index].is_referenced = true;
        self.prompts[index].insert(holder);
    }

    /// Returns the endpoints known to have computed leading pieces of a prompt, latest first.
    pub(super) fn holders<'a>(
        &'a mut self,
        pieces: &'a [PieceKey],
    ) -> impl Iterator<Item = CachedPrefix> + 'a {
        let index = pieces.first().and_then(|root| self.by_root.get(root)).copied();
        let prompts = &mut self.prompts;
        let prompt = index.map(|index| {
            let prompt = &mut prompts[index as usize];
            prompt.is_referenced = true;
            &*prompt
        });
        prompt
            .into_iter()
            .flat_map(|prompt| prompt.holders.iter().flatten())
            .map(|holder| holder.matching_prefix(pieces))
    }

    /// Heap memory in use, in bytes, estimated from the capacities of the collections.
    pub fn heap_bytes(&self) -> usize {
        // A hash map has 8/7 buckets per entry of its capacity, each with a control byte.
        let map_entry = size_of::<(PromptRoot, u32)>() + 1;
        self.prompts.capacity() * size_of::<Prompt>() + self.by_root.capacity() * 8 / 7 * map_entry
    }

    fn index_of(&mut self, root: PromptRoot) -> usize {
        if let Some(index) = self.by_root.get(&root) {
            return *index as usize;
        }
        let prompt = Prompt { root, holders: Default::default(), is_referenced: false };
        let index = self.insert_prompt(prompt);
        self.by_root.insert(root, index as u32);
        index
    }

    fn insert_prompt(&mut self, prompt: Prompt) -> usize {
        if self.prompts.len() < self.capacity {
            self.prompts.push(prompt);
            return self.prompts.len() - 1;
        }
        let index = self.find_victim();
        self.by_root.remove(&self.prompts[index].root);
        self.prompts[index] = prompt;
        index
    }

    fn find_victim(&mut self) -> usize {
        loop {
            let index = self.clock_hand;
            self.clock_hand = (self.clock_hand + 1) % self.prompts.len();
            if !std::mem::take(&mut self.prompts[index].is_referenced) {
                return index;
            }
        }
    }
}

impl Prompt {
    fn insert(&mut self, holder: Holder) {
        let same = self.holders.iter().position(|known| {
            known.is_some_and(|known| known.slot == holder.slot && known.boot == holder.boot)
        });
        let end = same.unwrap_or(HOLDERS_PER_PROMPT - 1);
        self.holders[..=end].rotate_right(1);
        self.holders[0] = Some(holder);
    }
}

impl Holder {
    /// Returns the common leading pieces: all that were computed if the last one has the same key,
    /// else the first, since prompts under one root share at least that.
    fn matching_prefix(&self, pieces: &[PieceKey]) -> CachedPrefix {
        let last = pieces.get((self.pieces as usize).wrapping_sub(1));
        let is_match = last.is_some_and(|key| key_suffix(key) == self.key_suffix);
        let pieces = if is_match { self.pieces } else { 1 };
        CachedPrefix { slot: self.slot, boot: self.boot, pieces }
    }
}

fn key_suffix(key: &PieceKey) -> u64 {
    u64::from_le_bytes(key.0[8..].try_into().unwrap_or_default())
}
