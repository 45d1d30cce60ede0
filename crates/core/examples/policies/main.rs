//! Discrete-event simulation that compares the routing and admission policies with simpler ones.
//!
//! Prints one line of client-side results per scenario, seed and policy. It runs in virtual time,
//! without sockets or threads.

mod endpoint;
mod run;
mod scenario;
mod tally;

use self::{
    run::Run,
    scenario::{Policy, scenarios},
    tally::print,
};

const SEEDS: u64 = 6;

fn main() {
    for scenario in scenarios() {
        let policies = if scenario.endpoints == 1 {
            [Policy::Plain, Policy::StrictPriority, Policy::NoReserve, Policy::Cassiagw]
        } else {
            [Policy::Plain, Policy::RampPerEntry, Policy::NoReserve, Policy::Cassiagw]
        };
        for seed in 1..=SEEDS {
            for policy in policies {
                print(&scenario, policy, seed, Run::new(&scenario, policy, seed).run());
            }
        }
    }
}
