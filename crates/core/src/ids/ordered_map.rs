use std::{borrow::Borrow, fmt, iter, ops::Index, slice, sync::Arc};

/// Maximum number of entries in a chunk; a chunk that exceeds it is split in two.
const CHUNK_ENTRIES: usize = 64;

/// Sorted map with copy-on-write chunks, for cheap snapshots.
///
/// Cloning increments one reference count per chunk. The first change to a shared chunk copies that
/// chunk; all other chunks stay shared.
#[derive(Clone)]
pub struct OrderedMap<K, V> {
    chunks: Vec<Chunk<K, V>>,
    len: usize,
}

type Chunk<K, V> = Arc<Vec<(K, V)>>;
type Entries<'a, K, V> = iter::FlatMap<
    slice::Iter<'a, Chunk<K, V>>,
    slice::Iter<'a, (K, V)>,
    fn(&'a Chunk<K, V>) -> slice::Iter<'a, (K, V)>,
>;

/// Iterator over the entries of an [`OrderedMap`] in key order.
pub type Iter<'a, K, V> = iter::Map<Entries<'a, K, V>, fn(&'a (K, V)) -> (&'a K, &'a V)>;

impl<K, V> Default for OrderedMap<K, V> {
    fn default() -> Self {
        Self { chunks: Vec::new(), len: 0 }
    }
}

impl<K: Ord + Clone, V: Clone> OrderedMap<K, V> {
    /// Creates an empty map; does not allocate.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the value of a key.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.get_key_value(key).map(|(_, value)| value)
    }

    /// Returns a mutable reference to the value of a key; copies the chunk if a clone shares it.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        let index = self.chunk_of(key);
        let at = position(self.chunks.get(index)?, key).ok()?;
        Some(&mut Arc::make_mut(&mut self.chunks[index])[at].1)
    }

    /// Returns the stored key and value of a key.
    pub fn get_key_value<Q: Ord + ?Sized>(&self, key: &Q) -> Option<(&K, &V)>
    where
        K: Borrow<Q>,
    {
        let chunk = self.chunks.get(self.chunk_of(key))?;
        let at = position(chunk, key).ok()?;
        Some((&chunk[at].0, &chunk[at].1))
    }

    /// Returns whether the map has an entry for a key.
    pub fn contains_key<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.get(key).is_some()
    }

    /// Sets the value of a key and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        if self.chunks.is_empty() {
            self.chunks.push(Arc::new(vec![(key, value)]));
            self.len = 1;
            return None;
        }
        let index = self.chunk_of(&key);
        let chunk = Arc::make_mut(&mut self.chunks[index]);
        match position(chunk, &key) {
            Ok(at) => Some(std::mem::replace(&mut chunk[at].1, value)),
            Err(at) => {
                chunk.insert(at, (key, value));
                self.len += 1;
                self.split_if_full(index);
                None
            }
        }
    }

    /// Removes a key and returns its value.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        let index = self.chunk_of(key);
        let at = position(self.chunks.get(index)?, key).ok()?;
        let chunk = Arc::make_mut(&mut self.chunks[index]);
        let (_, value) = chunk.remove(at);
        if chunk.is_empty() {
            self.chunks.remove(index);
        }
        self.len -= 1;
        Some(value)
    }

    /// Iterates over the entries in key order.
    pub fn iter(&self) -> Iter<'_, K, V> {
        self.chunks.iter().flat_map(chunk_entries as fn(_) -> _).map(pair as fn(_) -> _)
    }

    /// Iterates in key order over the entries with keys greater than or equal to `from`.
    pub fn iter_from<'a, Q: Ord + ?Sized>(
        &'a self,
        from: &Q,
    ) -> impl Iterator<Item = (&'a K, &'a V)> + use<'a, Q, K, V>
    where
        K: Borrow<Q>,
    {
        let index = self.chunk_of(from);
        let rest = self.chunks.get(index..).unwrap_or_default();
        let skipped = rest.first().map_or(0, |chunk| match position(chunk, from) {
            Ok(at) | Err(at) => at,
        });
        rest.iter().flat_map(|chunk| chunk.iter()).skip(skipped).map(|(key, value)| (key, value))
    }

    /// Iterates over the keys in order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> + Clone {
        self.iter().map(|(key, _)| key)
    }

    /// Iterates over the values in key order.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> + Clone {
        self.iter().map(|(_, value)| value)
    }

    /// Index of the last chunk whose first key is at most `key`, or 0 if there is none.
    fn chunk_of<Q: Ord + ?Sized>(&self, key: &Q) -> usize
    where
        K: Borrow<Q>,
    {
        let starts_before =
            |chunk: &Chunk<K, V>| chunk.first().is_some_and(|(first, _)| first.borrow() <= key);
        self.chunks.partition_point(starts_before).saturating_sub(1)
    }

    fn split_if_full(&mut self, index: usize) {
        if self.chunks[index].len() <= CHUNK_ENTRIES {
            return;
        }
        // Splits the last chunk near its end, so that sorted insertion leaves chunks nearly full.
        let is_last = index + 1 == self.chunks.len();
        let at = if is_last { CHUNK_ENTRIES - 1 } else { CHUNK_ENTRIES / 2 };
        let upper = Arc::make_mut(&mut self.chunks[index]).split_off(at);
        self.chunks.insert(index + 1, Arc::new(upper));
    }
}

fn chunk_entries<K, V>(chunk: &Chunk<K, V>) -> slice::Iter<'_, (K, V)> {
    chunk.iter()
}

fn pair<K, V>(entry: &(K, V)) -> (&K, &V) {
    (&entry.0, &entry.1)
}

fn position<K: Borrow<Q>, V, Q: Ord + ?Sized>(chunk: &[(K, V)], key: &Q) -> Result<usize, usize> {
    chunk.binary_search_by(|(found, _)| found.borrow().cmp(key))
}

impl<K: Ord + Clone + Borrow<Q>, V: Clone, Q: Ord + ?Sized> Index<&Q> for OrderedMap<K, V> {
    type Output = V;

    fn index(&self, key: &Q) -> &V {
        self.get(key).expect("no entry for the key")
    }
}

impl<'a, K: Ord + Clone, V: Clone> IntoIterator for &'a OrderedMap<K, V> {
    type IntoIter = Iter<'a, K, V>;
    type Item = (&'a K, &'a V);

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl<K: Ord + Clone, V: Clone> FromIterator<(K, V)> for OrderedMap<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut map = Self::default();
        map.extend(entries);
        map
    }
}

impl<K: Ord + Clone, V: Clone> Extend<(K, V)> for OrderedMap<K, V> {
    fn extend<I: IntoIterator<Item = (K, V)>>(&mut self, entries: I) {
        entries.into_iter().for_each(|(key, value)| {
            self.insert(key, value);
        });
    }
}

impl<K: Ord + Clone, V: Clone, const N: usize> From<[(K, V); N]> for OrderedMap<K, V> {
    fn from(entries: [(K, V); N]) -> Self {
        entries.into_iter().collect()
    }
}

impl<K: Ord + Clone, V: Clone + PartialEq> PartialEq for OrderedMap<K, V> {
    fn eq(&self, other: &Self) -> bool {
        self.len == other.len && self.iter().eq(other.iter())
    }
}

impl<K: Ord + Clone, V: Clone + Eq> Eq for OrderedMap<K, V> {}

impl<K: Ord + Clone + fmt::Debug, V: Clone + fmt::Debug> fmt::Debug for OrderedMap<K, V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.iter()).finish()
    }
}
