//! Decides whether the close of a connection was the end of the answer.

use tokio::task::JoinSet;

use super::ChainRequest;
use crate::clock;
use crate::probe::{self, ProbeResult};
use crate::relay::{CRASHED_REASON, STALLED_REASON, UNKNOWN_END_REASON};

impl ChainRequest {
    /// The reason why an answer that ended with its connection is not known to be whole: the
    /// crash of the first engine closes its connections, and a later one that crashes or is cut
    /// off makes the first give up. Any may have restarted since, if this router was delayed.
    pub(super) async fn find_early_end(&self) -> Option<&'static str> {
        // Another router marks the end of its answers.
        let Some(claim) = &self.claim else { return Some(CRASHED_REASON) };
        if self.engine.is_none() {
            let path = &self.ctx.service.health_path;
            let (endpoint, witness) = (&claim.chain[0], self.witness.as_deref());
            let is_same = probe::is_same_process(self.state(), endpoint, witness, path).await;
            return (!is_same).then_some(UNKNOWN_END_REASON);
        }
        let is_chain = claim.chain.len() > 1;
        if is_chain && !self.evidence.borrow().is_settled(clock::now()) {
            return Some(STALLED_REASON);
        }
        let mut probes = JoinSet::new();
        for (position, hop) in claim.chain.clone().into_iter().enumerate() {
            let (state, request) = (self.state().clone(), self.ctx.id.clone());
            probes.spawn_local(async move {
                match probe::check_still_alive(&state, &hop).await {
                    ProbeResult::Alive(report) if report.incarnation != hop.incarnation => {
                        Some(CRASHED_REASON)
                    }
                    // Reports are some hundred ms old.
                    ProbeResult::Alive(report) => {
                        let is_stalled = report.stalled.iter().any(|(id, _)| **id == *request);
                        (position == 0 && is_stalled).then_some(STALLED_REASON)
                    }
                    // A later engine may be cut off from this router only.
                    ProbeResult::Dead(error) => {
                        (position == 0 || error.closed).then_some(CRASHED_REASON)
                    }
                }
            });
        }
        probes.join_all().await.into_iter().flatten().next()
    }
}
