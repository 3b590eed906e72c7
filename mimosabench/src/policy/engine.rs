//! The least that an engine must do for the measures: batches, slots, caches.
//!
//! Activations are digests that depend on every layer and earlier token, so
//! that a layer left out, doubled or out of order gives a wrong answer.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use mimosashift::engine::{Failure, Input, Label, Load, Output, Step};
use mimosashift::health::time_model;
use mimosashift::resource::Engine as Declared;

use super::fleet::{LAYERS, STAGE_LAYERS};

/// Sequences with a cache at an engine, for each slot.
const RESIDENT_PER_SLOT: usize = 16;

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It works.
    Up,
    /// Its process has ended: connections are refused.
    Crashed,
    /// Its VM is gone: nothing answers.
    Silent,
    /// It finishes sequences that it holds and takes no others.
    Leaving,
}

/// A step and the router that awaits its answer.
#[derive(Debug)]
pub struct Job {
    /// The router.
    pub router: usize,
    /// The request's number.
    pub call: usize,
    /// The work.
    pub step: Step,
}

/// A sequence with its KV cache: one digest per position and layer.
#[derive(Clone, Debug)]
struct Sequence {
    attempt: u32,
    digests: Vec<u64>,
}

/// A fake engine.
#[derive(Debug)]
pub struct Engine {
    /// How it behaves.
    pub health: Health,
    /// Rises when work in flight is lost.
    pub epoch: u32,
    iteration: Duration,
    slots: u32,
    queue: VecDeque<Job>,
    batch: Vec<Job>,
    sequences: HashMap<usize, Sequence>,
    released: HashMap<usize, u32>,
}

/// The answer that a whole model would give, token by token.
#[derive(Clone, Debug)]
pub struct Oracle {
    layers: [u64; LAYERS as usize],
    hidden: u64,
}

impl Engine {
    /// An idle engine.
    pub fn new(declared: &Declared) -> Self {
        let layer = Duration::from_micros(u64::from(declared.layer_us));
        Self {
            health: Health::Up,
            epoch: 0,
            iteration: layer * u32::from(STAGE_LAYERS),
            slots: u32::from(declared.slots),
            queue: VecDeque::new(),
            batch: Vec::new(),
            sequences: HashMap::new(),
            released: HashMap::new(),
        }
    }

    /// Loses everything that it holds; returns the work that was lost.
    pub fn fail(&mut self, health: Health) -> Vec<Job> {
        self.health = health;
        self.epoch += 1;
        self.sequences.clear();
        self.released.clear();
        self.queue.drain(..).chain(self.batch.drain(..)).collect()
    }

    /// What the engine reports: sequences beyond its slots wait.
    pub fn load(&self) -> Load {
        let resident = self.sequences.len() as u32;
        let running = resident.min(self.slots);
        Load {
            queued: resident - running,
            running,
            kv_free_tokens: 1 << 20,
            leaving: self.health == Health::Leaving,
            incarnation: 1,
        }
    }

    /// Takes a step in, or gives it back with the refusal.
    pub fn enqueue(&mut self, job: Job) -> Option<(Job, Failure)> {
        if let Err(failure) = self.check(&job) {
            return Some((job, failure));
        }
        self.queue.push_back(job);
        None
    }

    /// Starts an iteration if there is work and none runs; says how long it
    /// takes.
    pub fn start(&mut self) -> Option<Duration> {
        if !self.batch.is_empty() || self.queue.is_empty() {
            return None;
        }
        self.fill_batch();
        let size = self.batch.len() as u32;
        let prefill = |job: &Job| time_model::step_weight(job.step.label.count as f32) - 1.0;
        let prefills: f32 = self.batch.iter().map(prefill).sum();
        Some(self.iteration.mul_f32(time_model::batch_weight(size) + prefills))
    }

    /// Takes steps in order of arrival, with one prompt at most: engines bound
    /// the tokens of an iteration.
    fn fill_batch(&mut self) {
        let mut place = 0;
        let mut prompts = 0;
        while place < self.queue.len() && self.batch.len() < self.slots as usize {
            let is_prompt = self.queue[place].step.label.count > 1;
            if is_prompt && prompts > 0 {
                place += 1;
                continue;
            }
            prompts += usize::from(is_prompt);
            self.batch.extend(self.queue.remove(place));
        }
    }

    /// Ends the iteration with the answers to its steps.
    pub fn finish(&mut self) -> Vec<(Job, Result<Output, Failure>)> {
        let batch = std::mem::take(&mut self.batch);
        batch
            .into_iter()
            .map(|job| {
                let result = self.run(&job);
                (job, result)
            })
            .collect()
    }

