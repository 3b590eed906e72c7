//! Declarations of all events.

use slog::Level;

/// Declares the events, each with variant, id, level, message and meaning.
macro_rules! events {
    ($($event:ident $id:literal $level:ident $message:literal, $meaning:literal;)*) => {
        /// An event to log; `docs/EVENTS.md` says how an operator responds to it.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $(#[doc = $meaning] $event,)*
        }

        impl Event {
            /// Every event, sorted by id.
            pub const ALL: &[Self] = &[$(Self::$event,)*];

            /// The id, for example `MS0101`; it does not change between releases.
            pub const fn id(self) -> &'static str {
                match self { $(Self::$event => $id,)* }
            }

            /// The level at which the event is logged.
            pub const fn level(self) -> Level {
                match self { $(Self::$event => Level::$level,)* }
            }

            /// The fixed text of the log line.
            pub const fn message(self) -> &'static str {
                match self { $(Self::$event => $message,)* }
            }

            /// The explanation for operators, as in `docs/EVENTS.md`.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$event => $meaning,)* }
            }
        }
    };
}

events! {
    NodeStarted "MS0101" Info "node started", "The router started and is fetching its configuration.";
    NodeReady "MS0102" Info "node ready", "The router has a configuration and accepts requests.";
    NodeDraining "MS0103" Info "node draining", "The router reports not ready and finishes the requests that it has accepted.";
    NodeStopped "MS0104" Info "node stopped", "The router stopped; `cut_off` counts requests that it could not finish.";
    NodeCutOff "MS0105" Error "requests cut off at shutdown", "The drain time ended before all requests were answered.";
    NodeFault "MS0106" Critical "invariant violated", "A worker stopped because it reached a state that must not occur.";
    FrontStarted "MS0111" Info "router started", "The event loop started and is fetching its configuration.";
    FrontReady "MS0112" Info "router ready", "The router reports ready: it has a configuration in which API keys may be used.";
    FrontNotReady "MS0113" Warning "router not ready", "The router reports not ready, for the given reason.";
    FrontStopping "MS0114" Info "router stopping", "SIGTERM arrived; requests in flight are finished.";
    FrontStopped "MS0115" Info "router stopped", "The router stopped; `cut_off` counts requests that it could not finish, `open` connections that were not closed.";
    SettingsReloaded "MS0116" Info "settings reloaded", "The settings file changed and the new settings are in force.";
    SettingsInvalid "MS0117" Error "settings invalid", "The settings file changed and cannot be used; the earlier settings stay in force.";
    MetricsUnavailable "MS0118" Error "metrics unavailable", "The router cannot listen on the metrics address.";
    RouterDelayed "MS0119" Warning "router delayed", "A timer of the event loop ran late: this process did not get the processor, and all of its requests waited.";
    FrontClosing "MS0121" Info "router closing", "A stopping router closes its idle connections and accepts no more; `open` and `idle` count connections.";

    HttpListening "MS0201" Info "listening", "A caller or operator address is open.";
    HttpMalformed "MS0202" Debug "malformed request", "A request did not follow HTTP or the API and was refused.";
    HttpTooLarge "MS0203" Warning "request too large", "A request exceeded a size limit and was refused.";
    HttpUnauthorized "MS0204" Warning "unauthorized", "A request carried no valid bearer token.";
    HttpConnectionLimit "MS0205" Warning "connection limit reached", "New connections wait because the limit is reached.";
    ConnectionsClosed "MS0206" Info "connections closed", "The router closed connections in the last second, for the given reason.";

    ConfigInstalled "MS0301" Info "configuration installed", "A higher configuration revision is in force on this router.";
    ConfigOlder "MS0302" Critical "older configuration revision seen", "The table answered with a revision lower than the one in force; it was ignored.";
    ConfigDiffers "MS0303" Critical "equal configuration revision differs", "Two sources hold different content under one revision.";
    ConfigAccepted "MS0304" Info "configuration change accepted", "A change was committed and recorded in the audit trail.";
    ConfigRefused "MS0305" Info "configuration change refused", "A change was not committed and has no effect.";
    ConfigUnknown "MS0306" Warning "configuration change unknown", "The table's answer was lost and the change could not be read back.";
    ConfigStale "MS0307" Warning "configuration stale", "The configuration source has not been reached for a while; the installed revision stays in force.";

    MemberJoined "MS0401" Info "member joined", "The first heartbeat of a new router arrived.";
    MemberSuspect "MS0402" Warning "member suspect", "Heartbeats of a router are overdue.";
    MemberDead "MS0403" Error "member dead", "No heartbeat of a router arrived within the time limit, and it is no longer counted.";
    MemberLeaving "MS0404" Info "member leaving", "A router announced its shutdown.";
    MemberRestarted "MS0405" Info "member restarted", "A router returned with a higher incarnation number.";
    MemberUnauthenticated "MS0406" Warning "bad authentication", "A datagram or frame carried no valid authentication code.";
    MemberReplayed "MS0407" Warning "replayed message", "A message repeated an earlier sequence number and was dropped.";
    MemberUnreachable "MS0408" Info "peer unreachable", "Sending to a peer failed, or the peer did not return its configuration.";
    MemberUnreadable "MS0409" Warning "unreadable digest", "A datagram is no digest of any build, or `parts` of one are malformed.";

    EndpointEjected "MS0501" Warning "endpoint ejected", "An endpoint failed too often and receives no new work.";
    EndpointReturned "MS0502" Info "endpoint returned", "An ejected endpoint answers again and receives a growing share of work.";
    EndpointLeaving "MS0503" Info "endpoint leaving", "An endpoint is shutting down and receives no new work.";
    EndpointRecovered "MS0504" Info "endpoint recovered", "A returned endpoint receives its full share of work.";
    EndpointSilent "MS0505" Warning "silent connections retired", "A connection stopped responding, and all connections of the same age to that endpoint were closed.";
    EndpointEjectionCapped "MS0506" Error "ejection cap reached", "An endpoint stays in use because too many others are ejected.";
    EndpointJoined "MS0511" Info "endpoint joined", "An endpoint registered or restarted.";
    EndpointGone "MS0512" Warning "endpoint gone", "The directory no longer lists an endpoint.";
    EndpointUnreadable "MS0513" Warning "endpoint entry unreadable", "A directory entry cannot be decoded and is ignored.";
    EndpointLayersChanged "MS0514" Info "endpoint layers changed", "The layers that an endpoint holds changed.";
    EndpointSuspect "MS0515" Warning "endpoint suspect", "An endpoint failed and is excluded from routing for a while.";
    ReportMissing "MS0516" Info "report missing", "An engine did not answer a request for its speed report.";
    EndpointOverloaded "MS0517" Info "endpoint overloaded", "An endpoint refused work because it has no memory for it or cannot start it.";
    EndpointUsageUntracked "MS0518" Info "endpoint usage untracked", "An endpoint reports much more KV cache in use than the digests of all known routers account for.";
    EndpointCrashed "MS0519" Warning "endpoint crashed", "An endpoint closed a connection and accepts no new one, or has restarted, before the request named had written there for long.";
    EndpointLimited "MS0520" Warning "endpoint limit named", "An endpoint, or a peer that had its answer, names a new limit on the requests per second that it takes from all routers.";
    EndpointLimitLifted "MS0521" Info "endpoint limit lifted", "An endpoint no longer names a limit on the requests that it takes.";
    EndpointLimitInvalid "MS0522" Warning "endpoint limit invalid", "An endpoint named a limit that is not a number of requests per second; it is ignored.";
    ServiceUnreachable "MS0523" Error "service unreachable", "This router reaches no endpoint of a service; requests for it are relayed by other routers.";
    ServiceReachable "MS0524" Info "service reachable again", "This router reaches the endpoints of a service again.";
    EndpointResting "MS0525" Info "endpoint rests", "An endpoint rejected a request and wants none from this router for a while.";
    EndpointRestInvalid "MS0526" Warning "endpoint rest invalid", "An endpoint rejected a request and named a time to rest that is not a number of seconds; it is ignored.";
    EndpointChanged "MS0527" Info "endpoint entry changed", "The directory lists an endpoint with another address, service, domain, card or number of slots.";
    EndpointKept "MS0528" Info "endpoint kept without entry", "The directory does not list an endpoint whose entry may have lapsed while the store was away; the endpoint stays in use until the time to register again ends.";

    StageMoved "MS0601" Warning "stage moved", "A request lost a stage and continued on another endpoint.";
    RequestRefused "MS0602" Info "request refused", "A request was refused before any of it ran.";
    RequestShed "MS0603" Warning "request shed", "A queued request was dropped before it ran, to make room.";
    RequestFailed "MS0604" Error "request failed", "A request failed after its retries or deadline were used up.";
    RequestCancelled "MS0605" Warning "request cancelled", "The caller disconnected, and the rest of the work was cancelled.";
    ReplyDropped "MS0606" Debug "reply dropped", "A reply was late, duplicate or for another step and was not used.";
    RetryBudgetExhausted "MS0607" Warning "retry budget exhausted", "More requests failed than the retry budget allows to be sent again.";
    RequestSent "MS0611" Info "request sent", "A request was sent to an endpoint.";
    RequestAnswered "MS0612" Info "request answered", "The complete response of an endpoint was forwarded.";
    RequestRetried "MS0613" Info "request retried", "A request is sent to another endpoint.";
    RequestMoved "MS0614" Warning "request moved", "A running request was moved to another chain.";
    RequestDenied "MS0615" Info "request denied", "A request was not allowed or not valid and was answered with a client error.";
    RequestStalled "MS0616" Info "request stalled", "A request made no progress, and the endpoints of its chain were asked for reports.";
    LayerShortage "MS0617" Info "layer shortage", "No endpoint that holds a layer has memory for a request.";
    ContentBlocked "MS0618" Warning "content blocked", "Several endpoints crashed when they began to run requests with the same prompt part, or repeats of one request, and none served one since; such requests are refused for a while.";
    ContentUnblocked "MS0619" Info "content unblocked", "A prompt part or request is no longer blocked: one like it was served, its crashes are forgotten, or another content explains them.";
    ContentTried "MS0620" Info "content tried", "A request with a blocked content is sent to see whether it still crashes endpoints.";
    ContentRefused "MS0621" Info "content refused", "A request is not sent because of a blocked content.";
    RequestRelayed "MS0622" Info "request relayed", "A request is sent to another router, since this one reaches no endpoint of the service.";
    StrayAnswer "MS0623" Warning "stray answer", "An endpoint or router sent an answer that is not known to be to the request in progress on its connection, or sent one while there was none; neither is used further.";
    RequestContinued "MS0624" Info "request continued", "A chain that had been silent went on, and the chain that was being opened beside it is not used.";
    AnswerWithheld "MS0625" Warning "answer withheld", "An endpoint or router answered with a status by which routers promise that a request has not run, but did not state that it has not; the status is not passed on.";
    AnswerGivenUp "MS0626" Warning "answer given up", "The memory for buffered data is used up, and the answer to a request was the largest that still grew; `buffered` and `limit` are in bytes.";
    SendEnded "MS0627" Info "send ended", "A send of a request ended without the answer that its client gets; `outcome` is what is known of its run there.";
    OutcomeContradicted "MS0628" Error "outcome contradicted", "An answer or report shows that a request has run which this router took for not run, since the endpoint had refused it (`refused`), or of which it had told the client so (`client told`).";

    PostingClaimed "MS0701" Debug "posting claimed", "The idempotency key of a posting was claimed.";
    PostingRecorded "MS0702" Debug "posting recorded", "The outcome of a posting was recorded.";
    PostingUnknown "MS0703" Error "posting unknown", "It is not known whether a posting ran.";
    PostingWithdrawn "MS0704" Info "posting withdrawn", "A claim was withdrawn because nothing had been sent.";
    PostingMismatch "MS0705" Warning "posting mismatch", "An idempotency key was used again with a different request.";

    LeaseAcquired "MS0801" Info "lease acquired", "This router holds the lease of a group of endpoints.";
    LeaseLost "MS0802" Warning "lease lost", "This router no longer holds a lease and sends no more orders for it.";
    OrderSent "MS0803" Info "order sent", "An order was sent to an endpoint.";
    OrderObserved "MS0804" Info "order observed", "The endpoint reports the ordered state.";
    OrderRefused "MS0805" Warning "order refused", "An endpoint refused an order, for example for an old fencing number.";
    OrderUnknown "MS0806" Warning "order unknown", "The answer to an order was lost; the endpoint's state is read before any repeat.";
    LeaseUnreadable "MS0807" Warning "lease unreadable", "The row of a lease cannot be decoded; it counts as the lease of an unknown holder and is replaced when that has run out.";

    BreakerOpened "MS0901" Error "platform breaker opened", "Calls to the platform fail and are suspended for a while.";
    BreakerClosed "MS0902" Info "platform breaker closed", "The platform answers again.";
    OverBudget "MS0903" Warning "platform budget used up", "This router's share of the platform's rate limit is used up; calls were held back.";
    StoreUnavailable "MS0911" Error "store unavailable", "Calls to the store fail.";
    StoreAvailable "MS0912" Info "store available again", "The store answers again.";
    ConfigUnreadable "MS0913" Error "configuration unreadable", "The store holds a configuration that cannot be decoded.";
    ConfigFetched "MS0914" Info "configuration fetched from a peer", "A peer holds a newer configuration; it reads the store for its zone, or the store cannot be reached.";
}
