//! A fake engine whose activations depend on every layer and earlier token.

use std::collections::{BTreeMap, HashMap};

use mimosashift::engine::{Failure, Input, Label, Output, Step};
use mimosashift::resource::Layers;
use mimosashift::time::Instant;

use crate::TOKENS;

pub fn mix(a: u64, b: u64) -> u64 {
    let x = (a ^ b.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (x >> 32)
}

/// Runs one layer for one token; the output depends on every earlier token.
pub fn layer(kv: &mut u64, layer: u16, hidden: u64) -> u64 {
    *kv = mix(*kv, mix(u64::from(layer), hidden));
    mix(hidden, *kv)
}

pub fn to_token(hidden: u64) -> u32 {
    u32::try_from(hidden % 50_000).unwrap()
}

/// The expected completion, computed without stages.
pub fn oracle(prompt: &[u32]) -> Vec<u32> {
    let (mut kv, mut answer, mut inputs) = ([0; 12], Vec::new(), prompt.to_vec());
    while answer.len() < TOKENS as usize {
        let mut hidden = 0;
        for token in inputs.drain(..) {
            let run = |h, l: u16| layer(&mut kv[usize::from(l)], l, h);
            hidden = (0..12).fold(u64::from(token), run);
        }
        answer.push(to_token(hidden));
        inputs.push(to_token(hidden));
    }
    answer
}

/// KV digests by position, one per layer.
pub type Cache = Vec<Vec<u64>>;

#[derive(Default)]
pub struct Engine {
    pub caches: HashMap<(u32, Layers), Cache>,
    pub latest_attempt: u32,
    pub released_attempt: u32,
    pub steps_run: u32,
    pub down_since: Option<Instant>,
    pub leaving: bool,
    /// When each kind of fault ends at this engine.
    pub until: BTreeMap<Fault, Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    Kill,
    Restart,
    Leave,
    Pause,
    Delay,
    Overload,
    LoseRequests,
    LoseReplies,
    Reorder,
    Duplicate,
    Mislabel,
}

pub const FAULTS: [Fault; 11] = [
    Fault::Kill,
    Fault::Restart,
    Fault::Leave,
    Fault::Pause,
    Fault::Delay,
    Fault::Overload,
    Fault::LoseRequests,
    Fault::LoseReplies,
    Fault::Reorder,
    Fault::Duplicate,
    Fault::Mislabel,
];

impl Engine {
    pub fn has(&self, fault: Fault, now: Instant) -> bool {
        self.until.get(&fault).is_some_and(|until| now < *until)
    }

    pub fn run(&mut self, step: &Step, now: Instant) -> Result<Output, Failure> {
        let label = &step.label;
        if self.leaving {
            return Err(Failure::Leaving);
        }
        if self.has(Fault::Overload, now) {
            return Err(Failure::Overloaded);
        }
        if label.attempt < self.latest_attempt || label.attempt <= self.released_attempt {
            return Err(Failure::Refused("old attempt".to_owned()));
        }
        let key = (label.attempt, label.layers);
        if label.position == 0 {
            self.caches.retain(|(attempt, _), _| *attempt >= label.attempt);
            self.latest_attempt = label.attempt;
        }
        let cache = match self.caches.get_mut(&key) {
            Some(cache) => cache,
            None if label.position == 0 => self.caches.entry(key).or_default(),
            None => return Err(Failure::NoCache),
        };
        if cache.len() != label.position as usize {
            return Err(Failure::Refused("position".to_owned()));
        }
        self.steps_run += 1;
        let inputs: Vec<u64> = match &step.input {
            Input::Tokens(tokens) => tokens.iter().map(|token| u64::from(*token)).collect(),
            Input::Hidden(bytes) => {
                let words = bytes.chunks(8).map(|word| word.try_into().unwrap());
                words.map(u64::from_le_bytes).collect()
            }
        };
        assert_eq!(inputs.len(), label.count as usize, "input does not match its label");
        let mut outputs = Vec::new();
        for mut hidden in inputs {
            let empty = vec![0; usize::from(label.layers.count())];
            let mut kv = cache.last().cloned().unwrap_or(empty);
            for (l, kv) in (label.layers.start()..).zip(&mut kv) {
                hidden = layer(kv, l, hidden);
            }
            cache.push(kv);
            outputs.push(hidden);
        }
        if label.layers.end() == 12 {
            return Ok(Output::Token(to_token(*outputs.last().unwrap())));
        }
        Ok(Output::Hidden(outputs.iter().flat_map(|hidden| hidden.to_le_bytes()).collect()))
    }

    /// The cache of some layers for the first tokens.
    pub fn export(&self, label: &Label) -> Option<Cache> {
        let matches = |(attempt, held): &&(u32, Layers)| {
            *attempt == label.attempt && held.contains(label.layers)
        };
        let held = self.caches.keys().find(matches)?;
        let first = usize::from(label.layers.start() - held.1.start());
        let layers = first..first + usize::from(label.layers.count());
        let tokens = self.caches[held].get(..label.count as usize)?;
        Some(tokens.iter().map(|kv| kv[layers.clone()].to_vec()).collect())
    }
}
