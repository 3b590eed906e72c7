//! The state of all endpoints: commands that record observations, and queries.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::state::{DeclaredPerformance, EndpointHealth};
use super::{Availability, Condition, Error, HealthView, Report, ReportBatch, Settings};
use crate::engine::{Failure, Load};
use crate::resource::{Endpoint, Name, Role, Snapshot};
use crate::route::Distances;
use crate::time::Instant;

/// A step or probe that an endpoint answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Number of layers run; 0 for a probe, which observes only the link.
    pub layers: u16,
    /// Number of tokens in the step.
    pub tokens: u32,
    /// Total size of the request and the response, in bytes.
    pub bytes: u64,
    /// Time from sending the request to receiving the complete response.
    pub total: Duration,
    /// Processing time reported by the engine, excluding the link.
    pub service: Option<Duration>,
}

/// State of all configured endpoints as known to one router.
#[derive(Debug)]
pub struct Registry {
    settings: Settings,
    router_count: u32,
    states: HashMap<Name, EndpointHealth>,
}

/// Methods that change the state.
impl Registry {
    /// Creates an empty registry.
    pub fn new(settings: Settings) -> Self {
        Self { settings, router_count: 1, states: HashMap::new() }
    }

    /// Applies a configuration: new endpoints start live, the state of removed
    /// ones is dropped, the others keep their state.
    pub fn install(&mut self, snapshot: &Snapshot, distances: &Distances) {
        let mut groups = HashMap::new();
        let mut old = std::mem::take(&mut self.states);
        for (name, endpoint) in snapshot.endpoints() {
            let next = groups.len() as u32;
            let group = *groups.entry(group_key(endpoint)).or_insert(next);
            let declared = declared_performance(endpoint, distances);
            let mut state =
                old.remove(name).unwrap_or_else(|| EndpointHealth::new(group, declared));
            state.outlier_group = group;
            state.declared = declared;
            self.states.insert(name.clone(), state);
        }
    }

    /// Sets the number of routers, including this one, that send about as much
    /// work as this one to the same endpoints. Each is assumed to have started
    /// as much work since the last report as this router.
    pub fn set_routers(&mut self, router_count: u32) {
        self.router_count = router_count.max(1);
    }

    /// Records that this router started work at `endpoint`.
    pub fn begin(&mut self, endpoint: &Name, now: Instant) {
        if let Some(state) = self.states.get_mut(endpoint) {
            state.begin(now);
        }
    }

    /// Records that the work started at `started` has ended, with any result.
    pub fn end(&mut self, endpoint: &Name, started: Instant) {
        if let Some(state) = self.states.get_mut(endpoint) {
            state.end(started);
        }
    }

    /// Records an answered step or probe.
    pub fn record_success(&mut self, endpoint: &Name, exchange: &Exchange, now: Instant) {
        let Some(state) = self.states.get_mut(endpoint) else { return };
        state.consecutive_failures = 0;
        state.observed_exchanges = state.observed_exchanges.saturating_add(1);
        let total = micros(exchange.total);
        let link = match exchange.service {
            Some(service) => (total - micros(service)).max(0.0),
            None if exchange.layers == 0 => total,
            None => state.expected_link_us(exchange.bytes).min(total),
        };
        if exchange.service.is_some() || exchange.layers == 0 {
            state.observe_link(link, exchange.bytes, now);
        }
        if exchange.layers > 0 {
            state.observe_service(total - link, exchange.layers, exchange.tokens, now);
        }
    }

    /// Records a failed step or probe that was sent at `started`.
    ///
    /// A refusal by a leaving endpoint is ignored if the request was sent before
    /// the current incarnation was first seen, since it may come from an older one.
    pub fn record_failure(
        &mut self,
        endpoint: &Name,
        failure: &Failure,
        started: Instant,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) {
        let Some(state) = self.states.get_mut(endpoint) else { return };
        match failure {
            Failure::Leaving if started < state.incarnation_seen_at => {}
            Failure::Leaving => state.record_leaving(),
            Failure::Overloaded => {
                let pause = self.settings.overload_pause.mul_f64(rng.random_range(0.5..1.5));
                state.paused_until = now + pause;
            }
            Failure::NoCache | Failure::Refused(_) => {}
            Failure::Unreachable(_) | Failure::Silent(_) | Failure::Malformed(_) => {
                state.consecutive_failures = state.consecutive_failures.saturating_add(1);
                let limit = self.settings.consecutive_failures;
                if state.consecutive_failures >= limit
                    && state.availability(now) < Availability::Unreachable
                {
                    state.ejection.eject(Availability::Unreachable, &self.settings, now, rng);
                }
            }
        }
    }

    /// Records a load that this router polled itself.
    ///
    /// `incarnation` increases with each start of the endpoint; it is 0 if the
    /// endpoint does not report one.
    pub fn record_poll(
        &mut self,
        endpoint: &Name,
        incarnation: u64,
        load: &Load,
        sequence: u64,
        now: Instant,
    ) {
        let Some(state) = self.states.get_mut(endpoint) else { return };
        let mut leaving_state = state.leaving_state;
        leaving_state.apply_report(incarnation, false);
        state.merge_leaving(&leaving_state, now);
        if load.leaving {
            state.record_leaving();
        }
        let leaving_state = state.leaving_state;
        let endpoint = endpoint.clone();
        state.merge_report(&Report {
            endpoint,
            polled_at: now,
            sequence,
            load: load.clone(),
            leaving_state,
        });
    }

