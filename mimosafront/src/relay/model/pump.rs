//! Passes the events of a stream on, and resumes it when it breaks off.

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

/// How passing events on ended.
enum Passed {
    /// The stream is whole.
    Whole,
    /// The client left.
    Gone,
    /// The deadline passed.
    Late,
    /// The stream broke off.
    Broken(&'static str),
}

impl Session {
    /// Passes events on until the stream ends, and resumes it if it breaks.
    pub(super) async fn pump(mut self, exchange: Exchange, sender: mpsc::Sender<Piece>) {
        let mut exchange = exchange;
        loop {
            let why = match self.pass(&mut exchange, &sender).await {
                Passed::Whole => {
                    self.finish(&sender).await;
                    return;
                }
                // The client left: what is dropped here cancels the work.
                Passed::Gone => return,
                Passed::Late => "deadline passed",
                Passed::Broken(why) => {
                    self.avoid_first();
                    self.release();
                    let first = Kind::Stream { resumable: true };
                    match self.resume(why).await {
                        Ok(next) if self.job.route.kind == first => {
                            exchange = next;
                            continue;
                        }
                        _ => why,
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

    async fn resume(&mut self, why: &str) -> Result<Exchange, End> {
        self.events.restart();
        self.demand = self.demand_now();
        emit!(self.front().log, Event::StageMoved, "request" => &*self.job.id, "reason" => why, "after_event" => self.events.last());
        let exchange = self.open().await?;
        if !exchange.head.status().is_success() {
            return Err(End::Failed(StatusCode::BAD_GATEWAY, "endpoint failed"));
        }
        self.front().meter.recoveries(1, Recovery::Restarted);
        Ok(exchange)
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
    async fn pass(&mut self, exchange: &mut Exchange, sender: &mpsc::Sender<Piece>) -> Passed {
        let mut last = clock::now();
        let mut watch = Watch::new(last + FIRST_STALL);
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
                            Look::Lost(why) => return Passed::Broken(why),
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
            fleet.progress(&claim.chain, pause, now);
            fleet.begin(claim);
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
