use crate::{
    CliError, ExitStatus,
    client::{get_json, post_json},
    output::Output,
};
use std::net::SocketAddr;

/// Prints the prompt parts in quarantine and those for which crashes count.
pub async fn list(out: Output, address: SocketAddr) -> Result<ExitStatus, CliError> {
    out.document(&get_json(address, "/quarantine").await?);
    Ok(ExitStatus::Ok)
}

/// Lifts the quarantine of a part, given by its number in hexadecimal.
pub async fn lift(out: Output, address: SocketAddr, part: &str) -> Result<ExitStatus, CliError> {
    out.document(&post_json(address, &format!("/quarantine/lift/{part}")).await?);
    Ok(ExitStatus::Ok)
}
