//! State of one endpoint.

use smallvec::SmallVec;

use super::ejection::Ejection;
use super::leaving::LeavingState;
use super::slowness::SlownessFactor;
use super::{Availability, Condition, Report, Settings, time_model};
use crate::engine::Load;
use crate::time::Instant;

/// An endpoint's processing and link times as given in the configuration.
#[derive(Clone, Copy, Debug)]
pub(super) struct DeclaredPerformance {
    pub(super) layer_us: f32,
    pub(super) one_way_us: f32,
    pub(super) bytes_per_second: f32,
}

/// State of one endpoint, from all sources.
#[derive(Debug)]
pub(super) struct EndpointHealth {
    /// Index of the group in which slow outliers are determined.
    pub(super) outlier_group: u32,
    pub(super) declared: DeclaredPerformance,
    pub(super) leaving_state: LeavingState,
    /// Set if the endpoint was found to be leaving before its incarnation was known:
    /// the VM list generation at that time.
    refused_at_generation: Option<u64>,
    /// Time of the poll from which this router learned of the current incarnation;
    /// zero for the first incarnation known.
    pub(super) incarnation_seen_at: Instant,
    pub(super) polled_at: Instant,
    pub(super) sequence: u64,
    pub(super) load: Load,
    pub(super) ejection: Ejection,
    pub(super) observed_exchanges: u32,
    pub(super) consecutive_failures: u8,
    pub(super) paused_until: Instant,
    pub(super) service_slowness: SlownessFactor,
    pub(super) link_slowness: SlownessFactor,
    /// Start times of this router's own work in flight.
    in_flight: SmallVec<[Instant; 2]>,
    /// Number of this router's requests that started before the latest report and
    /// have finished since.
    finished_since_report: u32,
}

impl EndpointHealth {
    pub(super) fn new(group: u32, declared: DeclaredPerformance) -> Self {
        Self {
            outlier_group: group,
            declared,
            leaving_state: LeavingState::default(),
            refused_at_generation: None,
            incarnation_seen_at: Instant::ZERO,
            polled_at: Instant::ZERO,
            sequence: 0,
            load: Load::default(),
            ejection: Ejection::default(),
            observed_exchanges: 0,
            consecutive_failures: 0,
            paused_until: Instant::ZERO,
            service_slowness: SlownessFactor::default(),
            link_slowness: SlownessFactor::default(),
            in_flight: SmallVec::new(),
            finished_since_report: 0,
        }
    }

    pub(super) fn begin(&mut self, now: Instant) {
        self.in_flight.push(now);
    }

    pub(super) fn end(&mut self, started: Instant) {
        let Some(index) = self.in_flight.iter().position(|&at| at == started) else { return };
        self.in_flight.swap_remove(index);
        if started <= self.polled_at {
            self.finished_since_report += 1;
        }
    }

    /// Records that the endpoint refused work as leaving or reported that it is
    /// leaving.
    ///
    /// If its incarnation is unknown, this applies to the next one learned, unless
    /// a newer VM list withdraws it first.
    pub(super) fn record_leaving(&mut self) {
        if !self.leaving_state.record_leaving() {
            self.refused_at_generation = Some(self.leaving_state.generation());
        }
    }

    /// Applies the VM list's entry for the endpoint.
    pub(super) fn apply_vm_list(&mut self, generation: u64, leaving: bool) {
        self.leaving_state.apply_vm_list(generation, leaving);
        self.refused_at_generation =
            self.refused_at_generation.filter(|&refused_at| generation <= refused_at);
    }

    /// Merges the leaving state known to another source; if that
    /// replaces a known incarnation by a newer one, resets the failure count and
    /// ends a current ejection, so that the ramp to full weight starts.
    pub(super) fn merge_leaving(&mut self, leaving_state: &LeavingState, seen_at: Instant) {
        let before = self.leaving_state.incarnation();
        self.leaving_state.merge(leaving_state);
        if before > 0 && self.leaving_state.incarnation() > before {
            self.incarnation_seen_at = seen_at;
            self.consecutive_failures = 0;
            self.ejection.end_early(seen_at);
        }
        if self.refused_at_generation.is_some() && self.leaving_state.record_leaving() {
            self.refused_at_generation = None;
        }
    }

    /// Merges a report, unless a newer one is known.
    pub(super) fn merge_report(&mut self, report: &Report) {
        self.merge_leaving(&report.leaving_state, report.polled_at);
        if (report.polled_at, report.sequence) <= (self.polled_at, self.sequence) {
            return;
        }
        self.polled_at = report.polled_at;
        self.sequence = report.sequence;
        self.load = report.load.clone();
        self.finished_since_report = 0;
    }

    /// Estimated number of sequences at the endpoint: the reported number, minus
    /// own work finished since, plus the work started since by `router_count`
    /// routers, each assumed to have started as much as this one.
    fn sequences(&self, router_count: u32) -> u32 {
        let own_started_since =
            self.in_flight.iter().filter(|&&started| started > self.polled_at).count() as u32;
        let started_since = own_started_since.saturating_mul(router_count);
        let reported = self.load.queued.saturating_add(self.load.running);
        reported.saturating_sub(self.finished_since_report).saturating_add(started_since)
    }

    pub(super) fn availability(&self, now: Instant) -> Availability {
        if self.is_leaving() {
            return Availability::Leaving;
        }
        self.ejection.availability(now)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving_state.is_leaving() || self.refused_at_generation.is_some()
    }

    /// The larger of the service and link slowness factors.
    pub(super) fn slowness(&self, now: Instant) -> f32 {
        self.service_slowness.value(now).max(self.link_slowness.value(now))
    }

    pub(super) fn observe_service(&mut self, us: f32, layers: u16, tokens: u32, now: Instant) {
        let step = time_model::step_weight(tokens as f32);
        let batch = time_model::batch_weight(self.load.running);
        let expected = self.declared.layer_us * f32::from(layers) * step * batch;
        self.service_slowness.observe(us / expected.max(1.0), now);
    }

    pub(super) fn observe_link(&mut self, us: f32, bytes: u64, now: Instant) {
        self.link_slowness.observe(us / self.expected_link_us(bytes), now);
    }

    pub(super) fn expected_link_us(&self, bytes: u64) -> f32 {
        let DeclaredPerformance { one_way_us, bytes_per_second, .. } = self.declared;
        time_model::link_us(one_way_us, bytes as f32, bytes_per_second)
    }

    pub(super) fn condition(
        &self,
        settings: &Settings,
        router_count: u32,
        now: Instant,
    ) -> Condition {
        Condition {
            availability: self.availability(now),
            sequences: self.sequences(router_count),
            service_factor: self.service_slowness.value(now),
            link_factor: self.link_slowness.value(now),
            weight: self.ejection.weight(settings, now),
            overloaded: now < self.paused_until,
        }
    }
}
