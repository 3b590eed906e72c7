//! Periodic router tasks and fault injection.

use std::time::Duration;

use mimosashift::engine::Failure;
use mimosashift::resource::Name;

use super::{QUEUE_INTERVAL, REPORT_INTERVAL, Simulation, UPKEEP_INTERVAL};
use crate::policy::call::{Driver, End};
use crate::policy::engine::Health;
use crate::policy::event::Event;
use crate::policy::fleet::{self, ROUTERS};

impl Simulation<'_> {
    pub(super) fn sample_loads(&mut self) {
        for (report, engine) in self.reports.iter_mut().zip(&self.engines) {
            let next = std::mem::replace(&mut report.1, engine.load());
            report.0 = next;
        }
        self.schedule(REPORT_INTERVAL, Event::Sample);
    }

    pub(super) fn run_upkeep(&mut self, number: usize) {
        if !self.routers[number].up {
            return;
        }
        let now = self.now;
        let up: Vec<usize> = (0..ROUTERS).filter(|&at| self.routers[at].up).collect();
        let index = up.iter().position(|&at| at == number).expect("this router is up");
        for (at, (name, _)) in self.plan.fleet.endpoints.iter().enumerate() {
            if at % up.len() == index {
                self.poll(number, at, name);
            }
        }
        let router = &mut self.routers[number];
        router.sweep(now);
        let share = router.health.reports_since(router.shared);
        router.shared = now;
        for other in up.into_iter().filter(|&other| other != number) {
            self.routers[other].health.merge(&share, now);
        }
        self.schedule(UPKEEP_INTERVAL, Event::Upkeep { router: number });
    }

    pub(super) fn poll(&mut self, router: usize, at: usize, name: &Name) {
        let now = self.now;
        match self.engines[at].health {
            Health::Up | Health::Leaving => {
                let load = self.reports[at].0.clone();
                self.routers[router].poll(name, &load, now);
            }
            Health::Crashed => {
                let failure = Failure::Unreachable("connection refused".to_owned());
                self.routers[router].fail(name, &failure, now, now);
            }
            Health::Silent => {
                let failure = Failure::Silent(Duration::from_millis(500));
                self.routers[router].fail(name, &failure, now, now);
            }
        }
    }

    pub(super) fn poll_queue(&mut self, number: usize) {
        if !self.routers[number].up {
            return;
        }
        let mut out = Vec::new();
        self.routers[number].admission.poll(self.now, &mut out);
        self.apply_decisions(number, out);
        self.schedule(QUEUE_INTERVAL, Event::Queue { router: number });
    }

    // Fault injection.

    pub(super) fn inject_fault(&mut self) {
        let Some((fault, _)) = self.plan.fault else { return };
        let impact = fault.impact(self.plan.fleet);
        for &at in &impact.endpoints {
            if let Some(health) = impact.health {
                self.fail_engine(at, health);
            }
            if let Some(factor) = impact.slowdown {
                self.links[at].degrade(factor);
            }
        }
        for &router in &impact.routers {
            self.routers[router].up = false;
            for number in 0..self.calls.len() {
                if self.calls[number].router == router && self.calls[number].end == End::Open {
                    self.calls[number].driver = Driver::Done;
                    self.calls[number].flight = None;
                    self.close(number, End::CutOff);
                }
            }
        }
    }

    pub(super) fn fail_engine(&mut self, at: usize, health: Health) {
        if health == Health::Leaving {
            self.engines[at].health = health;
            return;
        }
        let lost = self.engines[at].fail(health);
        if health == Health::Crashed {
            for job in lost {
                self.reply(at, job, Err(Failure::Silent(Duration::ZERO)));
            }
        }
    }

    pub(super) fn update_vm_list(&mut self) {
        let Some((fault, _)) = self.plan.fault else { return };
        let impact = fault.impact(self.plan.fleet);
        if impact.health != Some(Health::Leaving) {
            return;
        }
        for router in self.routers.iter_mut().filter(|router| router.up) {
            router.health.apply_vm_list(1, |name| impact.endpoints.contains(&fleet::number(name)));
        }
    }
}
