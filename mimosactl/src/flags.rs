//! Definition of the command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Changes and watches the resources of mimosashift routers.
    ///
    /// Every command reads the operator address from --server or
    /// MIMOSACTL_SERVER and the token from MIMOSACTL_TOKEN.
    /// Exit codes: 0 success, 1 the router did not answer, 2 invalid usage or
    /// file, 3 refused, 4 conflict with another operator's change, 5 outcome
    /// unknown, 6 the wait timed out.
    cmd mimosactl {
        /// Operator address of a router, IP and port.
        optional -s, --server address: String
        /// Output format: table or json.
        optional -o, --output format: String
        /// Creates or updates resources from files, directories or standard input (-).
        cmd apply {
            /// A JSON file, a directory of such files, or - for standard input.
            repeated -f, --file path: PathBuf
            /// Validates the resources without changing them.
            optional --dry-run
            /// Waits until the change is in force on all live routers.
            optional --wait
        }
        /// Shows one resource.
        cmd get {
            /// Kind of resource.
            required kind: String
            /// Name of the resource.
            required name: String
        }
        /// Lists the resources of a kind.
        cmd list {
            /// Kind of resource.
            required kind: String
        }
        /// Deletes a resource.
        cmd delete {
            /// Kind of resource.
            required kind: String
            /// Name of the resource.
            required name: String
            /// Deletes the resource only if it has this revision.
            optional --revision number: u64
        }
        /// Prints changes as the router installs them.
        cmd watch {
            /// Starts after this revision; default: the current one.
            optional --after revision: u64
        }
        /// Waits until a revision is in force on all live routers.
        cmd wait {
            /// Revision to wait for.
            required revision: u64
            /// Maximum wait in seconds; default: 30.
            optional --timeout seconds: u64
        }
        /// Shows the audit trail.
        cmd audit {
            /// Starts after this revision.
            optional --after revision: u64
            /// Only changes of this kind of resource.
            optional --kind kind: String
            /// Only changes of the resource with this name.
            optional --name name: String
            /// Only changes by this operator.
            optional --operator name: String
            /// Maximum number of entries; default: 100.
            optional --limit count: u32
        }
        /// Shows the chain of endpoints that a request would be routed to, and why.
        ///
        /// Takes the model, or for mimosafront, whose metrics address is the server
        /// then, the head of a request, its sizes, or both.
        cmd explain {
            /// Model name, as in requests of callers.
            optional model: String
            /// Prompt length in tokens; default with a model: 100.
            optional --prompt-tokens count: u32
            /// File with the head of the request, or - for standard input.
            optional --head path: PathBuf
            /// Host of the request.
            optional --host name: String
            /// Path of the request.
            optional --path path: String
            /// Method of the request; default: POST.
            optional --method name: String
            /// Team in whose name the request is sent.
            optional --team name: String
            /// Prompt length in tokens.
            optional --prompt count: u32
            /// Maximum output in tokens.
            optional --max-output count: u32
            /// Expected output in tokens.
            optional --hint count: u32
            /// Parts of the prompt, as in the request.
            optional --prefix parts: String
            /// Prints JSON, as --output json.
            optional --json
        }
        /// Shows the router's state.
        cmd status {
        }
        /// Lists postings whose outcome is unknown.
        cmd postings {
        }
        /// Records whether a posting with unknown outcome ran.
        cmd resolve {
            /// Key of the posting, as `postings` shows it.
            required key: String
            /// The posting ran.
            optional --ran
            /// The posting did not run.
            optional --not-run
        }
        /// Starts a graceful shutdown of the router.
        cmd drain {
        }
        /// Prints a completion script for bash.
        cmd completions {
        }
    }
}
