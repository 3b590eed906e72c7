//! Replicates accepted changes to every router.
//!
//! One router of each failure domain polls the table and pushes new records to
//! the peers in its failure domain; a router that learns of a higher revision
//! pulls it.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use sha2::{Digest, Sha256};

use super::catchup::Progress;
use super::transfer::{Chunk, ReceiveProgress, Reply, ReplyBuilder, Request, SnapshotReceiver};
use super::{Error, Record, State, Store, Version};
use crate::resource::Name;
use crate::time::Instant;

/// Time between two reads of the row `head` by the polling router.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Poll intervals added per rank: a router of rank n polls once no router of its
/// failure domain has polled for `1 + n * TAKEOVER_INTERVALS_PER_RANK` intervals.
const TAKEOVER_INTERVALS_PER_RANK: u32 = 4;

/// Divisor of the poll interval that gives the maximum jitter of a poll.
const JITTER_DIVISOR: u32 = 4;

/// Time that a starting router waits for its peers before its first poll. It
/// delays only the poll; `PEER_DISCOVERY_TIME` delays serving.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(1_500);

/// Time after which an unanswered or failed pull is retried.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of records pushed at once; a peer that is missing more pulls
/// them.
const MAX_PUSH_RECORDS: usize = 64;

/// Another live router, as reported by membership.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Name of the router.
    pub node: Name,
    /// Whether it is in the failure domain of this router.
    pub same_domain: bool,
    /// The version that it has installed.
    pub version: Version,
    /// When it last read the row `head`.
    pub polled: Option<Instant>,
}

/// An action for the caller, which does the I/O.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run a [`Poll`](super::poll::Poll) from this state and pass its result to
    /// [`Replicator::on_poll`].
    Poll(State),
    /// Send a request to a peer.
    Pull(Name, Request),
    /// Send records to a peer.
    Push(Name, Vec<Record>),
    /// Raise an alarm for the operators.
    Alarm(Error),
}

/// The configuration of one router and its replication with the table and
/// other routers.
#[derive(Debug)]
pub struct Replicator {
    node: Name,
    store: Store,
    source: ReplyBuilder,
    pull: Option<Pull>,
    /// When any router of the failure domain last read the row `head`.
    last_domain_poll_at: Option<Instant>,
    /// When this router last read the row `head`.
    last_poll_at: Option<Instant>,
    /// Earliest time of the next poll, `None` before the first tick.
    next_poll_at: Option<Instant>,
    polling: bool,
    /// Number of finished polls, including failed ones.
    polls: u64,
    /// The last alarm, so that the same one is not raised twice in a row.
    alarm: Option<Error>,
}

/// A pull in progress, or a failed one waiting to be retried.
#[derive(Debug)]
struct Pull {
    peer: Name,
    deadline: Instant,
    receiver: SnapshotReceiver,
}

impl Replicator {
    /// Starts without an installed configuration.
    pub fn new(node: Name) -> Self {
        Self {
            node,
            store: Store::default(),
            source: ReplyBuilder::default(),
            pull: None,
            last_domain_poll_at: None,
            last_poll_at: None,
            next_poll_at: None,
            polling: false,
            polls: 0,
            alarm: None,
        }
    }

    /// The installed configuration and its recent records.
    pub const fn store(&self) -> &Store {
        &self.store
    }

    /// When this router last read the row `head`.
    pub const fn polled(&self) -> Option<Instant> {
        self.last_poll_at
    }

    /// Number of finished polls, including failed ones.
    pub const fn polls(&self) -> u64 {
        self.polls
    }

    /// Answers the request of a peer.
    pub fn answer(&self, request: &Request) -> Reply {
        self.source.answer(&self.store, request)
    }

    /// Processes the versions of the peers, drops a pull that has timed out, and
    /// starts a pull and a poll if they are due.
    pub fn tick(&mut self, now: Instant, peers: &[Peer], rng: &mut Pcg64Mcg) -> Vec<Action> {
        let mut actions = Vec::new();
        for peer in peers {
            actions.extend(self.observe_peer(peer));
        }
        if self.pull.as_ref().is_some_and(|pull| pull.deadline <= now) {
            self.pull = None;
        }
        actions.extend(self.pull_if_behind(now, peers, rng));
        actions.extend(self.poll_if_due(now, peers, rng));
        actions
    }

    /// Processes the result of a poll.
    pub fn on_poll(
        &mut self,
        now: Instant,
        result: Result<Progress, Error>,
        peers: &[Peer],
    ) -> Vec<Action> {
        self.polling = false;
        self.polls += 1;
        match result {
            Ok(progress) => {
                self.last_poll_at = Some(now);
                self.last_domain_poll_at = Some(now);
                self.install_progress(&progress, peers)
            }
            // The platform client reports its own failures; they raise no
            // configuration alarm.
            Err(Error::Platform(_)) => Vec::new(),
            Err(error) => self.raise_alarm(error).into_iter().collect(),
        }
    }

    /// Installs what this router has committed or read from the table, and
    /// pushes the records to the peers in its failure domain unless there are
    /// more than `MAX_PUSH_RECORDS`.
    pub fn install_progress(&mut self, progress: &Progress, peers: &[Peer]) -> Vec<Action> {
        let before = self.store.version();
        let records = self.store.install_records(&progress.records);
        let result = records.and_then(|_| self.store.install(progress.state.clone()));
        let mut actions: Vec<_> =
            result.err().and_then(|e| self.raise_alarm(e)).into_iter().collect();
        if self.store.version() != before {
            self.source.retain(self.store.state().clone());
            actions.extend(push_actions(&progress.records, peers));
        }
        actions
    }

