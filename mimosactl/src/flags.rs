//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Changes and watches the resources of mimosashift routers.
    ///
    /// Every command reads the operator address from --server or
    /// MIMOSACTL_SERVER and the token from MIMOSACTL_TOKEN.
    /// Exit codes: 0 done, 1 the router was not reached, 2 wrong usage or file,
    /// 3 refused, 4 another operator's change won, 5 outcome unknown,
    /// 6 the wait timed out.
    cmd mimosactl {
        /// Operator address of a router, IP and port.
        optional -s, --server address: String
        /// Output form: table or json.
        optional -o, --output form: String
        /// Declares resources from files, directories or standard input (-).
        cmd apply {
            /// A JSON file, a directory of such files, or - for standard input.
            repeated -f, --file path: PathBuf
            /// Checks only.
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
            /// Deletes only this revision.
            optional --revision number: u64
        }
        /// Prints changes as they come into force on the router.
        cmd watch {
            /// Starts after this revision; the current one unless given.
            optional --after revision: u64
        }
        /// Waits until a revision is in force on all live routers.
        cmd wait {
            /// The revision.
            required revision: u64
            /// Longest wait in seconds; 30 unless given.
            optional --timeout seconds: u64
        }
        /// Shows the audit trail.
        cmd audit {
            /// Starts after this revision.
            optional --after revision: u64
            /// Only changes of this kind of resource.
            optional --kind kind: String
            /// Only changes of the resource of this name.
            optional --name name: String
            /// Only changes by this operator.
            optional --operator name: String
            /// Most entries; 100 unless given.
            optional --limit count: u32
        }
        /// Shows the chain that a request would get, and why.
        cmd explain {
            /// Model as callers name it.
            required model: String
            /// Prompt length in tokens; 100 unless given.
            optional --prompt-tokens count: u32
        }
        /// Shows the router's state.
        cmd status {
        }
        /// Lists postings whose outcome is unknown.
        cmd postings {
        }
        /// Records what was found out about a posting.
        cmd resolve {
            /// Key of the posting as `postings` shows it.
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
