//! Benchmarks of throughput relative to its upper bound and of fault recovery.

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

/// Minimum share of the offered load served when 95% of the bound is offered.
pub const SERVED_TARGET: f64 = 0.95;
/// Minimum share of the bound served under overload.
pub const OVERLOAD_TARGET: f64 = 0.93;
/// Share of the expected token throughput at which a run counts as recovered.
pub const RECOVERED_SHARE: f64 = 0.95;
/// Offered load of the recovery benchmark, as a share of the bound.
pub const RECOVERY_LOAD: f64 = 0.6;
/// Window over which token throughput is averaged to detect recovery.
const SMOOTHING: Duration = Duration::from_secs(1);
/// Offered loads, as shares of the bound.
pub const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.2];
/// Maximum number of concurrent runs.
const THREADS: usize = 6;
/// Slots per engine, used to weight requests.
const SLOTS: u32 = 4;

/// Size and duration of the runs.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Replicas of the model.
    pub replicas: usize,
    /// Measured time after the warm-up.
    pub measured: Duration,
    /// Seed of all runs.
    pub seed: u64,
}

/// Throughput of one policy at one load.
#[derive(Clone, Debug)]
pub struct Throughput {
    /// Name of the mix.
    pub mix: &'static str,
    /// Policy under test.
    pub policy: Policy,
    /// Offered load as a share of the bound.
    pub load: f64,
    /// Throughput bound in requests per second.
    pub bound: f64,
    /// Share of the requests answered completely within their deadline.
    pub served: f64,
    /// Completed work as a share of the bound.
    pub of_bound: f64,
    /// Statistics of the run.
    pub tally: Arc<Tally>,
}

/// Recovery of one policy after one fault.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// Name of the mix.
    pub mix: &'static str,
    /// Policy under test.
    pub policy: Policy,
    /// The injected fault.
    pub fault: Fault,
    /// Time of the fault.
    pub at: Instant,
    /// Time until token throughput recovered; `None` if it did not.
    pub flow: Option<Duration>,
    /// 95th percentile of the pause in answers that were in progress.
    pub pause: Duration,
    /// Number of admitted requests that failed, without those whose router was lost.
    pub lost: usize,
    /// Statistics of the run.
    pub tally: Arc<Tally>,
}

impl Recovery {
    /// Maximum time for token throughput to recover.
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
    let bound_work = bound * weight(prompt, answer) * scale.measured.as_secs_f64();
    Throughput {
        mix: mix.name,
        policy,
        load,
        bound,
        served: tally.served_share(from, to),
        of_bound: tally.work(from, to, weight) / bound_work,
        tally: tally.into(),
    }
}

/// Measures the recovery after `fault`, relative to a run without the fault.
pub fn recovery(scale: Scale, mix: &Mix, fault: Fault, policy: Policy) -> Recovery {
    let fleet = Fleet::new(scale.replicas);
    let full_bound = bound(&fleet, mix, |_| true);
    let impact = fault.impact(&fleet);
    let removed = |at| impact.health.is_some() && impact.endpoints.contains(&at);
    let remaining_bound = bound(&fleet, mix, |at| !removed(at));
    let at = Instant::ZERO + mix.warm_up;
    let duration = mix.warm_up + scale.measured;
    let plan = Plan {
        fleet: &fleet,
        mix,
        rate: full_bound * RECOVERY_LOAD,
        duration,
        fault: Some((fault, at)),
        policy,
        seed: scale.seed,
    };
    let tally = run(plan);
    let fault_free = run(Plan { fault: None, policy: Policy::Library, ..plan });
    let tokens = remaining_bound * mix.means().1;
    let flow = time_to_recover(&tally, &fault_free, tokens, at, Instant::ZERO + duration);
    let lost = tally.done.iter().filter(|done| done.end == End::Lost).count();
    let pause = tally.pause(0.95);
    Recovery { mix: mix.name, policy, fault, at, flow, pause, lost, tally: tally.into() }
}

/// Time from the fault to the first window whose mean token throughput has
/// recovered.
fn time_to_recover(
    tally: &Tally,
    fault_free: &Tally,
    bound: f64,
    fault: Instant,
    end: Instant,
) -> Option<Duration> {
    let mut from = fault;
    while from + SMOOTHING <= end {
        let to = from + SMOOTHING;
        let expected = fault_free.flow_over(from, to).min(bound);
        if tally.flow_over(from, to) >= RECOVERED_SHARE * expected {
            return Some(from.since(fault));
        }
        from = from + super::tally::BIN;
    }
    None
}

/// Runs all benchmarks, or those of one mix.
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

/// Runs `act` on a thread per input, at most [`THREADS`] at a time.
fn parallel<T: Copy + Send, R: Send>(inputs: Vec<T>, act: impl Fn(T) -> R + Sync) -> Vec<R> {
    let mut results = Vec::new();
    for group in inputs.chunks(THREADS) {
        thread::scope(|scope| {
            let act = &act;
            let runs: Vec<_> = group.iter().map(|&input| scope.spawn(move || act(input))).collect();
            results
                .extend(runs.into_iter().map(|run| run.join().expect("benchmark thread panicked")));
        });
    }
    results
}
