//! Minimal simulated engine with batching, slots and KV caches.
//!
//! Activations are digests of every earlier layer and token, so a skipped,
//! repeated or reordered layer produces a wrong token.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use mimosashift::engine::{Failure, Input, Label, Load, Output, Step};
use mimosashift::health::time_model;
use mimosashift::resource::Engine as Declared;

use super::fleet::{LAYERS, STAGE_LAYERS};

/// Maximum number of cached sequences per slot.
const RESIDENT_PER_SLOT: usize = 16;

/// State of a simulated endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Serving normally.
    Up,
    /// The process has exited; connections are refused.
    Crashed,
    /// The VM is gone; requests get no response.
    Silent,
    /// Finishes its current sequences and accepts no new ones.
    Leaving,
}

/// A queued step and the router that sent it.
#[derive(Debug)]
pub struct Job {
    /// Index of the router.
    pub router: usize,
    /// Index of the request.
    pub call: usize,
    /// The step to run.
    pub step: Step,
}

/// A cached sequence: one digest per position and layer stands for the KV cache.
#[derive(Clone, Debug)]
struct Sequence {
    attempt: u32,
    digests: Vec<u64>,
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// Current state.
    pub health: Health,
    /// Incremented when in-flight work is lost, to discard stale events.
    pub epoch: u32,
    iteration: Duration,
    slots: u32,
    queue: VecDeque<Job>,
    batch: Vec<Job>,
    sequences: HashMap<usize, Sequence>,
    released: HashMap<usize, u32>,
}

/// Reference model that generates the expected tokens.
#[derive(Clone, Debug)]
pub struct Oracle {
    layers: [u64; LAYERS as usize],
    hidden: u64,
}

impl Engine {
    /// Creates an idle engine.
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

    /// Enters `health`, drops all caches and returns the lost jobs.
    pub fn fail(&mut self, health: Health) -> Vec<Job> {
        self.health = health;
        self.epoch += 1;
        self.sequences.clear();
        self.released.clear();
        self.queue.drain(..).chain(self.batch.drain(..)).collect()
    }

    /// Load report; sequences beyond the slot count are reported as queued.
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

    /// Queues a step, or returns it with the reason for refusal.
    pub fn enqueue(&mut self, job: Job) -> Option<(Job, Failure)> {
        if let Err(failure) = self.check(&job) {
            return Some((job, failure));
        }
        self.queue.push_back(job);
        None
    }

    /// Starts an iteration if the engine is idle and has work; returns its
    /// duration.
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

    /// Fills the batch in arrival order with at most one prompt, because engines
    /// limit the tokens per iteration.
    fn fill_batch(&mut self) {
        let mut index = 0;
        let mut prompts = 0;
        while index < self.queue.len() && self.batch.len() < self.slots as usize {
            let is_prompt = self.queue[index].step.label.count > 1;
            if is_prompt && prompts > 0 {
                index += 1;
                continue;
            }
            prompts += usize::from(is_prompt);
            self.batch.extend(self.queue.remove(index));
        }
    }

    /// Ends the iteration and returns the result of each step.
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

    /// Drops the cache and queued steps of `attempt` and earlier attempts.
    pub fn release(&mut self, call: usize, attempt: u32) {
        if self.sequences.get(&call).is_some_and(|sequence| sequence.attempt <= attempt) {
            self.sequences.remove(&call);
        }
        let released = self.released.entry(call).or_default();
        *released = attempt.max(*released);
        self.queue.retain(|job| job.call != call || job.step.label.attempt > attempt);
    }

    /// Returns the cache identified by `label`.
    pub fn export(&self, call: usize, label: &Label) -> Option<Vec<u64>> {
        let sequence =
            self.sequences.get(&call).filter(|sequence| sequence.attempt == label.attempt)?;
        let length = label.count as usize * usize::from(STAGE_LAYERS);
        Some(sequence.digests.get(..length)?.to_vec())
    }

    /// Installs a cache copied from another engine.
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
            let sequence = Sequence { attempt: label.attempt, digests: Vec::new() };
            self.sequences.insert(job.call, sequence);
        }
        let sequence = self.sequences.get_mut(&job.call).ok_or(Failure::NoCache)?;
        if sequence.attempt != label.attempt {
            return Err(Failure::NoCache);
        }
        if sequence.digests.len() != label.position as usize * width {
            return Err(Failure::Refused("position".to_owned()));
        }
        let mut outputs = Vec::with_capacity(label.count as usize);
        for mut hidden in inputs(&job.step.input) {
            for index in 0..width {
                let earlier = sequence.digests.len().checked_sub(width);
                let mut digest = earlier.map_or(0, |earlier| sequence.digests[earlier]);
                hidden = run_layer(&mut digest, label.layers.start() + index as u16, hidden);
                sequence.digests.push(digest);
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
    /// Creates a reference model that has processed `prompt`.
    pub fn new(prompt: &[u32]) -> Self {
        let mut oracle = Self { layers: [0; LAYERS as usize], hidden: 0 };
        for &token in prompt {
            oracle.advance(token);
        }
        oracle
    }

    /// Generates the next token and appends it to the sequence.
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
