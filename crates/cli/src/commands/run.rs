use super::{explain::explain, quarantine, settings, zone};
use crate::{
    CliError, ExitStatus,
    client::{EntryClient, get_json},
    flags::{Cassiagw, CassiagwCmd, QuarantineCmd, SettingsCmd, ZoneCmd},
    output::Output,
};
use std::{env, net::SocketAddr};

/// Runs the subcommand given on the command line.
///
/// # Errors
/// The error of the subcommand, or [`CliError::Usage`] if the entry addresses or the token are
/// missing or invalid.
pub async fn run(flags: Cassiagw) -> Result<ExitStatus, CliError> {
    let out = Output::new(flags.json);
    let client = || client(flags.entry.clone(), flags.token.clone());
    match flags.subcommand {
        CassiagwCmd::Settings(cmd) => match cmd.subcommand {
            SettingsCmd::Get(cmd) => settings::get(&client()?, out, cmd).await,
            SettingsCmd::Set(cmd) => settings::set(&client()?, out, cmd).await,
            SettingsCmd::Apply(cmd) => settings::apply(&client()?, out, cmd).await,
            SettingsCmd::Diff(cmd) => settings::diff(&client()?, out, cmd).await,
            SettingsCmd::History(cmd) => settings::history(&client()?, out, cmd).await,
        },
        CassiagwCmd::Status(_) => {
            out.status(&client()?.get("/v1/status").await?);
            Ok(ExitStatus::Ok)
        }
        CassiagwCmd::Dump(cmd) => {
            out.document(&get_json(cmd.address, "/dump").await?);
            Ok(ExitStatus::Ok)
        }
        CassiagwCmd::Rollout(cmd) => {
            out.document(&get_json(cmd.address, "/rollouts").await?);
            Ok(ExitStatus::Ok)
        }
        CassiagwCmd::Quarantine(cmd) => match cmd.subcommand {
            QuarantineCmd::List(cmd) => quarantine::list(out, cmd.address).await,
            QuarantineCmd::Lift(cmd) => quarantine::lift(out, cmd.address, &cmd.part).await,
        },
        CassiagwCmd::Explain(cmd) => explain(&cmd.id),
        CassiagwCmd::Zone(cmd) => match cmd.subcommand {
            ZoneCmd::Out(cmd) => zone::set_state(&client()?, out, &cmd.zone, "out").await,
            ZoneCmd::In(cmd) => zone::set_state(&client()?, out, &cmd.zone, "in").await,
        },
    }
}

fn client(entries: Vec<SocketAddr>, token: Option<String>) -> Result<EntryClient, CliError> {
    let entries = match entries.is_empty() {
        true => entries_from_env()?,
        false => entries,
    };
    let token = token.or_else(|| env::var("CASSIAGW_TOKEN").ok());
    EntryClient::new(entries, token.unwrap_or_default())
}

fn entries_from_env() -> Result<Vec<SocketAddr>, CliError> {
    let text = env::var("CASSIAGW_ENTRY").unwrap_or_default();
    text.split(',')
        .filter(|address| !address.is_empty())
        .map(|address| {
            let usage_error =
                |error| CliError::Usage(format!("CASSIAGW_ENTRY: {address:?}: {error}"));
            address.trim().parse().map_err(usage_error)
        })
        .collect()
}
