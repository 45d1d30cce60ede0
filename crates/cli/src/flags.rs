//! Arguments of the command line.
#![allow(missing_docs, clippy::unwrap_used)]

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Command line of cassiagw for operators.
    ///
    /// Exit status: 0 done, 1 refused or invalid (or a difference found by diff), 2 wrong usage,
    /// 3 conflict with another change, 4 unreachable or not accepted (nothing was changed),
    /// 5 outcome unknown (the change may be in force, now or later).
    ///
    /// CASSIAGW_ENTRY (addresses separated by commas) and CASSIAGW_TOKEN stand in for
    /// --entry and --token.
    cmd cassiagw {
        /// Address of an entry's HTTP interface; several are tried in their order.
        repeated --entry address: SocketAddr
        /// Bearer token of an operator or a team.
        optional --token token: String
        /// Print JSON.
        optional --json

        /// Read and write settings.
        cmd settings {
            /// Print the settings below a path, or all.
            cmd get {
                optional path: String
            }
            /// Write one setting; the value is YAML, null removes it.
            cmd set {
                required path: String
                required value: String
                /// Refuse if what it bears on was changed after this revision.
                optional --base revision: u64
            }
            /// Write every setting of a YAML document of `path: value` that differs.
            cmd apply {
                required file: PathBuf
                /// Refuse if what it bears on was changed after this revision, instead of
                /// after the revision that is read to find the differences.
                optional --base revision: u64
            }
            /// Print how a YAML document of `path: value` differs from the settings.
            cmd diff {
                required file: PathBuf
            }
            /// Print accepted changes, oldest first.
            cmd history {
                /// First revision.
                optional --from revision: u64
                /// Most changes to print.
                optional --limit count: u64
            }
        }
        /// Print what an entry knows of the system.
        cmd status {}
        /// Print the state of one daemon, from its admin address.
        cmd dump {
            required address: SocketAddr
        }
        /// Print the decisions about one request and its cause, from logs of daemons in the
        /// forwarding role on standard input.
        cmd explain {
            required id: String
        }
        /// Take availability zones out of service and back.
        cmd zone {
            /// Give no new work to a zone.
            cmd out {
                required zone: String
            }
            /// Give work to a zone again.
            cmd in {
                required zone: String
            }
        }
    }
}
