//! Command line of the load tool.
#![allow(missing_docs, clippy::unwrap_used)]

xflags::xflags! {
    /// Load and experiment tool of cassiagw.
    cmd cassiagw-load {
        /// Starts a small deployment, sends prompts and orders and checks what became of them.
        cmd demo {
            /// Leave the deployment running until Ctrl-C.
            optional --keep
        }
        /// Measures what the two daemons on a prompt's path add to a bare hop.
        cmd hop {}
        /// Runs a scenario on cassiagw and two baselines and compares them.
        cmd measure {
            /// Name of the scenario.
            required scenario: String
            /// Seed of the arrivals.
            required seed: u64
            /// Only run cassiagw and print the endpoint daemons' own counts.
            optional --only-ours
        }
    }
}
