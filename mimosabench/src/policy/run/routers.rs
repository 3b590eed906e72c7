//! What routers do without being asked, and what fails.

use std::time::Duration;

use mimosashift::engine::Failure;
use mimosashift::resource::Name;

use super::{QUEUE_INTERVAL, REPORT_INTERVAL, UPKEEP_INTERVAL, World};
use crate::policy::call::{Driver, End};
use crate::policy::engine::Health;
use crate::policy::event::Event;
use crate::policy::fleet::{self, ROUTERS};

impl World<'_> {
    pub(super) fn sample(&mut self) {
        for (report, engine) in self.reports.iter_mut().zip(&self.engines) {
            let next = std::mem::replace(&mut report.1, engine.load());
            report.0 = next;
        }
        self.later(REPORT_INTERVAL, Event::Sample);
    }

    pub(super) fn upkeep(&mut self, number: usize) {
        if !self.routers[number].up {
            return;
        }
        let now = self.now;
        let up: Vec<usize> = (0..ROUTERS).filter(|&at| self.routers[at].up).collect();
        let place = up.iter().position(|&at| at == number).expect("it is up");
        for (at, (name, _)) in self.plan.fleet.endpoints.iter().enumerate() {
            if at % up.len() == place {
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
        self.later(UPKEEP_INTERVAL, Event::Upkeep { router: number });
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

    pub(super) fn look_at_queue(&mut self, number: usize) {
        if !self.routers[number].up {
            return;
        }
        let mut out = Vec::new();
        self.routers[number].admission.poll(self.now, &mut out);
        self.verdicts(number, out);
        self.later(QUEUE_INTERVAL, Event::Queue { router: number });
    }

    // Faults.

    pub(super) fn fault(&mut self) {
        let Some((fault, _)) = self.plan.fault else { return };
        let hit = fault.hits(self.plan.fleet);
        for &at in &hit.endpoints {
            if let Some(health) = hit.health {
                self.fail_engine(at, health);
            }
            if let Some(factor) = hit.slower {
                self.links[at].degrade(factor);
            }
        }
        for &router in &hit.routers {
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

    pub(super) fn listed(&mut self) {
        let Some((fault, _)) = self.plan.fault else { return };
        let hit = fault.hits(self.plan.fleet);
        if hit.health != Some(Health::Leaving) {
            return;
        }
        for router in self.routers.iter_mut().filter(|router| router.up) {
            router.health.apply_vm_list(1, |name| hit.endpoints.contains(&fleet::number(name)));
        }
    }
}
