//! State of one endpoint.

use smallvec::SmallVec;

use super::ejection::Ejection;
use super::factor::Factor;
use super::leaving::Marks;
use super::{Condition, Report, Settings, Standing, model};
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
    pub(super) marks: Marks,
    /// When the present incarnation was first seen.
    pub(super) incarnated: Instant,
    pub(super) taken: Instant,
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
            marks: Marks::default(),
            incarnated: Instant::ZERO,
            taken: Instant::ZERO,
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
        if started <= self.taken {
            self.finished += 1;
        }
    }

    /// Takes in a report unless a newer one is known.
    pub(super) fn report(&mut self, report: &Report) {
        self.marks.merge(&report.marks);
        if (report.taken, report.sequence) <= (self.taken, self.sequence) {
            return;
        }
        self.taken = report.taken;
        self.sequence = report.sequence;
        self.load = report.load.clone();
        self.finished = 0;
    }

    /// Sequences at the endpoint: the report, less own work finished since,
    /// plus own work begun since.
    fn sequences(&self) -> u32 {
        let begun = self.flight.iter().filter(|&&at| at > self.taken).count();
        let reported = self.load.queued.saturating_add(self.load.running);
        reported.saturating_sub(self.finished).saturating_add(begun as u32)
    }

    pub(super) fn standing(&self, now: Instant) -> Standing {
        if self.marks.is_leaving() {
            return Standing::Leaving;
        }
        self.ejection.standing(now)
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

    pub(super) fn condition(&self, settings: &Settings, now: Instant) -> Condition {
        Condition {
            standing: self.standing(now),
            sequences: self.sequences(),
            service_factor: self.service.at(now),
            link_factor: self.link.at(now),
            weight: self.ejection.weight(settings, now),
            overloaded: now < self.paused_until,
        }
    }
}
