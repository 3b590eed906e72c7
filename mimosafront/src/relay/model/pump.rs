//! Passes the events of a stream on, and resumes it when it breaks off.

use std::time::Duration;

use hyper::StatusCode;
use hyper::body::Bytes;
use mimosashift::deployment::Kind;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::link::Exchange;
use mimosashift::meter::{Outcome, Recovery};
use tokio::sync::mpsc;

use super::look::Look;
use super::watch::{Watch, idle};
use super::{FIRST_STALL, Session};
use crate::body::Piece;
use crate::clock;
use crate::front::millis;
use crate::relay::End;

/// Silence of the first part after which a stream that cannot be resumed is
/// given up: three questions in a row, and half of what clients wait.
const GONE_AFTER: Duration = Duration::from_millis(1_000);

/// How passing events on ended.
enum Passed {
    /// The stream is whole.
    Whole,
    /// The client left.
    Gone,
    /// The deadline passed.
    Late,
    /// The stream makes no progress and could not be moved.
    Stalled(&'static str),
    /// The stream broke off.
    Broken(&'static str),
}

impl Session {
    /// Passes events on until the stream ends, and resumes it if it breaks.
    pub(super) async fn pump(mut self, exchange: Exchange, sender: mpsc::Sender<Piece>) {
        let mut exchange = exchange;
        let mut watch = Watch::new(clock::now() + FIRST_STALL);
        loop {
            let why = match self.pass(&mut exchange, &sender, &mut watch).await {
                Passed::Whole => {
                    self.finish(&sender).await;
                    return;
                }
                // The client left: what is dropped here cancels the work.
                Passed::Gone => return,
                Passed::Late => "deadline passed",
                Passed::Stalled(why) => {
                    let replaced = self.replace(why).await;
                    if replaced.is_some() || !self.is_first_gone() {
                        // Without a replacement the stream may still go on.
                        exchange = replaced.unwrap_or(exchange);
                        watch.looked(clock::now());
                        continue;
                    }
                    why
                }
                Passed::Broken(why) => {
                    self.avoid_first();
                    self.release();
                    match self.resume(why).await {
                        Ok(next) => {
                            exchange = next;
                            continue;
                        }
                        Err(_) => why,
                    }
                }
            };
            self.give_up(why);
            return;
        }
    }

    /// Leaves out the endpoint whose stream broke off.
    fn avoid_first(&mut self) {
        if let Some(claim) = &self.claim {
            self.avoid.push(claim.chain[0].clone());
        }
    }

    /// Opens the rest of a stream that makes no progress at another chain. The
    /// stream is kept until that has worked, since it may only be slow.
    async fn replace(&mut self, why: &str) -> Option<Exchange> {
        self.avoid_first();
        if !self.is_resumable() || self.choose().is_err() {
            return None;
        }
        let kept = self.claim.take();
        match self.resume(why).await {
            Ok(next) => {
                if let Some(claim) = kept {
                    self.front().fleet.borrow_mut().release(&claim);
                }
                Some(next)
            }
            Err(_) => {
                self.release();
                self.claim = kept;
                None
            }
        }
    }

    /// Whether the first part has given no answer for so long that nothing can
    /// be expected of it.
    fn is_first_gone(&self) -> bool {
        let fleet = self.front().fleet.borrow();
        let first = self.claim.as_ref().map(|claim| &claim.chain[0].id);
        let silent = first.and_then(|id| fleet.dead_for(id, clock::now()));
        silent.is_some_and(|silent| silent >= GONE_AFTER)
    }

    fn is_resumable(&self) -> bool {
        self.job.route.kind == Kind::Stream { resumable: true }
    }

    async fn resume(&mut self, why: &str) -> Result<Exchange, End> {
        if !self.is_resumable() {
            return Err(End::Failed(StatusCode::BAD_GATEWAY, "not resumable"));
        }
        let demand = self.demand_now();
        let demand = std::mem::replace(&mut self.demand, demand);
        emit!(self.front().log, Event::StageMoved, "request" => &*self.job.id, "reason" => why, "after_event" => self.events.last());
        let opened = self.open().await;
        match opened {
            Ok(exchange) if exchange.head.status().is_success() => {
                self.events.restart();
                self.front().meter.recoveries(1, Recovery::Restarted);
                Ok(exchange)
            }
            Ok(_) => {
                self.demand = demand;
                Err(End::Failed(StatusCode::BAD_GATEWAY, "endpoint failed"))
            }
            Err(end) => {
                self.demand = demand;
                Err(end)
            }
        }
    }

    async fn finish(&mut self, sender: &mpsc::Sender<Piece>) {
        let rest = self.events.rest();
        if !rest.is_empty() {
            // Bytes after the last event belong to the answer as well.
            drop(sender.send(Piece::Data(rest.into())).await);
        }
        drop(sender.send(Piece::End).await);
        self.done = true;
        self.front().meter.requests(1, Outcome::Completed);
        let by = self.claim.as_ref().map(|claim| claim.chain[0].id.clone());
        let by = by.as_deref().unwrap_or_default();
        let ms = millis(clock::now().since(self.job.arrived));
        emit!(
            self.front().log, Event::RequestAnswered,
            "request" => &*self.job.id, "status" => StatusCode::OK.as_u16(), "by" => by, "ms" => ms,
            "events" => self.passed, "first_ms" => millis(self.pauses.first),
            "pause_ms" => millis(self.pauses.longest), "pause_after_event" => self.pauses.after,
        );
    }

    fn give_up(&mut self, why: &'static str) {
        self.done = true;
        self.front().meter.requests(1, Outcome::Failed);
        let ms = millis(clock::now().since(self.job.arrived));
        emit!(self.front().log, Event::RequestGaveUp, "request" => &*self.job.id, "reason" => why, "ms" => ms, "events" => self.passed, "after_event" => self.events.last());
    }

    /// Passes events on until something else happens.
    async fn pass(
        &mut self,
        exchange: &mut Exchange,
        sender: &mpsc::Sender<Piece>,
        watch: &mut Watch,
    ) -> Passed {
        let mut last = clock::now();
        let front = self.front().clone();
        loop {
            let next = tokio::select! {
                next = exchange.next() => next,
                () = sender.closed() => return Passed::Gone,
                () = idle(&front) => {
                    let now = clock::now();
                    if now >= self.job.deadline {
                        return Passed::Late;
                    }
                    if watch.is_due(!self.known_faults().is_empty(), now) {
                        match self.look(last).await {
                            Look::Passing => watch.passed(now),
                    Look::Sound | Look::Moved => watch.looked(clock::now()),
                            Look::Lost(why) => return Passed::Stalled(why),
                        }
                    }
                    continue;
                }
            };
            let data = match next {
                Some(Ok(data)) => data,
                Some(Err(_)) => return Passed::Broken("stream broke off"),
                None => return Passed::Whole,
            };
            match self.take(&data) {
                Err(why) => return Passed::Broken(why),
                Ok(None) => {}
                Ok(Some(whole)) => {
                    last = clock::now();
                    watch.progressed(last);
                    if sender.send(Piece::Data(whole)).await.is_err() {
                        return Passed::Gone;
                    }
                }
            }
        }
    }

    /// Takes in bytes of the stream; returns the events that are whole.
    fn take(&mut self, data: &Bytes) -> Result<Option<Bytes>, &'static str> {
        let before = self.events.last();
        let whole = self.events.push(data).map_err(|_| "not a stream of events")?;
        if whole.count == 0 {
            return Ok(None);
        }
        let now = clock::now();
        let front = self.job.front.clone();
        let mut fleet = front.fleet.borrow_mut();
        let written = (self.passed + whole.count) as f32 * self.engine.stride as f32;
        let pause = (self.passed > 0).then(|| now.since(self.pauses.last));
        if let Some(claim) = &mut self.claim {
            fleet.record_progress(&claim.chain, pause, now);
            fleet.finish_prefill(claim);
            fleet.grow(claim, written);
        }
        if let Some(pause) = pause {
            if pause > self.pauses.longest {
                self.pauses.longest = pause;
                self.pauses.after = before;
            }
            front.meter.inter_token(pause.as_secs_f64());
        } else {
            self.pauses.first = now.since(self.job.arrived);
            front.meter.first_token(self.pauses.first.as_secs_f64());
        }
        self.pauses.last = now;
        self.passed += whole.count;
        front.meter.tokens(whole.count as u64 * u64::from(self.engine.stride));
        Ok(Some(whole.bytes.into()))
    }
}