    /// Applies a complete VM list; `leaving` says whether an endpoint's VM is
    /// leaving.
    pub fn apply_vm_list(&mut self, generation: u64, leaving: impl Fn(&Name) -> bool) {
        for (name, state) in &mut self.states {
            state.apply_vm_list(generation, leaving(name));
        }
    }

    /// Merges reports from another router, in any order and any number of times;
    /// returns an error for each report that was rejected. Outdated reports are
    /// ignored.
    pub fn merge(&mut self, batch: &ReportBatch, now: Instant) -> Vec<Error> {
        batch.reports.iter().filter_map(|report| self.merge_one(report, now).err()).collect()
    }

    /// Ejects slow outliers; call it about once a second.
    pub fn eject_outliers(&mut self, now: Instant, rng: &mut Pcg64Mcg) {
        let mut groups: HashMap<u32, Vec<(f32, &Name)>> = HashMap::new();
        for (name, state) in &self.states {
            let slowness = state.slowness(now);
            groups.entry(state.outlier_group).or_default().push((slowness, name));
        }
        let mut outliers = Vec::new();
        for members in groups.values_mut() {
            members.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
            outliers.extend(self.outliers(members, now).into_iter().cloned());
        }
        outliers.sort();
        for name in &outliers {
            let state = self.states.get_mut(name).expect("outliers come from the states");
            state.ejection.eject(Availability::Slow, &self.settings, now, rng);
        }
    }

    fn merge_one(&mut self, report: &Report, now: Instant) -> Result<(), Error> {
        let endpoint = &report.endpoint;
        let lead = report.polled_at.since(now);
        if lead > self.settings.max_clock_skew {
            return Err(Error::TooFarInFuture { endpoint: endpoint.clone(), lead });
        }
        let state = self
            .states
            .get_mut(endpoint)
            .ok_or_else(|| Error::UnknownEndpoint { endpoint: endpoint.clone() })?;
        state.merge_report(report);
        Ok(())
    }
}

/// Methods that read the state.
impl Registry {
    /// Reports polled after `since` or on leaving endpoints, for other routers.
    pub fn reports_since(&self, since: Instant) -> ReportBatch {
        let is_shared =
            |state: &EndpointHealth| state.polled_at > since || state.leaving_state.is_leaving();
        let states = self.states.iter().filter(|(_, state)| is_shared(state));
        let mut reports: Vec<Report> =
            states.map(|(name, state)| build_report(name, state)).collect();
        reports.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        ReportBatch { reports }
    }

    /// Number of configured endpoints.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no endpoint is configured.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Members of a group to eject as outliers; `members` is sorted by
    /// decreasing slowness.
    fn outliers<'a>(&self, members: &[(f32, &'a Name)], now: Instant) -> Vec<&'a Name> {
        let availability = |name: &Name| self.states[name].availability(now);
        let ejected =
            members.iter().filter(|(_, name)| availability(name) != Availability::Live).count();
        let allowed = (members.len() as f64 * self.settings.max_ejected_share) as usize;
        let median = members[members.len() / 2].0;
        let limit = median.max(1.0) * self.settings.outlier_ratio;
        members
            .iter()
            .take_while(|(slowness, _)| *slowness >= limit)
            .map(|(_, name)| *name)
            .filter(|name| availability(name) == Availability::Live)
            .filter(|name| {
                self.states[*name].observed_exchanges >= self.settings.min_outlier_samples
            })
            .take(allowed.saturating_sub(ejected))
            .collect()
    }
}

impl HealthView for Registry {
    fn condition(&self, endpoint: &Name, now: Instant) -> Condition {
        let state = self.states.get(endpoint);
        state.map_or(Condition::IDLE, |s| s.condition(&self.settings, self.router_count, now))
    }
}

fn build_report(endpoint: &Name, state: &EndpointHealth) -> Report {
    Report {
        endpoint: endpoint.clone(),
        polled_at: state.polled_at,
        sequence: state.sequence,
        load: state.load.clone(),
        leaving_state: state.leaving_state,
    }
}

/// Key of the group in which the endpoint's slowness is compared: the same
/// service, or the same pipeline, version and first layer of the first held range.
fn group_key(endpoint: &Endpoint) -> (Option<&Name>, u32, u16) {
    match &endpoint.role {
        Role::Service(service) => (Some(service), 0, 0),
        Role::Engine(engine) => match engine.holds.first() {
            Some(held) => (Some(&held.pipeline), held.version, held.layers.start()),
            None => (None, 0, 0),
        },
    }
}

fn declared_performance(endpoint: &Endpoint, distances: &Distances) -> DeclaredPerformance {
    let inter_domain_us = micros(distances.to(&endpoint.domain));
    match &endpoint.role {
        Role::Engine(engine) => DeclaredPerformance {
            layer_us: engine.layer_us as f32,
            one_way_us: engine.link_us as f32 + inter_domain_us,
            bytes_per_second: engine.link_bytes_per_second as f32,
        },
        // A service declares no speed; these values stand in for it.
        Role::Service(_) => DeclaredPerformance {
            layer_us: 1.0,
            one_way_us: inter_domain_us,
            bytes_per_second: 1e9,
        },
    }
}

fn micros(time: Duration) -> f32 {
    time.as_secs_f32() * 1e6
}
