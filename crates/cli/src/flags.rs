//! Command-line arguments.
#![allow(missing_docs, clippy::unwrap_used)]

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Operator command line of cassiagw.
    ///
    /// Exit status: 0 success, 1 rejected or invalid (or differences found by diff), 2 usage error,
    /// 3 conflict with a concurrent change, 4 unreachable or not accepted (nothing was changed),
    /// 5 outcome unknown (the change may have been applied or may still be applied).
    ///
    /// Defaults of --entry and --token: the environment variables CASSIAGW_ENTRY (comma-separated
    /// addresses) and CASSIAGW_TOKEN.
    cmd cassiagw {
        /// HTTP address of an entry daemon; may be repeated, and addresses are tried in order.
        repeated --entry address: SocketAddr
        /// Bearer token of an operator or a team.
        optional --token token: String
        /// Print results as JSON.
        optional --json

        /// Read and write settings.
        cmd settings {
            /// Print the settings below a path, or all settings.
            cmd get {
                optional path: String
            }
            /// Write one setting. The value is YAML; null removes the setting.
            cmd set {
                required path: String
                required value: String
                /// Reject the write if a setting that it writes, or one linked to it by a
                /// reference, was changed after this revision.
                optional --base revision: u64
            }
            /// Write the settings of a YAML file of `path: value` that differ from current values.
            cmd apply {
                required file: PathBuf
                /// Reject the write if a setting that it writes, or one linked to it by a
                /// reference, was changed after this revision
                /// [default: the revision that the file is compared with].
                optional --base revision: u64
            }
            /// Compare a YAML file of `path: value` with the current settings.
            cmd diff {
                required file: PathBuf
            }
            /// Print accepted changes, oldest first.
            cmd history {
                /// First revision to print [default: 1].
                optional --from revision: u64
                /// Maximum number of revisions to print [default: 100].
                optional --limit count: u64
            }
        }
        /// Print the system status as seen by an entry daemon.
        cmd status {}
        /// Print the internal state of the daemon with this admin address.
        cmd dump {
            required address: SocketAddr
        }
        /// Show prompt parts that crash endpoints, or lift a quarantine.
        cmd quarantine {
            /// Print the parts in quarantine and those for which crashes count, as known to the forwarding daemon
            /// with this admin address.
            cmd list {
                required address: SocketAddr
            }
            /// Lift the quarantine of a part, at all daemons. Its requests are served again, and
            /// earlier crashes no longer count.
            cmd lift {
                required address: SocketAddr
                /// The part's number as printed by list.
                required part: String
            }
        }
        /// Print the rollouts of services as known to the forwarding daemon with this admin address:
        /// the state of each, the reason for it and the evidence.
        cmd rollout {
            required address: SocketAddr
        }
        /// Print the decisions about a request and the cause of its outcome, from forwarding
        /// daemons' logs on standard input.
        cmd explain {
            required id: String
        }
        /// Take an availability zone out of service or put it back.
        cmd zone {
            /// Stop sending new work to a zone.
            cmd out {
                required zone: String
            }
            /// Resume sending new work to a zone.
            cmd in {
                required zone: String
            }
        }
    }
}
