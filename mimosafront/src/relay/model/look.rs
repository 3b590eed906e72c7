//! Looks at chains that make no progress, and moves requests to others.

use std::rc::Rc;
use std::time::Duration;

use mimosaplatform::engine as wire;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::exchange::{Order, Ordered};
use mimosashift::fleet::{Chain, Hop, Member, Shortage};
use mimosashift::meter::Recovery;
use mimosashift::time::Instant;
use smallvec::SmallVec;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::{MAX_ANSWER_BYTES, Session};
use crate::clock;
use crate::front::{Front, millis};
use crate::probe::{self, Finding};

/// Time for an order that moves a request.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Chains that are tried for a request that is moved; each refusal names an
/// endpoint to leave out.
const MAX_REROUTES: usize = 4;

/// What a look at a chain that makes no progress led to.
pub(super) enum Look {
    /// Every part answers.
    Sound,
    /// Other work has just passed through every part.
    Passing,
    /// The request was moved to another chain.
    Moved,
    /// The request must be sent anew.
    Lost(&'static str),
}

impl Session {
    /// Looks at a chain through which nothing has come since, and moves the
    /// request if a part of it is dead.
    pub(super) async fn look(&mut self, since: Instant) -> Look {
        let Some(claim) = &self.claim else { return Look::Lost("no chain") };
        let chain = claim.chain.clone();
        let silent = self.front().fleet.borrow().silent(&chain, clock::now());
        let known = self.known_faults();
        if silent.is_empty() && known.is_empty() {
            return Look::Passing;
        }
        let Faulty { dead, slow } = if known.is_empty() {
            faulty(self.front(), &silent, &self.job.id).await
        } else {
            known
        };
        let names = |hops: &[Hop]| hops.iter().map(|hop| &*hop.id).collect::<Vec<_>>().join(",");
        let silent_ms = millis(clock::now().since(since));
        emit!(self.front().log, Event::RequestExamined, "request" => &*self.job.id, "silent_ms" => silent_ms, "silent" => names(&silent), "dead" => names(&dead), "slow" => names(&slow), "after_event" => self.events.last());
        let first = chain[0].clone();
        if dead.iter().any(|hop| hop.id == first.id) {
            self.avoid.extend(dead);
            return Look::Lost("first endpoint is dead");
        }
        if dead.is_empty() {
            return self.leave_slow(&first, slow).await;
        }
        self.avoid.extend(dead);
        match self.reroute(&first, &slow).await {
            Look::Lost(_) if !slow.is_empty() => self.reroute(&first, &[]).await,
            look => look,
        }
    }

    /// Moves a request away from slow endpoints, if others have room for it.
    async fn leave_slow(&mut self, first: &Hop, slow: SmallVec<[Hop; 4]>) -> Look {
        let others = slow.iter().any(|hop| hop.id != first.id);
        if !others || self.chain_from(first, &slow).is_err() {
            return Look::Sound;
        }
        match self.reroute(first, &slow).await {
            Look::Moved => Look::Moved,
            _ => Look::Sound,
        }
    }

    /// The chain for the rest of a request that has begun, also without
    /// `without`.
    fn chain_from(&self, first: &Hop, without: &[Hop]) -> Result<Chain, Shortage> {
        let avoid: Vec<Hop> = self.avoid.iter().chain(without).cloned().collect();
        self.chain(&self.demand_now(), Some(first), &avoid)
    }

    /// Moves the request to another chain with the same first part, without
    /// what it avoids and `without`.
    async fn reroute(&mut self, first: &Hop, without: &[Hop]) -> Look {
        for _ in 0..MAX_REROUTES {
            let Ok(chain) = self.chain_from(first, without) else {
                return Look::Lost("no chain from the first endpoint");
            };
            match self.order_reroute(first, &chain).await {
                Ordered::Taken => {
                    self.front().meter.recoveries(1, Recovery::Rebuilt);
                    let mut claim = self.claim.take().expect("a started request has a chain");
                    self.front().fleet.borrow_mut().reroute(&mut claim, chain);
                    self.claim = Some(claim);
                    return Look::Moved;
                }
                // The part named has no room or is not there: try without it.
                Ordered::Refused { at_fault: Some(address), .. } => {
                    let named = chain.iter().skip(1).find(|hop| hop.address == address);
                    let Some(hop) = named else { break };
                    self.avoid.push(hop.clone());
                }
                Ordered::Refused { at_fault: None, .. } | Ordered::Unknown => break,
            }
        }
        Look::Lost("the request could not be moved")
    }

    async fn order_reroute(&self, first: &Hop, chain: &Chain) -> Ordered {
        let order = Order::Reroute { id: &self.job.id, chain };
        let call = wire::order_call(first.address, &first.id, &order);
        let ordering = async {
            let mut exchange = self.front().pool.send(first.address, call, false).await.ok()?;
            let body = exchange.collect(MAX_ANSWER_BYTES).await.ok()?;
            Some(wire::ordered(exchange.head.status(), &body))
        };
        let ordered = timeout(ORDER_TIMEOUT, ordering).await.ok().flatten();
        let ordered = ordered.unwrap_or(Ordered::Unknown);
        let to: Vec<_> = chain.iter().map(|hop| format!("{}:{}", hop.id, hop.layers)).collect();
        let said = format!("{ordered:?}");
        emit!(self.front().log, Event::RequestMoved, "request" => &*self.job.id, "to" => to.join(","), "said" => said, "after_event" => self.events.last());
        ordered
    }
}

/// The parts of a chain at which a request hangs.
#[derive(Default)]
pub(super) struct Faulty {
    /// They give no report, or others report that they wait for them.
    pub(super) dead: SmallVec<[Hop; 4]>,
    /// They report to be far slower than their card.
    pub(super) slow: SmallVec<[Hop; 4]>,
}

impl Faulty {
    pub(super) fn is_empty(&self) -> bool {
        self.dead.is_empty() && self.slow.is_empty()
    }
}

/// Asks the endpoints through which nothing passes.
async fn faulty(front: &Rc<Front>, hops: &[Hop], request: &str) -> Faulty {
    let mut probes = JoinSet::new();
    for hop in hops.iter().cloned() {
        let front = front.clone();
        probes.spawn_local(async move {
            let finding = probe::examine(&front, &hop).await;
            (hop, finding)
        });
    }
    let (mut faulty, mut waited_for) = (Faulty::default(), Vec::new());
    while let Some(Ok((hop, finding))) = probes.join_next().await {
        match finding {
            Finding::Alive(report) => {
                let stalled = report.stalled.iter().filter(|(id, _)| id == request);
                waited_for.extend(stalled.map(|(_, address)| *address));
                let slow = front.fleet.borrow().get(&hop.id).is_some_and(Member::is_slow);
                if slow {
                    faulty.slow.push(hop);
                }
            }
            Finding::Dead(_) => faulty.dead.push(hop),
        }
    }
    for hop in hops.iter().filter(|hop| waited_for.contains(&hop.address)) {
        if !faulty.dead.contains(hop) {
            faulty.dead.push(hop.clone());
        }
    }
    faulty
}
