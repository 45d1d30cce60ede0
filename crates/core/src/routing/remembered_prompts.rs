use crate::ids::{BootId, FastMap, PieceKey, PromptRoot};

/// Endpoints recorded per prompt root.
const HOLDERS_PER_PROMPT: usize = 3;

/// Index of the endpoints that recently computed the prompts under each prompt root.
///
/// The number of roots is bounded; CLOCK replacement evicts one when the index is full.
#[derive(Clone, Debug)]
pub struct RememberedPrompts {
    by_root: FastMap<PromptRoot, u32>,
    prompts: Vec<Prompt>,
    capacity: usize,
    hand: usize,
}

#[derive(Clone, Debug)]
struct Prompt {
    root: PromptRoot,
    holders: [Option<Holder>; HOLDERS_PER_PROMPT],
    was_used: bool,
}

/// An endpoint that computed leading pieces of a prompt.
///
/// Stores only half of the last piece's key and the lower half of the boot number, to save memory.
#[derive(Clone, Copy, Debug)]
struct Holder {
    tail: u64,
    slot: u32,
    boot: u32,
    pieces: u32,
}

/// Leading pieces of the prompt looked up that an endpoint has computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Held {
    pub slot: u32,
    pub boot: u32,
    pub pieces: u32,
}

impl RememberedPrompts {
    /// Creates an index of at most `capacity` prompt roots; 0 counts as 1.
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        Self { by_root: FastMap::default(), prompts: Vec::new(), capacity, hand: 0 }
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
        let holder =
            Holder { tail: tail(last), slot, boot: boot as u32, pieces: pieces.len() as u32 };
        self.prompts[index].was_used = true;
        self.prompts[index].insert(holder);
    }

    /// Returns the endpoints known to have computed leading pieces of a prompt, latest first.
    pub(super) fn holders<'a>(
        &'a mut self,
        pieces: &'a [PieceKey],
    ) -> impl Iterator<Item = Held> + 'a {
        let index = pieces.first().and_then(|root| self.by_root.get(root)).copied();
        let prompts = &mut self.prompts;
        let prompt = index.map(|index| {
            let prompt = &mut prompts[index as usize];
            prompt.was_used = true;
            &*prompt
        });
        prompt
            .into_iter()
            .flat_map(|prompt| prompt.holders.iter().flatten())
            .map(|holder| holder.matching(pieces))
    }

    /// Heap memory in use, in bytes, estimated from the capacities of the collections.
    pub fn heap_bytes(&self) -> usize {
        let map_entry = size_of::<(PromptRoot, u32)>() + 1;
        self.prompts.capacity() * size_of::<Prompt>() + self.by_root.capacity() * 8 / 7 * map_entry
    }

    fn index_of(&mut self, root: PromptRoot) -> usize {
        if let Some(index) = self.by_root.get(&root) {
            return *index as usize;
        }
        let prompt = Prompt { root, holders: Default::default(), was_used: false };
        let index = self.place(prompt);
        self.by_root.insert(root, index as u32);
        index
    }

    fn place(&mut self, prompt: Prompt) -> usize {
        if self.prompts.len() < self.capacity {
            self.prompts.push(prompt);
            return self.prompts.len() - 1;
        }
        let index = self.sweep();
        self.by_root.remove(&self.prompts[index].root);
        self.prompts[index] = prompt;
        index
    }

    fn sweep(&mut self) -> usize {
        loop {
            let index = self.hand;
            self.hand = (self.hand + 1) % self.prompts.len();
            if !std::mem::take(&mut self.prompts[index].was_used) {
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
    fn matching(&self, pieces: &[PieceKey]) -> Held {
        let last = pieces.get((self.pieces as usize).wrapping_sub(1));
        let agrees = last.is_some_and(|key| tail(key) == self.tail);
        let pieces = if agrees { self.pieces } else { 1 };
        Held { slot: self.slot, boot: self.boot, pieces }
    }
}

fn tail(key: &PieceKey) -> u64 {
    u64::from_le_bytes(key.0[8..].try_into().unwrap_or_default())
}
