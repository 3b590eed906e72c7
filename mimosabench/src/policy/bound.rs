//! Upper bound on throughput, computed from declared engine and link speeds.

use mimosashift::health::time_model;

use super::fleet::{Fleet, HIDDEN_BYTES, Mix, STAGES};

/// Requests per second that `fleet` could complete with the `live` endpoints,
/// assuming full batches and optimal routing.
///
/// Every endpoint holds exactly one stage, so throughput is limited by the stage
/// whose endpoints have the least total capacity. The capacity of an endpoint is
/// the minimum of its compute rate and the bandwidth of one link direction.
pub fn bound(fleet: &Fleet, mix: &Mix, live: impl Fn(usize) -> bool) -> f64 {
    let stages = usize::from(STAGES);
    let flow = |stage: usize| -> f64 {
        let endpoints = (stage..fleet.endpoints.len()).step_by(stages);
        endpoints.filter(|&number| live(number)).map(|number| capacity(fleet, number, mix)).sum()
    };
    (0..stages).map(flow).fold(f64::INFINITY, f64::min)
}

/// Engine time of a request when every batch is full, in units of a one-token
/// step at batch size 1.
pub fn work(prompt: f64, answer: f64, slots: u32) -> f64 {
    let step = f64::from(time_model::batch_weight(slots)) / f64::from(slots);
    let prefill = f64::from(time_model::step_weight(prompt as f32) - 1.0);
    answer * step + prefill
}

fn capacity(fleet: &Fleet, number: usize, mix: &Mix) -> f64 {
    let engine = fleet.engine(number);
    let (prompt, answer) = mix.means();
    let layers = engine.holds[0].layers;
    let step = f64::from(engine.layer_us) * f64::from(layers.count()) / 1e6;
    let compute = 1.0 / (step * work(prompt, answer, u32::from(engine.slots)));
    let bytes = (prompt + answer - 1.0) * f64::from(HIDDEN_BYTES);
    let link = engine.link_bytes_per_second as f64 / bytes;
    compute.min(link)
}
