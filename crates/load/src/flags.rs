//! Command line of the load tool.
#![allow(missing_docs, clippy::unwrap_used)]

xflags::xflags! {
    /// Load and experiment tool of cassiagw.
    cmd cassiagw-load {
        /// Starts a small deployment, sends prompts and orders and verifies their results.
        cmd demo {
            /// Leave the deployment running until Ctrl-C.
            optional --keep
        }
        /// Measures the latency, CPU and memory overhead of the two daemons on the path of a prompt.
        cmd hop {}
        /// Runs a scenario on cassiagw and on two baselines and compares the results.
        cmd measure {
            /// Name of the scenario.
            required scenario: String
            /// Random seed of the arrivals.
            required seed: u64
            /// Run only cassiagw and print its summary and the cache counters of the endpoint daemons.
            optional --only-ours
        }
    }
}
