//! What endpoints without a directory entry have said of themselves.
//!
//! It belongs to their processes and not to their entries: an entry that comes back from an
//! old copy of the store clears none of it. See `docs/design/fleet.md`, "What an endpoint has
//! said".

use std::collections::HashMap;
use std::time::Duration;

use super::{Incarnation, Member};
use crate::deployment::{Endpoint, EndpointStatus};
use crate::time::Instant;

/// Time for which it is kept, longer than a copy of the store is old.
const KEPT_FOR: Duration = Duration::from_secs(120);

/// Time for which peers are told that an endpoint is leaving; shorter, so that routers do not
/// remind each other of it for ever.
const SHARED_FOR: Duration = Duration::from_secs(60);

/// Maximum number of endpoints, the latest.
const MAX_PROCESSES: usize = 1024;

/// What one process has said.
#[derive(Clone, Copy, Debug)]
pub(super) struct Process {
    incarnation: u64,
    /// When it was dropped from the directory or, without an entry, first heard of.
    since: Instant,
    pub(super) leaving: bool,
    /// Heartbeat number of an entry in which it said that it is draining.
    draining_at: Option<u64>,
    pub(super) resting_until: Instant,
}

/// The latest process of each endpoint, by the key of its id.
#[derive(Debug, Default)]
pub(super) struct Memory(HashMap<u64, Process>);

impl Process {
    fn is_kept(&self, now: Instant) -> bool {
        now.since(self.since) < KEPT_FOR || now < self.resting_until
    }
}

impl Memory {
    /// What is known of the processes of an endpoint, or nothing if that has expired.
    fn latest(&self, key: u64, now: Instant) -> Option<&Process> {
        self.0.get(&key).filter(|process| process.is_kept(now))
    }

    /// Whether a later process has spoken under the same id.
    pub(super) fn is_replaced(&self, (key, incarnation): Incarnation, now: Instant) -> bool {
        self.latest(key, now).is_some_and(|process| incarnation < process.incarnation)
    }

    /// What is known of a process, to be added to; `None` if a later one has spoken.
    pub(super) fn entry(
        &mut self,
        (key, incarnation): Incarnation,
        now: Instant,
    ) -> Option<&mut Process> {
        let known = self.latest(key, now).map(|process| process.incarnation);
        if known.is_some_and(|known| incarnation < known) {
            return None;
        }
        if known != Some(incarnation) {
            self.make_room(now);
            let (leaving, draining_at, resting_until) = (false, None, Instant::ZERO);
            let process = Process { incarnation, since: now, leaving, draining_at, resting_until };
            self.0.insert(key, process);
        }
        self.0.get_mut(&key)
    }

    fn make_room(&mut self, now: Instant) {
        if self.0.len() < MAX_PROCESSES {
            return;
        }
        self.0.retain(|_, process| process.is_kept(now));
        if self.0.len() >= MAX_PROCESSES {
            let oldest = self.0.iter().min_by_key(|(_, process)| process.since);
            let oldest = *oldest.expect("the map is not empty").0;
            self.0.remove(&oldest);
        }
    }

    /// Keeps what an endpoint has said whose entry is dropped.
    pub(super) fn keep(&mut self, member: &Member, now: Instant) {
        let Endpoint { status, heartbeat, .. } = member.endpoint;
        let draining_at = (status == EndpointStatus::Draining).then_some(heartbeat);
        let has_reported = member.heartbeat_at_report.is_some();
        let has_spoken = has_reported || member.said_leaving || member.is_resting(now);
        if !has_spoken && draining_at.is_none() {
            return;
        }
        let Some(process) = self.entry(member.key(), now) else { return };
        process.since = now;
        process.leaving |= member.said_leaving;
        process.draining_at = draining_at.or(process.draining_at);
        process.resting_until = process.resting_until.max(member.resting_until);
    }

    /// Applies what an endpoint has said before it was listed, or listed again.
    pub(super) fn recall(&self, member: &mut Member, now: Instant) {
        let (key, incarnation) = member.key();
        let known = self.latest(key, now).filter(|process| process.incarnation == incarnation);
        let Some(process) = known else { return };
        member.said_leaving = process.leaving;
        member.resting_until = process.resting_until;
        if process.draining_at.is_some_and(|at| member.endpoint.heartbeat <= at) {
            member.endpoint.status = EndpointStatus::Draining;
        }
    }

    /// The leaving endpoints that peers are told of.
    pub(super) fn leaving(&self, now: Instant) -> impl Iterator<Item = Incarnation> {
        let shared = self
            .0
            .iter()
            .filter(move |(_, process)| process.leaving && now.since(process.since) < SHARED_FOR);
        shared.map(|(key, process)| (*key, process.incarnation))
    }
}
