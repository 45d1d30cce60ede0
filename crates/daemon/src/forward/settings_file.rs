use super::forwarder::Forwarder;
use cassiagw_core::forwarding::ForwardConfig;
use std::{fs, io, path::PathBuf, sync::Arc, time::Duration};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::sleep,
};

/// Polling interval of the settings file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Parser of a settings file's text; the error names the field.
pub type ReadSettings = fn(&str) -> Result<ForwardConfig, String>;

/// Settings file of a daemon, reloaded on SIGHUP and when its content changes.
pub struct SettingsFile {
    path: PathBuf,
    text: String,
    read: ReadSettings,
    hangup: Signal,
}

impl SettingsFile {
    /// Starts to watch a file whose current text is already loaded, and installs the SIGHUP
    /// handler.
    ///
    /// # Errors
    /// The signal handler cannot be installed.
    pub fn new(path: PathBuf, text: String, read: ReadSettings) -> io::Result<Self> {
        Ok(Self { path, text, read, hangup: signal(SignalKind::hangup())? })
    }

    /// Applies changes until the future is dropped. A file that cannot be read or parsed leaves the
    /// settings unchanged.
    pub async fn follow(mut self, fw: Arc<Forwarder>) {
        loop {
            let is_hangup = tokio::select! {
                _ = self.hangup.recv() => true,
                () = sleep(POLL_INTERVAL) => false,
            };
            let path = self.path.display();
            match fs::read_to_string(&self.path) {
                Ok(text) if text == self.text => {
                    if is_hangup {
                        log::info!(event = "reloaded", path:% = path, changed = false; "");
                    }
                }
                Ok(text) => {
                    match (self.read)(&text) {
                        Ok(cfg) => {
                            log::info!(event = "reloaded", path:% = path, changed = true; "");
                            fw.reload(cfg);
                        }
                        Err(error) => {
                            log::warn!(event = "reload_failed", path:% = path, error:% = error; "");
                        }
                    }
                    self.text = text;
                }
                Err(error) => {
                    log::warn!(event = "reload_failed", path:% = path, error:% = error; "");
                }
            }
        }
    }
}
