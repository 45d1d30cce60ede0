use super::FleetError;
use std::{
    env,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
};

/// Log filter of child processes if `RUST_LOG` is not set.
const CHILD_LOG: &str = "warn";

/// Child process that is killed when this value is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    program: String,
    process: Child,
    line: String,
}

impl ChildProcess {
    /// Starts a program from `folder` and reads the first line of its standard output.
    ///
    /// # Errors
    /// The program cannot be started or its output cannot be read.
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

    /// Address that the program printed in its first line as `name=IP:PORT`.
    ///
    /// # Errors
    /// The first line has no valid address under this name.
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

    /// Process ID assigned by the operating system.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Kills the process and waits for it to exit.
    pub fn kill(&mut self) {
        // Fails if the process has already exited, which is fine.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
