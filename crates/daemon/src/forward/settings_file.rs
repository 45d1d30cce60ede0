use super::forwarder::Forward;
use cassiagw_core::forwarding::ForwardConfig;
use std::{fs, io, path::PathBuf, sync::Arc, time::Duration};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::sleep,
};

/// Time between two looks at the settings file, which may change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings of a daemon from a file's text; the error names the field.
pub type ReadSettings = fn(&str) -> Result<ForwardConfig, String>;

/// Settings file of a daemon, read again on SIGHUP and when it has changed.
pub struct SettingsFile {
    path: PathBuf,
    text: String,
    read: ReadSettings,
    hangup: Signal,
}

impl SettingsFile {
    /// Follows a file whose present text was read already; from now on SIGHUP is taken.
    ///
    /// # Errors
    /// The signal cannot be taken.
    pub fn new(path: PathBuf, text: String, read: ReadSettings) -> io::Result<Self> {
        Ok(Self { path, text, read, hangup: signal(SignalKind::hangup())? })
    }

    /// Takes changes until the future is dropped; a file that cannot be used changes nothing.
    pub async fn follow(mut self, fw: Arc<Forward>) {
        loop {
            let is_asked = tokio::select! {
                _ = self.hangup.recv() => true,
                () = sleep(LOOK_INTERVAL) => false,
            };
            let path = self.path.display();
            match fs::read_to_string(&self.path) {
                Ok(text) if text == self.text => {
                    if is_asked {
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
