//! Runs routing and admission against plain versions in virtual time and prints what callers saw.
//!
//! One line for each scenario, seed and policy. There are no sockets and no threads.

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
