//! Event handlers of the simulated engines.

use std::time::Duration;

use mimosashift::engine::{Failure, Label, Output};

use super::{LEAVE_GRACE, Simulation};
use crate::policy::call::Driver;
use crate::policy::engine::{Health, Job};
use crate::policy::event::Event;
use crate::policy::link::Link;

impl Simulation<'_> {
    pub(super) fn on_step_arrival(&mut self, to: usize, job: Job) {
        if job.step.label.position == 0 {
            self.check_leaving(to);
        }
        if self.engines[to].health == Health::Silent {
            return;
        }
        if self.engines[to].health == Health::Crashed {
            let failure = Failure::Unreachable("connection refused".to_owned());
            return self.reply(to, job, Err(failure));
        }
        match self.engines[to].enqueue(job) {
            None => self.start_iteration(to),
            Some((job, failure)) => self.reply(to, job, Err(failure)),
        }
    }

    /// Records a violation if new work reaches an endpoint that has been leaving for
    /// longer than [`LEAVE_GRACE`].
    pub(super) fn check_leaving(&mut self, to: usize) {
        let leaving = self.engines[to].health == Health::Leaving;
        let since = self.plan.fault.map(|(_, at)| self.now.since(at));
        if leaving && since.is_some_and(|since| since > LEAVE_GRACE) {
            self.tally.record_violation("new work for a leaving endpoint", self.now);
        }
    }

    pub(super) fn start_iteration(&mut self, at: usize) {
        if let Some(time) = self.engines[at].start() {
            let epoch = self.engines[at].epoch;
            self.schedule(time, Event::IterationEnd { at, epoch });
        }
    }

    pub(super) fn finish_iteration(&mut self, at: usize, epoch: u32) {
        if self.engines[at].epoch != epoch {
            return;
        }
        for (job, result) in self.engines[at].finish() {
            if result.is_ok() {
                self.calls[job.call].steps_run += 1;
                self.tally.steps += 1;
            }
            self.reply(at, job, result);
        }
        self.start_iteration(at);
    }

    pub(super) fn reply(&mut self, from: usize, job: Job, result: Result<Output, Failure>) {
        let latency = self.plan.fleet.latency(job.router, from);
        let bytes = result.as_ref().map_or(0, Link::bytes);
        let after = self.links[from].reply(bytes, self.now, latency);
        let label = job.step.label;
        self.schedule(after, Event::Answer { call: job.call, from, label, result });
    }

    pub(super) fn export(&mut self, call: usize, from: usize, to: usize, label: Label) {
        let readable = matches!(self.engines[from].health, Health::Up | Health::Leaving);
        let cache = if readable { self.engines[from].export(call, &label) } else { None };
        let after = match &cache {
            Some(_) => Link::copy(&mut self.links, from, to, &label, self.now),
            None => Duration::from_millis(1),
        };
        self.schedule(after, Event::Import { call, to, label, cache });
    }

    pub(super) fn import(&mut self, call: usize, to: usize, label: Label, cache: Option<Vec<u64>>) {
        let router = self.calls[call].router;
        let latency = self.plan.fleet.latency(router, to);
        let result = match (cache, self.engines[to].health) {
            (_, Health::Silent) => return,
            (Some(cache), Health::Up | Health::Leaving) => {
                self.check_leaving(to);
                self.engines[to].import(call, label.attempt, cache);
                Ok(())
            }
            _ => Err(Failure::NoCache),
        };
        self.schedule(latency, Event::CopyResult { call, to, label, result });
    }

    pub(super) fn on_copy_result(
        &mut self,
        number: usize,
        to: usize,
        label: &Label,
        result: &Result<(), Failure>,
    ) {
        let now = self.now;
        let call = &mut self.calls[number];
        let Driver::Machine { machine, .. } = &mut call.driver else { return };
        let name = &self.plan.fleet.endpoints[to].0;
        let router = &mut self.routers[call.router];
        let result = result.as_ref().copied();
        let actions = machine.on_import(&mut router.context(now), name, label, result);
        self.apply_actions(number, actions);
    }
}
