//! Values of labels.

/// A label whose values are a fixed set.
pub trait Label: Copy + 'static {
    /// Every value, as it stands in the metrics.
    const VALUES: &'static [&'static str];

    /// The value as it stands in the metrics.
    fn as_str(self) -> &'static str;
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
        Completed "completed" "Answered whole.",
        Refused "refused" "Refused before any of it ran.",
        Failed "failed" "Given up after it had started.",
        Unknown "unknown" "It cannot be told whether it ran.",
        Cancelled "cancelled" "The caller went away.",
    }

    /// Why a request was not run.
    RefusalReason {
        Late "late" "Its deadline could not be met.",
        OverLimit "over_limit" "Its team's limit was used up.",
        Shed "shed" "The queue was full.",
        NotReady "not_ready" "The router had no configuration or was stopping.",
        NoEndpoint "no_endpoint" "No endpoints cover the model.",
        Invalid "invalid" "The request was not valid.",
    }

    /// How a request went on after it lost a stage.
    Recovery {
        Imported "imported" "The KV cache was copied from a live endpoint.",
        Rebuilt "rebuilt" "The KV cache was computed again from the tokens.",
        Restarted "restarted" "Nothing had been answered, so it started afresh.",
    }

    /// Why a reply was dropped.
    DropReason {
        Late "late" "It belonged to an earlier attempt.",
        Duplicate "duplicate" "It had been accepted before.",
        Crossed "crossed" "It belonged to another request.",
        Malformed "malformed" "It did not follow the protocol.",
    }

    /// State of an endpoint.
    EndpointState {
        Healthy "healthy" "It gets its full share of work.",
        Returning "returning" "It gets a growing share of work.",
        Ejected "ejected" "It gets no work because it failed.",
        Leaving "leaving" "It gets no new work because it is shutting down.",
    }

    /// State of another router.
    MemberState {
        Alive "alive" "Its heartbeats arrive.",
        Suspect "suspect" "Its heartbeats are overdue.",
        Dead "dead" "It has been silent too long.",
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
        Unavailable "unavailable" "The platform did not serve it.",
        OverBudget "over_budget" "It was held back by this router's budget.",
        Invalid "invalid" "The platform did not understand it.",
        Unknown "unknown" "Its answer was lost.",
    }

    /// How a posting ended.
    PostingOutcome {
        Recorded "recorded" "It ran and its outcome is recorded.",
        Repeated "repeated" "The recorded outcome was answered again.",
        Refused "refused" "It was not run.",
        Withdrawn "withdrawn" "Its claim was withdrawn before it was sent.",
        Mismatch "mismatch" "Its key had been used for another request.",
        Unknown "unknown" "It cannot be told whether it ran.",
    }
}
