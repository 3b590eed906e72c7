//! Cost of planning and placing model copies.

use mimosashift::order::Target;
use mimosashift::order::dispatch::OrderQueue;
use mimosashift::order::placement::{Candidate, Policy, RangeCopies, choose_endpoint, plan};
use mimosashift::resource::{Layers, ModelLayers};

use super::series::series;
use super::{Series, cpu, fleet, memory};

const ROLE: &str = "orders";
const RANGES: [usize; 5] = [4, 16, 64, 128, 256];
const ENDPOINTS: [usize; 4] = [160, 800, 2_000, 4_000];

/// Maximum number of loads per plan.
const MAX_LOADS: usize = 8;

/// Size of the weights of a stage in bytes.
const STAGE_BYTES: u64 = 20 << 30;

/// Measures the time of a plan by layer ranges and of choosing a host by endpoints.
pub fn measure() -> Vec<Series> {
    vec![
        series([ROLE, "plan of 8 loads", "µs", "layer ranges"], &RANGES, |ranges| {
            let ranges: Vec<_> = (0..ranges).map(range).collect();
            cpu::micros_per_call(|| plan(Policy::EveryLoss, &ranges, MAX_LOADS))
        }),
        series([ROLE, "host of one load", "µs", "endpoints"], &ENDPOINTS, |endpoints| {
            let candidates: Vec<_> = (0..endpoints).map(candidate).collect();
            cpu::micros_per_call(|| choose_endpoint(&candidates, STAGE_BYTES))
        }),
        series([ROLE, "open orders, one each", "bytes", "endpoints"], &ENDPOINTS, |endpoints| {
            memory::retained(|| (0..endpoints).map(|_| order_queue()).collect::<Vec<_>>()).1
        }),
    ]
}

fn range(number: usize) -> RangeCopies {
    RangeCopies { wanted: 250, live: 240 + (number % 10) as u16, loading: 0 }
}

fn candidate(number: usize) -> Candidate {
    Candidate {
        endpoint: fleet::name(&format!("engine-{number:04}")),
        domain: fleet::name(&format!("domain-{}", number % fleet::DOMAINS)),
        domain_copies: (number % fleet::DOMAINS) as u16,
        free_bytes: (number as u64 % 40) << 30,
    }
}

fn order_queue() -> OrderQueue {
    let layers = Layers::try_from((0, 20)).expect("the range has layers");
    let mut queue = OrderQueue::new(true);
    queue.enqueue(Target::Load(ModelLayers { pipeline: fleet::name("model"), version: 1, layers }));
    queue
}
