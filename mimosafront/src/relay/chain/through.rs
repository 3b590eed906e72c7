//! Sends a request through another router instead of to a chain.

use mimosashift::connection_pool::{Exchange, Failure};
use tokio::time::timeout;

use super::ChainRequest;
use crate::call::CallError;
use crate::relay::answer::{Source, Verdict};
use crate::relay::peer::Relay;
use crate::relay::{EXHAUSTED_REASON, STRAY_REASON};

impl ChainRequest {
    /// Sends the request through another router; returns the reason if there is no
    /// response.
    pub(super) async fn send_through(
        &mut self,
        relay: Relay,
        attempt: u32,
    ) -> Result<Exchange, &'static str> {
        self.tried_relays.push(relay.name.clone());
        let (executions, last_event) = (self.possible_executions, self.events.last());
        let sending =
            self.ctx.send_to_router(&relay, attempt, executions, last_event, &self.tried_relays);
        let result = timeout(self.ctx.remaining(), sending).await;
        let lost = |_| Err(Failure::Lost { reason: "no answer in time".to_owned() }.into());
        match result.unwrap_or_else(lost) {
            Ok(exchange) => {
                match self.ctx.check_head(&exchange, Source::Router(&relay.name)) {
                    Verdict::Accepted => self.possible_executions += 1,
                    // It was not run there, but may have been before.
                    Verdict::NotRun if executions > 0 => {
                        self.rejected_sends += 1;
                        return Err("refused by a router");
                    }
                    Verdict::NotRun => {}
                    Verdict::Withheld(reason) => {
                        self.possible_executions += 1;
                        return Err(reason);
                    }
                }
                self.relay = Some(relay);
                Ok(exchange)
            }
            Err(CallError::Stray) => {
                self.possible_executions += 1;
                Err(STRAY_REASON)
            }
            Err(CallError::Failed(Failure::NotSent { .. })) => {
                self.rejected_sends += 1;
                Err("router not reached")
            }
            Err(CallError::Failed(Failure::Exhausted)) => {
                self.ctx.log_given_up(&relay.name);
                self.possible_executions += 1;
                Err(EXHAUSTED_REASON)
            }
            Err(CallError::Failed(Failure::Lost { .. })) => {
                self.possible_executions += 1;
                Err("router did not answer")
            }
        }
    }
}