    /// Processes a reply or pushed records from a peer.
    pub fn on_reply(&mut self, now: Instant, peer: &Name, reply: Reply) -> Vec<Action> {
        match reply {
            Reply::Records(records) => self.on_records(peer, &records).into_iter().collect(),
            Reply::Chunk(chunk) => self.on_chunk(now, peer, chunk).into_iter().collect(),
        }
    }

    fn observe_peer(&mut self, peer: &Peer) -> Option<Action> {
        if peer.same_domain {
            self.last_domain_poll_at = self.last_domain_poll_at.max(peer.polled);
        }
        let own = self.store.version();
        let diverged = peer.version.revision == own.revision && peer.version != own;
        if diverged { self.raise_alarm(Error::Diverged(own.revision)) } else { None }
    }

    fn pull_if_behind(
        &mut self,
        now: Instant,
        peers: &[Peer],
        rng: &mut Pcg64Mcg,
    ) -> Option<Action> {
        let have = self.store.version();
        let ahead = |same_domain: bool| -> Vec<&Peer> {
            let ahead =
                |p: &&Peer| p.version.revision > have.revision && p.same_domain == same_domain;
            peers.iter().filter(ahead).collect()
        };
        let mut candidates = ahead(true);
        if candidates.is_empty() {
            candidates = ahead(false);
        }
        if self.pull.is_some() || candidates.is_empty() {
            return None;
        }
        let peer = candidates[rng.random_range(0..candidates.len())].node.clone();
        let deadline = now + PULL_TIMEOUT;
        self.pull =
            Some(Pull { peer: peer.clone(), deadline, receiver: SnapshotReceiver::default() });
        Some(Action::Pull(peer, Request { have, part: None }))
    }

    fn poll_if_due(&mut self, now: Instant, peers: &[Peer], rng: &mut Pcg64Mcg) -> Option<Action> {
        let next = *self.next_poll_at.get_or_insert(now + FIRST_POLL_DELAY);
        // A snapshot pulled from a peer avoids a full load from the table.
        let loading = self.store.version().revision == 0 && self.pull.is_some();
        if self.polling || loading || now < next {
            return None;
        }
        let wait = POLL_INTERVAL * (1 + TAKEOVER_INTERVALS_PER_RANK * self.rank(peers));
        let polled_recently =
            self.last_domain_poll_at.is_some_and(|polled| now.since(polled) < wait);
        if polled_recently && self.polls > 0 {
            return None;
        }
        let max_jitter_us = (POLL_INTERVAL / JITTER_DIVISOR).as_micros();
        let jitter = rng.random_range(0..u64::try_from(max_jitter_us).unwrap_or(u64::MAX));
        self.next_poll_at = Some(now + wait + Duration::from_micros(jitter));
        self.polling = true;
        Some(Action::Poll(self.store.state().clone()))
    }

    /// Rank of this router within its failure domain, by rendezvous hash.
    fn rank(&self, peers: &[Peer]) -> u32 {
        let own = rendezvous_hash(&self.node);
        let before =
            peers.iter().filter(|peer| peer.same_domain && rendezvous_hash(&peer.node) > own);
        u32::try_from(before.count()).expect("there are fewer routers than 2^32")
    }

    fn on_records(&mut self, peer: &Name, records: &[Record]) -> Option<Action> {
        let result = self.store.install_records(records);
        if self.store.state().version().revision > 0 {
            self.source.retain(self.store.state().clone());
        }
        match result {
            Ok(_) => {
                self.end_pull(peer);
                None
            }
            // The missing records are pulled again after this pull times out.
            Err(Error::Gap { .. }) => None,
            Err(error) => self.raise_alarm(error),
        }
    }

    fn on_chunk(&mut self, now: Instant, peer: &Name, chunk: Chunk) -> Option<Action> {
        let pull = self.pull.as_mut().filter(|pull| pull.peer == *peer)?;
        let result = match pull.receiver.add_chunk(chunk) {
            Ok(ReceiveProgress::Partial(cursor)) => {
                pull.deadline = now + PULL_TIMEOUT;
                let request = Request { have: self.store.version(), part: Some(cursor) };
                return Some(Action::Pull(peer.clone(), request));
            }
            Ok(ReceiveProgress::Complete(state)) => self.store.install(state),
            Err(error) => Err(error),
        };
        match result {
            Ok(installed) => {
                if installed {
                    self.source.retain(self.store.state().clone());
                }
                self.end_pull(peer);
                None
            }
            Err(error) => self.raise_alarm(error),
        }
    }

    fn end_pull(&mut self, peer: &Name) {
        if self.pull.as_ref().is_some_and(|pull| pull.peer == *peer) {
            self.pull = None;
        }
    }

    fn raise_alarm(&mut self, error: Error) -> Option<Action> {
        if self.alarm.as_ref() == Some(&error) {
            return None;
        }
        self.alarm = Some(error.clone());
        Some(Action::Alarm(error))
    }
}

fn push_actions(records: &[Record], peers: &[Peer]) -> Vec<Action> {
    if records.is_empty() || records.len() > MAX_PUSH_RECORDS {
        return Vec::new();
    }
    let targets = peers.iter().filter(|peer| peer.same_domain);
    targets.map(|peer| Action::Push(peer.node.clone(), records.to_vec())).collect()
}

/// Rendezvous hash of a router; the router with the highest hash in a failure
/// domain polls.
fn rendezvous_hash(node: &Name) -> [u8; 32] {
    Sha256::new().chain_update("poll/").chain_update(node.as_str()).finalize().into()
}
