use super::FleetError;
use std::{
    env,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child as Process, Command, Stdio},
};

/// What started processes log unless `RUST_LOG` says otherwise.
const CHILD_LOG: &str = "warn";

/// A process that was started here and ends with this value.
#[derive(Debug)]
pub struct Child {
    program: String,
    process: Process,
    line: String,
}

impl Child {
    /// Starts a program of the same folder as this one and reads its first line.
    ///
    /// # Errors
    /// It cannot be started or says nothing.
    pub fn start(folder: &Path, program: &str, args: &[&str]) -> Result<Self, FleetError> {
        let failed = |source| FleetError::Start { program: program.to_owned(), source };
        let mut process = Command::new(folder.join(program))
            .args(args)
            .env("RUST_LOG", env::var("RUST_LOG").unwrap_or_else(|_| CHILD_LOG.to_owned()))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(failed)?;
        let mut line = String::new();
        if let Some(stdout) = process.stdout.take() {
            BufReader::new(stdout).read_line(&mut line).map_err(failed)?;
        }
        Ok(Self { program: program.to_owned(), process, line })
    }

    /// An address that the program named in its first line as `name=IP:PORT`.
    ///
    /// # Errors
    /// The line has no such address.
    pub fn address(&self, name: &str) -> Result<SocketAddr, FleetError> {
        let value = self.line.split_whitespace().find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        });
        value.and_then(|value| value.parse().ok()).ok_or_else(|| FleetError::NoAddress {
            program: self.program.clone(),
            line: self.line.clone(),
        })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}
