//! A sorted map whose clones share unchanged chunks.

use std::sync::Arc;

/// Maximum number of entries in a chunk; a chunk that exceeds it is split.
const MAX_CHUNK_ENTRIES: usize = 256;

/// A map sorted by key, stored as sorted chunks behind [`Arc`]s.
///
/// A clone copies only the list of chunks, and a change copies one chunk, so
/// successive snapshots of tens of thousands of resources share all chunks
/// but the changed one, a few kilobytes.
#[derive(Clone, Debug)]
pub(super) struct SortedMap<K, V> {
    /// Never holds an empty chunk.
    chunks: Vec<Arc<Vec<(K, V)>>>,
}

impl<K: Ord + Clone, V: Clone> SortedMap<K, V> {
    /// Number of entries.
    pub(super) fn len(&self) -> usize {
        self.chunks.iter().map(|chunk| chunk.len()).sum()
    }

    /// The value of a key.
    pub(super) fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let chunk = self.chunks.get(self.chunk_index(|k| k.borrow() < key))?;
        let at = chunk.binary_search_by(|(k, _)| k.borrow().cmp(key)).ok()?;
        Some(&chunk[at].1)
    }

    /// The first entry whose key does not satisfy `before`, which must be true
    /// for a prefix of the keys and false for the rest.
    pub(super) fn lower_bound(&self, before: impl Fn(&K) -> bool) -> Option<&(K, V)> {
        let chunk = self.chunks.get(self.chunk_index(&before))?;
        chunk.get(chunk.partition_point(|(k, _)| before(k)))
    }

    /// All entries in key order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &(K, V)> {
        self.chunks.iter().flat_map(|chunk| chunk.iter())
    }

    /// Sets the value of a key.
    pub(super) fn insert(&mut self, key: K, value: V) {
        let index = self.chunk_index(|k| *k < key);
        if index == self.chunks.len() {
            self.append(key, value);
            return;
        }
        let entries = Arc::make_mut(&mut self.chunks[index]);
        match entries.binary_search_by(|(k, _)| k.cmp(&key)) {
            Ok(at) => entries[at].1 = value,
            Err(at) => {
                // Reserves exactly one entry: spare capacity in each of hundreds
                // of chunks would waste memory.
                entries.reserve_exact(1);
                entries.insert(at, (key, value));
            }
        }
        if entries.len() > MAX_CHUNK_ENTRIES {
            let upper = entries.split_off(entries.len() / 2);
            entries.shrink_to_fit();
            self.chunks.insert(index + 1, Arc::new(upper));
        }
    }

    /// Adds a key greater than all others. A full last chunk is not split, so
    /// keys inserted in order fill their chunks.
    fn append(&mut self, key: K, value: V) {
        match self.chunks.last_mut().filter(|chunk| chunk.len() < MAX_CHUNK_ENTRIES) {
            Some(chunk) => {
                let entries = Arc::make_mut(chunk);
                entries.reserve_exact(1);
                entries.push((key, value));
            }
            None => self.chunks.push(Arc::new(vec![(key, value)])),
        }
    }

    /// Removes a key.
    pub(super) fn remove(&mut self, key: &K) {
        let index = self.chunk_index(|k| k < key);
        let Some(chunk) = self.chunks.get_mut(index) else { return };
        let Ok(at) = chunk.binary_search_by(|(k, _)| k.cmp(key)) else { return };
        let entries = Arc::make_mut(chunk);
        entries.remove(at);
        if entries.is_empty() {
            self.chunks.remove(index);
        }
    }

    /// Index of the first chunk whose last key does not satisfy `before`.
    fn chunk_index(&self, before: impl Fn(&K) -> bool) -> usize {
        self.chunks.partition_point(|chunk| chunk.last().is_some_and(|(k, _)| before(k)))
    }
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        Self { chunks: Vec::new() }
    }
}

impl<K: Ord + Clone, V: Clone> FromIterator<(K, V)> for SortedMap<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut map = Self::default();
        for (key, value) in entries {
            map.insert(key, value);
        }
        map
    }
}
