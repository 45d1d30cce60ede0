use crate::{client::SettingsDocument, commands::Difference};
use serde_json::{Value, json};

/// Prints results to standard output as text or as JSON.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    is_json: bool,
}

impl Output {
    /// Selects JSON or text.
    pub fn new(is_json: bool) -> Self {
        Self { is_json }
    }

    /// Prints a JSON document: on one line in JSON mode, indented otherwise.
    pub fn document(self, document: &Value) {
        match self.is_json {
            true => println!("{document}"),
            false => println!("{document:#}"),
        }
    }

    /// Prints settings; the text form is a YAML document that `apply` accepts.
    pub fn settings(self, settings: &SettingsDocument) {
        if self.is_json {
            let document = json!({ "revision": settings.revision, "entries": settings.entries });
            return println!("{document}");
        }
        println!("# revision {}", settings.revision);
        settings.entries.iter().for_each(|(path, value)| println!("{path}: {value}"));
    }

    /// Prints the revision of a write and the number of settings changed; 0 means that nothing was
    /// written.
    pub fn write_result(self, revision: u64, changes: usize) {
        match (self.is_json, changes) {
            (true, _) => println!("{}", json!({ "revision": revision, "changes": changes })),
            (false, 0) => println!("unchanged at revision {revision}"),
            (false, _) => println!("accepted as revision {revision} (changes: {changes})"),
        }
    }

    /// Prints the differences between a settings file and the current settings.
    pub fn differences(self, differences: &[Difference]) {
        if self.is_json {
            let list = differences
                .iter()
                .map(|diff| json!({ "path": diff.path, "old": diff.old, "new": diff.new }))
                .collect::<Vec<_>>();
            return println!("{}", json!({ "differences": list }));
        }
        for diff in differences {
            diff.old.iter().for_each(|old| println!("- {}: {old}", diff.path));
            if !diff.new.is_null() {
                println!("+ {}: {}", diff.path, diff.new);
            }
        }
    }

    /// Prints accepted changes from the `edits` array of a history response, one line per setting.
    pub fn history(self, edits: &Value) {
        if self.is_json {
            return println!("{}", json!({ "edits": edits }));
        }
        for edit in edits.as_array().into_iter().flatten() {
            let by = edit["by"].as_str().unwrap_or_default();
            for change in edit["changes"].as_array().into_iter().flatten() {
                let path = change["path"].as_str().unwrap_or_default();
                let value = &change["value"];
                println!("{} at={} by={by} {path}: {value}", edit["revision"], edit["at"]);
            }
        }
    }

    /// Prints a status response: the settings revision, the zones, the daemons and the hosts that
    /// are leaving.
    pub fn status(self, status: &Value) {
        if self.is_json {
            return println!("{status}");
        }
        println!("revision {} current={}", status["revision"], status["current"]);
        for zone in status["zones"].as_array().into_iter().flatten() {
            let text = |field: &str| zone[field].as_str().unwrap_or_default().to_owned();
            println!(
                "zone {} region={} state={} endpoints={} daemons={}",
                text("zone"),
                text("region"),
                text("state"),
                zone["endpoints"],
                zone["daemons"],
            );
        }
        for daemon in status["daemons"].as_array().into_iter().flatten() {
            let text = |field: &str| daemon[field].as_str().unwrap_or_default().to_owned();
            println!("daemon {} zone={} {}", text("daemon"), text("zone"), text("address"));
        }
        for host in status["leaving"].as_array().into_iter().flatten() {
            println!("leaving {}", host.as_str().unwrap_or_default());
        }
    }
}
