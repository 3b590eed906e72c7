//! Cost of the token relay: the pipeline state machine and the encoding of its
//! steps, without sockets.

use std::time::Duration;

use mimosashift::engine::http::{decode, encode};
use mimosashift::engine::{Output, Reply, RequestId, Step};
use mimosashift::pipeline::recovery::Cost;
use mimosashift::pipeline::retry::{Budget, BudgetSettings};
use mimosashift::pipeline::{Action, Actions, Context, Machine, Request, TimeoutLimits};
use mimosashift::resource::Layers;
use mimosashift::route::{Chain, Stage};
use mimosashift::time::Instant;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::series::series;
use super::{Series, cpu, fleet, memory};

const ROLE: &str = "token relay";
const HIDDEN_BYTES: [usize; 5] = [1_024, 4_096, 8_192, 16_384, 32_768];
const PROMPTS: [usize; 4] = [64, 256, 1_024, 4_096];

/// Activation bytes per token of a mid-sized model.
const TYPICAL_HIDDEN_BYTES: usize = 8_192;

/// Number of tokens in one answer.
const TOKENS: u32 = 256;

/// Virtual duration of a step.
const STEP_TIME: Duration = Duration::from_millis(6);

/// Measures the cost of a step and the memory of a request in flight.
pub fn measure() -> Vec<Series> {
    vec![
        series(
            [ROLE, "step, encoded and decoded", "µs", "hidden bytes"],
            &HIDDEN_BYTES,
            |hidden| cpu::micros_per_call(|| run(512, TOKENS, hidden)) / f64::from(steps(TOKENS)),
        ),
        series([ROLE, "step on the wire", "bytes", "hidden bytes"], &HIDDEN_BYTES, |hidden| {
            run(512, TOKENS, hidden).wire_bytes as f64 / f64::from(steps(TOKENS))
        }),
        series([ROLE, "request in flight", "bytes", "prompt tokens"], &PROMPTS, |prompt| {
            memory::retained(|| run(prompt, TOKENS / 2, TYPICAL_HIDDEN_BYTES)).1
        }),
    ]
}

/// Result of a simulated request.
struct RequestResult {
    /// Bytes of headers and bodies sent, including the prompt.
    wire_bytes: usize,
    /// Kept alive so that its memory is counted.
    _machine: Machine,
}

const fn steps(tokens: u32) -> u32 {
    tokens * fleet::STAGES as u32
}

/// Runs a request until it has emitted `tokens` tokens.
fn run(prompt: usize, tokens: u32, hidden: usize) -> RequestResult {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut now = Instant::from_millis(1);
    let mut budget = Budget::new(BudgetSettings::default(), now);
    let mut ctx = Context { now, rng: &mut rng, budget: &mut budget };
    let (mut machine, mut actions) =
        Machine::start(&mut ctx, request(prompt), chain(), cost(), TimeoutLimits::default());
    let mut wire_bytes = 0;
    let mut emitted = 0;
    while emitted < tokens {
        let (endpoint, step) = sent_step(actions);
        let (header, body) = encode(&step);
        wire_bytes += header.len() + body.len();
        // An answer carries the same label and is decoded in the same way.
        let answer = decode(&header, &body).expect("an encoded step can be decoded");
        let last = answer.label.layers.end() == fleet::LAYERS;
        let output = if last { Output::Token(1) } else { Output::Hidden(vec![1; hidden]) };
        now = now + STEP_TIME;
        let mut ctx = Context { now, rng: &mut rng, budget: &mut budget };
        let reply = Reply { label: answer.label, output };
        actions = machine.on_reply(&mut ctx, &endpoint, reply);
        emitted += u32::from(last);
    }
    RequestResult { wire_bytes, _machine: machine }
}

fn sent_step(actions: Actions) -> (mimosashift::resource::Name, Step) {
    let send = actions.into_iter().find_map(|action| match action {
        Action::Send { endpoint, step, .. } => Some((endpoint, step)),
        _ => None,
    });
    send.expect("an unfinished request has a step to send")
}

fn request(prompt: usize) -> Request {
    Request {
        id: RequestId(1),
        prompt: (0..prompt as u32).collect(),
        max_tokens: TOKENS * 2,
        stop: None,
        deadline: Instant::from_millis(3_600_000),
        priority: 0,
        adapter: None,
    }
}

fn chain() -> Chain {
    let layers = fleet::LAYERS / fleet::STAGES;
    let stage = |stage: u16| {
        let range = (stage * layers, (stage + 1) * layers);
        let layers = Layers::try_from(range).expect("a stage has layers");
        Stage { endpoint: fleet::name(&format!("engine-{stage:04}")), layers }
    };
    let stages = (0..fleet::STAGES).map(stage);
    Chain::new(fleet::name("model"), 1, fleet::LAYERS, stages).expect("the stages are contiguous")
}

fn cost() -> Cost {
    Cost {
        kv_bytes: 1_024,
        link_bytes_per_second: 1_000_000_000,
        link_latency: Duration::from_millis(1),
        prefill_base: Duration::from_millis(10),
        prefill_token: Duration::from_millis(1),
    }
}
