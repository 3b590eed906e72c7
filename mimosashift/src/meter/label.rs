//! Labels of metrics and their values.

use crate::deployment::Rank;

/// A metric label with a fixed set of values.
pub trait Label: Copy + 'static {
    /// Every value, as exported in the metrics.
    const VALUES: &'static [&'static str];

    /// The value as exported in the metrics.
    fn as_str(self) -> &'static str;
}

impl Label for Rank {
    const VALUES: &'static [&'static str] = &["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];

    fn as_str(self) -> &'static str {
        Self::VALUES[usize::from(self.level())]
    }
}

/// Declares enums of label values.
macro_rules! labels {
    ($($(#[$doc:meta])* $name:ident { $($variant:ident $text:literal $help:literal,)* })*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name {
            $(#[doc = $help] $variant,)*
        }

        impl $name {
            /// Every value.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];
        }

        impl Label for $name {
            const VALUES: &'static [&'static str] = &[$($text,)*];

            fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    )*};
}

labels! {
    /// How a request ended.
    Outcome {
        Completed "completed" "The response was complete.",
        Refused "refused" "Refused before any of it ran.",
        Failed "failed" "Failed after it had started.",
        Unknown "unknown" "It is not known whether it ran.",
        Cancelled "cancelled" "The caller disconnected.",
    }

    /// Whether engines had room for a request.
    Admission {
        Admitted "admitted" "There was room.",
        Refused "refused" "There was none.",
    }

    /// Why a request was not run.
    RefusalReason {
        Late "late" "Its deadline could not be met.",
        OverLimit "over_limit" "Its team's limit was reached.",
        Shed "shed" "The queue was full.",
        NotReady "not_ready" "The router had no configuration or was stopping.",
        NoEndpoint "no_endpoint" "No endpoints cover the model.",
        Invalid "invalid" "The request was not valid.",
        Blocked "blocked" "A part of its prompt crashes engines.",
    }

    /// How a request was recovered after it lost a stage.
    Recovery {
        Imported "imported" "The KV cache was copied from a live endpoint.",
        Rebuilt "rebuilt" "The KV cache was recomputed from the tokens.",
        Restarted "restarted" "No token had been sent, so the request was started again.",
    }

    /// Why a reply was dropped.
    DropReason {
        Late "late" "It belonged to an earlier attempt.",
        Duplicate "duplicate" "The same reply had already been accepted.",
        Crossed "crossed" "It belonged to another request.",
        Malformed "malformed" "It did not follow the protocol.",
    }

    /// State of an endpoint.
    EndpointState {
        Healthy "healthy" "It receives its full share of work.",
        Returning "returning" "It receives a growing share of work.",
        Ejected "ejected" "It receives no work because it failed.",
        Leaving "leaving" "It receives no new work because it is shutting down.",
    }

    /// State of another router.
    MemberState {
        Alive "alive" "Its heartbeats arrive.",
        Suspect "suspect" "Its heartbeats are overdue.",
        Dead "dead" "No heartbeat arrived within the time limit.",
        Leaving "leaving" "It announced its shutdown.",
    }

    /// Transport between routers.
    Transport {
        Udp "udp" "Datagrams.",
        Tcp "tcp" "Streams.",
    }

    /// Call to the platform's table service.
    PlatformCall {
        Read "read" "One row.",
        Scan "scan" "Part of a table.",
        Commit "commit" "A transaction.",
    }

    /// How a call to the platform ended.
    CallOutcome {
        Done "done" "It took effect.",
        Conflict "conflict" "A precondition did not hold.",
        Unavailable "unavailable" "The platform was not available.",
        OverBudget "over_budget" "It was held back by this router's budget.",
        Invalid "invalid" "The platform rejected it as malformed.",
        Unknown "unknown" "Its answer was lost.",
    }

    /// How a posting ended.
    PostingOutcome {
        Recorded "recorded" "It ran and its outcome is recorded.",
        Repeated "repeated" "The recorded outcome was returned again.",
        Refused "refused" "It was not run.",
        Withdrawn "withdrawn" "Its claim was withdrawn before the posting was sent.",
        Mismatch "mismatch" "Its key had been used for another request.",
        Unknown "unknown" "It is not known whether it ran.",
    }
}
