//! Forwards the events of a stream, and resumes it after a failure.

use std::pin::pin;

use hyper::StatusCode;
use hyper::body::Bytes;
use mimosashift::connection_pool::{Exchange, Failure, Framing};
use mimosashift::deployment::RouteKind;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::event_stream::InvalidStream;
use mimosashift::meter::{Outcome, Recovery};
use tokio::sync::mpsc;

use super::stall::StallCheck;
use super::stall_timer::{StallTimer, wait_for_fault_or_tick};
use super::{ChainRequest, MAX_REJECTED_SENDS, Opened};
use crate::body::Chunk;
use crate::clock;
use crate::relay::peer::Path;
use crate::relay::{EXHAUSTED_REASON, RequestError};
use crate::state::millis;

/// Reason for which `forward_events` returned.
enum ForwardOutcome {
    /// The stream is complete.
    Complete,
    /// The client closed the connection.
    ClientGone,
    /// The deadline passed.
    DeadlineExceeded,
    /// The stream makes no progress, and its chain could not be changed; it may
    /// still continue.
    Stalled(&'static str),
    /// The stream ended prematurely.
    Broken(&'static str),
    /// There was no memory to pass on events.
    Exhausted,
}

/// Outcome of opening the rest of a stalled stream at another chain.
enum Replacement {
    /// The exchange is that of the new chain, or the old one that went on or that nothing
    /// replaces.
    Open,
    /// The old stream broke off, and nothing replaces it.
    Failed,
    /// The client closed the connection.
    ClientGone,
}

impl ChainRequest {
    /// Forwards events until the stream ends, and resumes it after a failure.
    pub(super) async fn forward_stream(mut self, exchange: Exchange, sender: mpsc::Sender<Chunk>) {
        let mut exchange = exchange;
        let mut stall_timer = StallTimer::new(self.stall_timeouts(), clock::now());
        loop {
            let reason = match self.forward_events(&mut exchange, &sender, &mut stall_timer).await {
                ForwardOutcome::Complete => {
                    self.complete_stream(exchange.framing, &sender).await;
                    return;
                }
                // The client closed the connection: dropping the exchange
                // cancels the work.
                ForwardOutcome::ClientGone => return,
                ForwardOutcome::DeadlineExceeded => "deadline passed",
                // It cannot be resumed after events that were not passed on.
                ForwardOutcome::Exhausted => EXHAUSTED_REASON,
                ForwardOutcome::Stalled(reason) => {
                    match self.replace_chain(reason, &mut exchange, &sender).await {
                        Replacement::Open => {}
                        Replacement::ClientGone => return,
                        Replacement::Failed => {
                            self.fail_stream(reason, exchange.framing);
                            return;
                        }
                    }
                    stall_timer.on_check(clock::now());
                    continue;
                }
                ForwardOutcome::Broken(reason) => {
                    self.suspect_plain(reason);
                    self.check_crash().await;
                    self.exclude_first_hop();
                    self.release();
                    let resumed = tokio::select! {
                        resumed = self.resume(reason) => resumed,
                        () = sender.closed() => return,
                    };
                    match resumed {
                        Ok(next) => {
                            exchange = next;
                            continue;
                        }
                        Err(_) => reason,
                    }
                }
            };
            self.fail_stream(reason, exchange.framing);
            return;
        }
    }

    /// Excludes the first endpoint of the chain.
    pub(super) fn exclude_first_hop(&mut self) {
        if let Some(first) = self.claim.as_ref().map(|claim| claim.chain[0].clone()) {
            self.exclude([first]);
        }
    }

    /// Keeps other requests away from a plain endpoint that broke off a stream; engines are
    /// probed when they close a connection.
    fn suspect_plain(&self, reason: &str) {
        if let (None, Some(claim)) = (&self.engine, &self.claim) {
            self.state().mark_suspect(&claim.chain[0].id, reason);
        }
    }

    /// Opens the rest of a stalled stream at another chain, beside the old one: silence is
    /// not an end, and whichever goes on first is used.
    async fn replace_chain(
        &mut self,
        reason: &str,
        old: &mut Exchange,
        sender: &mpsc::Sender<Chunk>,
    ) -> Replacement {
        self.exclude_first_hop();
        if !self.is_resumable() || !self.may_move(self.possible_executions) {
            return Replacement::Open;
        }
        let (old_claim, old_relay) = (self.claim.take(), self.relay.take());
        let (old_evidence, old_witness) = (self.evidence.clone(), self.witness.clone());
        let old_demand = self.demand;
        let mut if_not_opened = Replacement::Open;
        let opened = {
            let mut resuming = pin!(self.resume(reason));
            tokio::select! {
                biased;
                went_on = old.went_on() => match went_on {
                    true => None,
                    false => {
                        if_not_opened = Replacement::Failed;
                        tokio::select! {
                            opened = &mut resuming => Some(opened),
                            () = sender.closed() => {
                                if_not_opened = Replacement::ClientGone;
                                None
                            }
                        }
                    }
                },
                () = sender.closed() => {
                    if_not_opened = Replacement::ClientGone;
                    None
                }
                opened = &mut resuming => Some(opened),
            }
        };
        if let Some(Ok(next)) = opened {
            if let Some(claim) = old_claim {
                self.state().fleet.borrow_mut().release(&claim);
            }
            *old = next;
            return Replacement::Open;
        }
        if opened.is_none() {
            // A send that was cut short may have been executed.
            self.possible_executions += u32::from(self.claim.is_some() || self.relay.is_some());
            self.demand = old_demand;
        }
        if opened.is_none() && matches!(if_not_opened, Replacement::Open) {
            emit!(self.state().log, Event::RequestContinued, "request" => &*self.ctx.id, "reason" => reason, "after_event" => self.events.last(), "executions" => self.possible_executions);
        }
        self.release();
        (self.claim, self.relay) = (old_claim, old_relay);
        (self.evidence, self.witness) = (old_evidence, old_witness);
        if_not_opened
    }

    /// Whether the request, which may have been executed so often, may be sent to another
    /// chain or router now.
    pub(super) fn may_move(&self, executions: u32) -> bool {
        if executions >= self.ctx.route.attempts
            || self.rejected_sends > MAX_REJECTED_SENDS
            || !self.state().has_retry(&self.ctx.service.name)
            || self.check_stop().is_err()
        {
            return false;
        }
        match self.ctx.path(&self.tried_relays) {
            Path::Direct => self.has_chain(),
            Path::Relayed(_) => true,
            Path::Lost => false,
        }
    }

    fn is_resumable(&self) -> bool {
        self.ctx.route.kind == RouteKind::Stream { resumable: true }
    }

    async fn resume(&mut self, reason: &str) -> Result<Exchange, RequestError> {
        if !self.is_resumable() {
            return Err(RequestError::Failed(StatusCode::BAD_GATEWAY, "not resumable"));
        }
        let demand = self.remaining_demand();
        let old_demand = std::mem::replace(&mut self.demand, demand);
        emit!(self.state().log, Event::StageMoved, "request" => &*self.ctx.id, "connection" => self.ctx.connection(), "reason" => reason, "after_event" => self.events.last());
        let opened = self.open().await;
        match opened {
            Ok(Opened::Stream(exchange)) => {
                self.events.resume();
                self.first_event_in_run = None;
                self.success_recorded = false;
                self.state().meter.recoveries(1, Recovery::Restarted);
                Ok(exchange)
            }
            Ok(Opened::Whole(..)) => {
                self.demand = old_demand;
                Err(RequestError::Failed(StatusCode::BAD_GATEWAY, "endpoint failed"))
            }
            Err(end) => {
                self.demand = old_demand;
                Err(end)
            }
        }
    }

    async fn complete_stream(&mut self, framing: Framing, sender: &mpsc::Sender<Chunk>) {
        self.record_success(true);
        let rest = self.events.take_partial();
        let partial_bytes = rest.len();
        if !rest.is_empty() {
            // Bytes after the last event belong to the response as well.
            drop(sender.send(Chunk::Data(rest.into())).await);
        }
        drop(sender.send(Chunk::End).await);
        self.outcome_recorded = true;
        self.state().meter.requests(1, Outcome::Completed);
        self.record_pace();
        let ms = millis(clock::now().since(self.ctx.arrived));
        emit!(
            self.state().log, Event::RequestAnswered,
            "request" => &*self.ctx.id, "status" => StatusCode::OK.as_u16(), "by" => &*self.server(),
            "connection" => self.ctx.connection(), "ms" => ms,
            "events" => self.events_forwarded, "first_ms" => millis(self.timing.time_to_first),
            "pause_ms" => millis(self.timing.longest_gap), "pause_after_event" => self.timing.longest_gap_after,
            "framing" => framing.label(), "partial_bytes" => partial_bytes,
        );
    }

    /// Records the time that the stream took, by the tokens of engines' streams.
    fn record_pace(&self) {
        if self.engine.is_none() {
            return self.ctx.record_latency();
        }
        let later_events = self.events_forwarded.saturating_sub(1);
        let tokens = later_events as f64 * f64::from(self.tokens_per_event());
        let (to_first, whole) = (self.timing.time_to_first, clock::now().since(self.ctx.arrived));
        let mut paces = self.state().stream_pace.borrow_mut();
        let pace = paces.entry(self.ctx.service.name.clone()).or_default();
        pace.record(self.demand.prompt, tokens, to_first, whole);
    }

    fn fail_stream(&mut self, reason: &'static str, framing: Framing) {
        self.outcome_recorded = true;
        self.state().meter.requests(1, Outcome::Failed);
        let ms = millis(clock::now().since(self.ctx.arrived));
        emit!(self.state().log, Event::RequestFailed, "request" => &*self.ctx.id, "connection" => self.ctx.connection(), "reason" => reason, "ms" => ms, "silent_ms" => millis(self.silence()), "events" => self.events_forwarded, "after_event" => self.events.last(), "framing" => framing.label(), "partial_bytes" => self.events.partial_bytes());
    }

    /// Forwards events until the stream ends or fails.
    async fn forward_events(
        &mut self,
        exchange: &mut Exchange,
        sender: &mpsc::Sender<Chunk>,
        stall_timer: &mut StallTimer,
    ) -> ForwardOutcome {
        let state = self.state().clone();
        // Bytes that complete no event must not put off the next check.
        let mut tick = pin!(wait_for_fault_or_tick(&state));
        loop {
            let next = tokio::select! {
                next = exchange.next() => next,
                () = self.partial.revoked() => Some(Err(Failure::Exhausted)),
                () = sender.closed() => return ForwardOutcome::ClientGone,
                () = &mut tick => {
                    tick.set(wait_for_fault_or_tick(&state));
                    let now = clock::now();
                    if now >= self.ctx.deadline {
                        return ForwardOutcome::DeadlineExceeded;
                    }
                    if stall_timer.is_due(!self.known_faults().is_empty(), now) {
                        match self.check_stall().await {
                            StallCheck::Progressing => stall_timer.schedule_recheck(now),
                            StallCheck::Healthy | StallCheck::Rerouted => stall_timer.on_check(clock::now()),
                            StallCheck::Silent(reason) | StallCheck::Ended(reason) => return ForwardOutcome::Stalled(reason),
                        }
                    }
                    continue;
                }
            };
            let data = match next {
                Some(Ok(data)) => data,
                Some(Err(Failure::Exhausted)) => {
                    self.give_up_answer();
                    return ForwardOutcome::Broken(EXHAUSTED_REASON);
                }
                Some(Err(_)) => return ForwardOutcome::Broken("stream ended prematurely"),
                None => return self.check_end(exchange.framing).await,
            };
            match self.process_bytes(&data) {
                Err(reason) => return ForwardOutcome::Broken(reason),
                Ok(None) => {}
                Ok(Some(complete)) => {
                    let Ok(complete) = state.budget.hold(complete) else {
                        return ForwardOutcome::Exhausted;
                    };
                    self.record_success(false);
                    stall_timer.on_event(clock::now());
                    if sender.send(Chunk::Data(complete)).await.is_err() {
                        return ForwardOutcome::ClientGone;
                    }
                }
            }
        }
    }

    /// Checks whether the end of an endpoint's response is the end of the stream.
    async fn check_end(&self, framing: Framing) -> ForwardOutcome {
        if self.events.is_inside_event() {
            return ForwardOutcome::Broken("stream ended inside an event");
        }
        if framing == Framing::Delimited {
            return ForwardOutcome::Complete;
        }
        if self.first_event_in_run.is_none() {
            return ForwardOutcome::Broken("stream closed before its first event");
        }
        // An engine cuts off a stream that another one of its chain holds up.
        if !self.known_faults().dead.is_empty() {
            return ForwardOutcome::Broken("stream closed while an engine was dead");
        }
        match self.find_early_end().await {
            Some(reason) => ForwardOutcome::Broken(reason),
            None => ForwardOutcome::Complete,
        }
    }

    /// Processes bytes of the stream; returns the events that are complete.
    fn process_bytes(&mut self, data: &Bytes) -> Result<Option<Vec<u8>>, &'static str> {
        self.evidence.borrow_mut().on_data(clock::now());
        let previous = self.events.last();
        let complete = self.events.push(data).map_err(InvalidStream::label)?;
        let has_memory = self.partial.resize(self.events.capacity()).is_ok();
        if complete.count == 0 {
            if has_memory {
                return Ok(None);
            }
            self.give_up_answer();
            return Err(EXHAUSTED_REASON);
        }
        let now = clock::now();
        let state = self.ctx.state.clone();
        let mut fleet = state.fleet.borrow_mut();
        let tokens_per_event = self.tokens_per_event();
        let generated = (self.events_forwarded + complete.count) as f32 * tokens_per_event as f32;
        let gap = (self.events_forwarded > 0).then(|| now.since(self.timing.last_event_at));
        if let Some(claim) = &mut self.claim {
            // The interval of engines' events tells when they have stalled.
            let engine_gap = gap.filter(|_| self.engine.is_some());
            fleet.record_progress(&claim.chain, engine_gap, now);
            fleet.finish_prefill(claim);
            fleet.grow(claim, generated);
        }
        if let Some(gap) = gap {
            if gap > self.timing.longest_gap {
                self.timing.longest_gap = gap;
                self.timing.longest_gap_after = previous;
            }
            if self.engine.is_some() {
                state.meter.inter_token(gap.as_secs_f64());
            }
        } else {
            self.timing.time_to_first = now.since(self.ctx.arrived);
            if self.engine.is_some() {
                state.meter.first_token(self.timing.time_to_first.as_secs_f64());
            }
        }
        self.timing.last_event_at = now;
        self.events_forwarded += complete.count;
        self.first_event_in_run.get_or_insert(now);
        state.meter.tokens(complete.count as u64 * u64::from(tokens_per_event));
        Ok(Some(complete.bytes))
    }
}