    /// Drops what it holds for an attempt and earlier ones.
    pub fn release(&mut self, call: usize, attempt: u32) {
        if self.sequences.get(&call).is_some_and(|held| held.attempt <= attempt) {
            self.sequences.remove(&call);
        }
        let released = self.released.entry(call).or_default();
        *released = attempt.max(*released);
        self.queue.retain(|job| job.call != call || job.step.label.attempt > attempt);
    }

    /// The cache that a label names.
    pub fn export(&self, call: usize, label: &Label) -> Option<Vec<u64>> {
        let held = self.sequences.get(&call).filter(|held| held.attempt == label.attempt)?;
        let length = label.count as usize * usize::from(STAGE_LAYERS);
        Some(held.digests.get(..length)?.to_vec())
    }

    /// Takes a cache over.
    pub fn import(&mut self, call: usize, attempt: u32, digests: Vec<u64>) {
        self.sequences.insert(call, Sequence { attempt, digests });
    }

    fn check(&self, job: &Job) -> Result<(), Failure> {
        let label = &job.step.label;
        if self.released.get(&job.call).is_some_and(|released| *released >= label.attempt) {
            return Err(Failure::Refused("old attempt".to_owned()));
        }
        if label.position > 0 {
            return Ok(());
        }
        if self.health == Health::Leaving {
            return Err(Failure::Leaving);
        }
        let full = self.sequences.len() >= RESIDENT_PER_SLOT * self.slots as usize;
        if full { Err(Failure::Overloaded) } else { Ok(()) }
    }

    fn run(&mut self, job: &Job) -> Result<Output, Failure> {
        let label = &job.step.label;
        let width = usize::from(STAGE_LAYERS);
        if self.released.get(&job.call).is_some_and(|released| *released >= label.attempt) {
            return Err(Failure::Refused("old attempt".to_owned()));
        }
        if label.position == 0 {
            let fresh = Sequence { attempt: label.attempt, digests: Vec::new() };
            self.sequences.insert(job.call, fresh);
        }
        let held = self.sequences.get_mut(&job.call).ok_or(Failure::NoCache)?;
        if held.attempt != label.attempt {
            return Err(Failure::NoCache);
        }
        if held.digests.len() != label.position as usize * width {
            return Err(Failure::Refused("position".to_owned()));
        }
        let mut outputs = Vec::with_capacity(label.count as usize);
        for mut hidden in inputs(&job.step.input) {
            for place in 0..width {
                let earlier = held.digests.len().checked_sub(width);
                let mut digest = earlier.map_or(0, |earlier| held.digests[earlier]);
                hidden = run_layer(&mut digest, label.layers.start() + place as u16, hidden);
                held.digests.push(digest);
            }
            outputs.push(hidden);
        }
        let last = *outputs.last().expect("a step has a token");
        if label.layers.end() == LAYERS {
            return Ok(Output::Token(to_token(last)));
        }
        Ok(Output::Hidden(outputs.iter().flat_map(|hidden| hidden.to_le_bytes()).collect()))
    }
}

impl Oracle {
    /// Runs a prompt.
    pub fn new(prompt: &[u32]) -> Self {
        let mut oracle = Self { layers: [0; LAYERS as usize], hidden: 0 };
        for &token in prompt {
            oracle.advance(token);
        }
        oracle
    }

    /// The next token, which becomes part of the sequence.
    pub fn next(&mut self) -> u32 {
        let token = to_token(self.hidden);
        self.advance(token);
        token
    }

    fn advance(&mut self, token: u32) {
        self.hidden = u64::from(token);
        for (layer, digest) in (0..).zip(&mut self.layers) {
            self.hidden = run_layer(digest, layer, self.hidden);
        }
    }
}

fn inputs(input: &Input) -> Vec<u64> {
    match input {
        Input::Tokens(tokens) => tokens.iter().map(|&token| u64::from(token)).collect(),
        Input::Hidden(bytes) => {
            let words = bytes.chunks_exact(8);
            words.map(|word| u64::from_le_bytes(word.try_into().expect("8 bytes"))).collect()
        }
    }
}

fn run_layer(digest: &mut u64, layer: u16, hidden: u64) -> u64 {
    *digest = mix(*digest, mix(u64::from(layer), hidden));
    mix(hidden, *digest)
}

fn mix(a: u64, b: u64) -> u64 {
    let x = (a ^ b.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (x >> 32)
}

fn to_token(hidden: u64) -> u32 {
    (hidden % 50_000) as u32
}
