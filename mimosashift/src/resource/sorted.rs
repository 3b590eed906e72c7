//! A sorted map whose copies share structure.

use std::sync::Arc;

/// Most entries of one chunk; a full chunk is split into two.
const MAX_CHUNK_ENTRIES: usize = 256;

/// A map in key order, stored as sorted chunks behind [`Arc`]s.
///
/// A clone copies only the list of chunks and a change copies one chunk, so
/// that successive snapshots of tens of thousands of resources share all but a
/// few kilobytes.
#[derive(Clone, Debug)]
pub(super) struct Sorted<K, V> {
    /// Never holds an empty chunk.
    chunks: Vec<Arc<Vec<(K, V)>>>,
}

impl<K: Ord + Clone, V: Clone> Sorted<K, V> {
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
        let chunk = self.chunks.get(self.chunk_of(|k| k.borrow() < key))?;
        let at = chunk.binary_search_by(|(k, _)| k.borrow().cmp(key)).ok()?;
        Some(&chunk[at].1)
    }

    /// The first entry whose key is not `before` the position sought.
    pub(super) fn first(&self, before: impl Fn(&K) -> bool) -> Option<&(K, V)> {
        let chunk = self.chunks.get(self.chunk_of(&before))?;
        chunk.get(chunk.partition_point(|(k, _)| before(k)))
    }

    /// Every entry in key order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &(K, V)> {
        self.chunks.iter().flat_map(|chunk| chunk.iter())
    }

    /// Sets the value of a key.
    pub(super) fn insert(&mut self, key: K, value: V) {
        let last = self.chunks.len().saturating_sub(1);
        let index = self.chunk_of(|k| *k < key).min(last);
        let Some(chunk) = self.chunks.get_mut(index) else {
            self.chunks.push(Arc::new(vec![(key, value)]));
            return;
        };
        let entries = Arc::make_mut(chunk);
        match entries.binary_search_by(|(k, _)| k.cmp(&key)) {
            Ok(at) => entries[at].1 = value,
            Err(at) => entries.insert(at, (key, value)),
        }
        if entries.len() > MAX_CHUNK_ENTRIES {
            let upper = entries.split_off(entries.len() / 2);
            self.chunks.insert(index + 1, Arc::new(upper));
        }
    }

    /// Removes a key.
    pub(super) fn remove(&mut self, key: &K) {
        let index = self.chunk_of(|k| k < key);
        let Some(chunk) = self.chunks.get_mut(index) else { return };
        let Ok(at) = chunk.binary_search_by(|(k, _)| k.cmp(key)) else { return };
        let entries = Arc::make_mut(chunk);
        entries.remove(at);
        if entries.is_empty() {
            self.chunks.remove(index);
        }
    }

    /// The first chunk whose last key is not `before` the position sought.
    fn chunk_of(&self, before: impl Fn(&K) -> bool) -> usize {
        self.chunks.partition_point(|chunk| chunk.last().is_some_and(|(k, _)| before(k)))
    }
}

impl<K, V> Default for Sorted<K, V> {
    fn default() -> Self {
        Self { chunks: Vec::new() }
    }
}

impl<K: Ord + Clone, V: Clone> FromIterator<(K, V)> for Sorted<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut map = Self::default();
        for (key, value) in entries {
            map.insert(key, value);
        }
        map
    }
}
