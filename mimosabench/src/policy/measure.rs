//! The measures: throughput against the bound, and recovery after faults.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mimosashift::time::Instant;

use super::bound::{bound, work};
use super::call::End;
use super::fault::Fault;
use super::fleet::{AKSU, BOARD, Fleet, Mix};
use super::run::{Plan, Policy, run};
use super::tally::Tally;

/// Share of the offered load that must be served at 95% of the bound.
pub const SERVED_TARGET: f64 = 0.95;
/// Share of the bound that must be served when more than it is offered.
pub const OVERLOAD_TARGET: f64 = 0.93;
/// Share of the flow at which it counts as recovered.
pub const RECOVERED_SHARE: f64 = 0.95;
/// Load of the recovery measure, as a share of the bound.
pub const RECOVERY_LOAD: f64 = 0.6;
/// Span over which the flow is averaged when it is judged as recovered.
const SMOOTHING: Duration = Duration::from_secs(1);
/// Offered loads, as shares of the bound.
pub const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.2];
/// Runs made at once.
const THREADS: usize = 6;
/// Slots of every engine, for the weights of requests.
const SLOTS: u32 = 4;

/// How large and long the runs are.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Replicas of the model.
    pub replicas: usize,
    /// Time that is measured after the warm-up.
    pub measured: Duration,
    /// Seed of all runs.
    pub seed: u64,
}

/// Throughput of one policy at one load.
#[derive(Clone, Debug)]
pub struct Throughput {
    /// Name of the mix.
    pub mix: &'static str,
    /// Who decided.
    pub policy: Policy,
    /// Offered load as a share of the bound.
    pub load: f64,
    /// Bound in requests a second.
    pub bound: f64,
    /// Share of the requests answered whole within their deadline.
    pub served: f64,
    /// Work answered, as a share of the bound.
    pub of_bound: f64,
    /// Counts of the run.
    pub tally: Arc<Tally>,
}

/// Recovery of one policy after one fault.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// Name of the mix.
    pub mix: &'static str,
    /// Who decided.
    pub policy: Policy,
    /// What happened.
    pub fault: Fault,
    /// When it happened.
    pub at: Instant,
    /// Time until the flow was back; `None` if it was not.
    pub flow: Option<Duration>,
    /// Pause that 95 in 100 of the answers in progress stayed under.
    pub pause: Duration,
    /// Requests lost that could have been saved.
    pub lost: usize,
    /// Counts of the run.
    pub tally: Arc<Tally>,
}

impl Recovery {
    /// Longest time that the flow may take to be back.
    pub const fn target(fault: Fault) -> Duration {
        match fault {
            Fault::Stage | Fault::Engine | Fault::Link | Fault::Leave => Duration::from_secs(1),
            Fault::Third | Fault::Domain => Duration::from_secs(3),
        }
    }
}

/// Measures throughput at `load` times the bound.
pub fn throughput(scale: Scale, mix: &Mix, load: f64, policy: Policy) -> Throughput {
    let fleet = Fleet::new(scale.replicas);
    let bound = bound(&fleet, mix, |_| true);
    let duration = mix.warm_up + scale.measured;
    let rate = bound * load;
    let seed = scale.seed;
    let plan = Plan { fleet: &fleet, mix, rate, duration, fault: None, policy, seed };
    let tally = run(plan);
    let (from, to) = (Instant::ZERO + mix.warm_up, Instant::ZERO + duration);
    let (prompt, answer) = mix.means();
    let weight = |prompt, answer| work(prompt, answer, SLOTS);
    let carried = bound * weight(prompt, answer) * scale.measured.as_secs_f64();
    Throughput {
        mix: mix.name,
        policy,
        load,
        bound,
        served: tally.served_share(from, to),
        of_bound: tally.work(from, to, weight) / carried,
        tally: tally.into(),
    }
}

/// Measures the recovery after `fault`, beside a run without it.
pub fn recovery(scale: Scale, mix: &Mix, fault: Fault, policy: Policy) -> Recovery {
    let fleet = Fleet::new(scale.replicas);
    let whole = bound(&fleet, mix, |_| true);
    let hit = fault.hits(&fleet);
    let gone = |at| hit.health.is_some() && hit.endpoints.contains(&at);
    let left = bound(&fleet, mix, |at| !gone(at));
    let at = Instant::ZERO + mix.warm_up;
    let duration = mix.warm_up + scale.measured;
    let plan = Plan {
        fleet: &fleet,
        mix,
        rate: whole * RECOVERY_LOAD,
        duration,
        fault: Some((fault, at)),
        policy,
        seed: scale.seed,
    };
    let tally = run(plan);
    let calm = run(Plan { fault: None, policy: Policy::Library, ..plan });
    let tokens = left * mix.means().1;
    let flow = recovered(&tally, &calm, tokens, at, Instant::ZERO + duration);
    let lost = tally.done.iter().filter(|done| done.end == End::Lost).count();
    let pause = tally.pause(0.95);
    Recovery { mix: mix.name, policy, fault, at, flow, pause, lost, tally: tally.into() }
}

/// Time from the fault until the mean flow of the next second is back.
fn recovered(
    tally: &Tally,
    calm: &Tally,
    bound: f64,
    fault: Instant,
    end: Instant,
) -> Option<Duration> {
    let mut from = fault;
    while from + SMOOTHING <= end {
        let to = from + SMOOTHING;
        let wanted = calm.flow_over(from, to).min(bound);
        if tally.flow_over(from, to) >= RECOVERED_SHARE * wanted {
            return Some(from.since(fault));
        }
        from = from + super::tally::BIN;
    }
    None
}

/// Makes all runs, or those of one mix.
pub fn all(scale: Scale, only: Option<&str>) -> (Vec<Throughput>, Vec<Recovery>) {
    let mixes = [BOARD, AKSU].into_iter().filter(|mix| only.is_none_or(|name| name == mix.name));
    let policies = [Policy::Library, Policy::Naive];
    let (mut throughputs, mut recoveries) = (Vec::new(), Vec::new());
    for mix in mixes {
        for policy in policies {
            let loads: Vec<f64> = LOADS.to_vec();
            throughputs.extend(parallel(loads, |load| throughput(scale, &mix, load, policy)));
            let faults = Fault::ALL.to_vec();
            recoveries.extend(parallel(faults, |fault| recovery(scale, &mix, fault, policy)));
        }
    }
    (throughputs, recoveries)
}

/// Makes runs on a thread each, [`THREADS`] at a time.
fn parallel<T: Copy + Send, R: Send>(inputs: Vec<T>, act: impl Fn(T) -> R + Sync) -> Vec<R> {
    let mut results = Vec::new();
    for group in inputs.chunks(THREADS) {
        thread::scope(|scope| {
            let act = &act;
            let runs: Vec<_> = group.iter().map(|&input| scope.spawn(move || act(input))).collect();
            results.extend(runs.into_iter().map(|run| run.join().expect("a run does not panic")));
        });
    }
    results
}
