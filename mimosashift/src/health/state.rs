//! State of one endpoint.

use smallvec::SmallVec;

use super::ejection::Ejection;
use super::factor::Factor;
use super::leaving::LeavingState;
use super::{Availability, Condition, Report, Settings, model};
use crate::engine::Load;
use crate::time::Instant;

/// What the configuration says about an endpoint's speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Declared {
    pub(super) layer_us: f32,
    pub(super) one_way_us: f32,
    pub(super) bytes_per_second: f32,
}

/// State of one endpoint, from all sources.
#[derive(Debug)]
pub(super) struct State {
    pub(super) group: u32,
    pub(super) declared: Declared,
    pub(super) leaving_state: LeavingState,
    /// The VM list's generation at a refusal by an unknown incarnation.
    refused: Option<u64>,
    /// When the present incarnation was first seen.
    pub(super) incarnated: Instant,
    pub(super) polled_at: Instant,
    pub(super) sequence: u64,
    pub(super) load: Load,
    pub(super) ejection: Ejection,
    pub(super) samples: u32,
    pub(super) failures: u8,
    pub(super) paused_until: Instant,
    pub(super) service: Factor,
    pub(super) link: Factor,
    /// Start times of this router's own work in flight.
    flight: SmallVec<[Instant; 2]>,
    /// Own work that the report counts and that has finished since.
    finished: u32,
}

impl State {
    pub(super) fn new(group: u32, declared: Declared) -> Self {
        Self {
            group,
            declared,
            leaving_state: LeavingState::default(),
            refused: None,
            incarnated: Instant::ZERO,
            polled_at: Instant::ZERO,
            sequence: 0,
            load: Load::default(),
            ejection: Ejection::default(),
            samples: 0,
            failures: 0,
            paused_until: Instant::ZERO,
            service: Factor::default(),
            link: Factor::default(),
            flight: SmallVec::new(),
            finished: 0,
        }
    }

    pub(super) fn begin(&mut self, now: Instant) {
        self.flight.push(now);
    }

    pub(super) fn end(&mut self, started: Instant) {
        let Some(place) = self.flight.iter().position(|&at| at == started) else { return };
        self.flight.swap_remove(place);
        if started <= self.polled_at {
            self.finished += 1;
        }
    }

    /// Takes in that the endpoint says it is leaving.
    ///
    /// Without a known incarnation the refusal counts for the next one learnt,
    /// unless a newer VM list withdraws it before.
    pub(super) fn refuse(&mut self) {
        if !self.leaving_state.refuse() {
            self.refused = Some(self.leaving_state.generation());
        }
    }

    /// Takes in a statement of the VM list.
    pub(super) fn list(&mut self, generation: u64, leaving: bool) {
        self.leaving_state.list(generation, leaving);
        self.refused = self.refused.filter(|&refused| generation <= refused);
    }

    /// Takes in marks known elsewhere; a new incarnation starts to return.
    pub(super) fn merge_leaving(&mut self, leaving_state: &LeavingState, seen: Instant) {
        let before = self.leaving_state.incarnation();
        self.leaving_state.merge(leaving_state);
        if before > 0 && self.leaving_state.incarnation() > before {
            self.incarnated = seen;
            self.failures = 0;
            self.ejection.lift(seen);
        }
        if self.refused.is_some() && self.leaving_state.refuse() {
            self.refused = None;
        }
    }

    /// Takes in a report unless a newer one is known.
    pub(super) fn report(&mut self, report: &Report) {
        self.merge_leaving(&report.leaving_state, report.polled_at);
        if (report.polled_at, report.sequence) <= (self.polled_at, self.sequence) {
            return;
        }
        self.polled_at = report.polled_at;
        self.sequence = report.sequence;
        self.load = report.load.clone();
        self.finished = 0;
    }

    /// Sequences at the endpoint: the report, less own work finished since,
    /// plus the work that `routers` routers like this one began since.
    fn sequences(&self, routers: u32) -> u32 {
        let own = self.flight.iter().filter(|&&at| at > self.polled_at).count() as u32;
        let begun = own.saturating_mul(routers);
        let reported = self.load.queued.saturating_add(self.load.running);
        reported.saturating_sub(self.finished).saturating_add(begun)
    }

    pub(super) fn availability(&self, now: Instant) -> Availability {
        if self.is_leaving() {
            return Availability::Leaving;
        }
        self.ejection.availability(now)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving_state.is_leaving() || self.refused.is_some()
    }

    /// How many times slower than declared, over service and link.
    pub(super) fn slowness(&self, now: Instant) -> f32 {
        self.service.at(now).max(self.link.at(now))
    }

    pub(super) fn observe_service(&mut self, us: f32, layers: u16, tokens: u32, now: Instant) {
        let step = model::step_weight(tokens as f32);
        let batch = model::batch_weight(self.load.running);
        let expected = self.declared.layer_us * f32::from(layers) * step * batch;
        self.service.observe(us / expected.max(1.0), now);
    }

    pub(super) fn observe_link(&mut self, us: f32, bytes: u64, now: Instant) {
        self.link.observe(us / self.expected_link_us(bytes), now);
    }

    pub(super) fn expected_link_us(&self, bytes: u64) -> f32 {
        let Declared { one_way_us, bytes_per_second, .. } = self.declared;
        model::link_us(one_way_us, bytes as f32, bytes_per_second)
    }

    pub(super) fn condition(&self, settings: &Settings, routers: u32, now: Instant) -> Condition {
        Condition {
            availability: self.availability(now),
            sequences: self.sequences(routers),
            service_factor: self.service.at(now),
            link_factor: self.link.at(now),
            weight: self.ejection.weight(settings, now),
            overloaded: now < self.paused_until,
        }
    }
}
