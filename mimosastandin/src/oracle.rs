//! Reference implementation of the stand-in model, used to verify responses.
//!
//! Every layer mixes its input with a digest of all its earlier inputs, which
//! takes the place of the KV cache. A layer that is skipped, run twice, run out
//! of order or run with another request's cache changes every later token, so
//! a complete response can be checked against [`generate`].

use mimosashift::resource::Layers;
use serde::{Deserialize, Serialize};

/// The vocabulary is the lower-case ASCII letters, so that responses are
/// readable text.
const FIRST_TOKEN: u64 = b'a' as u64;
const VOCABULARY_SIZE: u64 = 26;

/// KV cache of a range of layers for one sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cache {
    layers: Layers,
    version: u32,
    position: u32,
    digests: Vec<u64>,
}

impl Cache {
    /// An empty cache.
    pub fn new(layers: Layers, version: u32) -> Self {
        Self { layers, version, position: 0, digests: vec![0; usize::from(layers.count())] }
    }

    /// Number of tokens in the cache.
    pub const fn position(&self) -> u32 {
        self.position
    }

    /// The layers whose cache it is.
    pub const fn layers(&self) -> Layers {
        self.layers
    }

    /// Runs the layers on the activation of the next token.
    pub fn advance(&mut self, input: u64) -> u64 {
        let mut hidden = input;
        for (index, digest) in self.digests.iter_mut().enumerate() {
            let layer = u64::from(self.layers.start()) + index as u64;
            *digest = mix(*digest, hidden);
            hidden = mix(hidden, mix(layer ^ (u64::from(self.version) << 32), *digest));
        }
        self.position += 1;
        hidden
    }
}

/// Activation of a token at a position, the input of layer 0.
pub fn embed(token: u32, position: u32) -> u64 {
    mix(u64::from(token) + 1, u64::from(position))
}

/// The token selected by an activation of the last layer.
pub const fn sample(hidden: u64) -> u32 {
    (FIRST_TOKEN + hidden % VOCABULARY_SIZE) as u32
}

/// The tokens that the model generates for a prompt.
pub fn generate(layers: u16, version: u32, prompt: &[u32], max_tokens: u32) -> Vec<u32> {
    let all = Layers::try_from((0, layers)).expect("a model has at least one layer");
    let mut cache = Cache::new(all, version);
    let mut hidden = 0;
    for &token in prompt {
        hidden = cache.advance(embed(token, cache.position()));
    }
    let mut tokens = Vec::new();
    for _ in 0..max_tokens {
        let token = sample(hidden);
        tokens.push(token);
        hidden = cache.advance(embed(token, cache.position()));
    }
    tokens
}

/// A fixed 64-bit mixing function (SplitMix64's finalizer over both inputs).
const fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(b ^ 0xd1b5_4a32_d192_ed03);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
