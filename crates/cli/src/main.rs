//! `cassiagw`, the operator command line of cassiagw.

use cassiagw::{commands, flags::Cassiagw};
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match commands::run(Cassiagw::from_env_or_exit()).await {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("cassiagw: {error}");
            error.exit_status().into()
        }
    }
}
