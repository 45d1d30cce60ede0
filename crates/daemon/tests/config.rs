//! Validation of the daemon's configuration file.

use cassiagwd::config::{ConfigError, Role, parse};
use proptest::prelude::*;

const ENTRY: &str = "
name: entry-1
host: h1
zone: z1
role: entry
listen: {http: '127.0.0.1:0', peer: '127.0.0.1:0', admin: '127.0.0.1:0'}
platform: {kv: ['127.0.0.1:2379']}
operator_token: '0000000000000000000000000000000000000000000000000000000000000000'
";

struct Case {
    name: &'static str,
    text: String,
    faults: &'static [&'static str],
}

#[test]
fn every_fault_is_reported_with_its_path() {
    let cases = [
        Case {
            name: "unknown setting",
            text: format!("{ENTRY}colour: red\n"),
            faults: &["colour"],
        },
        Case {
            name: "wrong type and bad unit at once",
            text: ENTRY.replace("host: h1", "host: [1]")
                + "limits: {max_body: 4 parsecs, drain_timeout: 0s}\n",
            faults: &["host", "limits.max_body", "limits.drain_timeout"],
        },
        Case {
            name: "missing addresses",
            text: ENTRY.replace("http: '127.0.0.1:0', ", "").replace("kv: ['127.0.0.1:2379']", ""),
            faults: &["listen.http", "platform.kv"],
        },
        Case {
            name: "endpoint role without its section",
            text: ENTRY.replace("role: entry", "role: endpoint"),
            faults: &[
                "endpoint.id",
                "endpoint.kind",
                "endpoint.upstream",
                "listen.rpc",
                "listen.http",
            ],
        },
        Case { name: "unknown role", text: ENTRY.replace("entry\n", "exit\n"), faults: &["role"] },
        Case {
            name: "not a mapping",
            text: "- 1\n".to_owned(),
            faults: &["", "name", "listen.peer"],
        },
    ];
    for case in cases {
        let Err(ConfigError::Invalid(faults)) = parse(&case.text) else {
            panic!("{}: accepted, or rejected with another error", case.name);
        };
        for path in case.faults {
            let found = faults.iter().any(|fault| fault.path == *path);
            assert!(found, "{}: no fault at {path:?} in {faults:?}", case.name);
        }
    }
}

#[test]
fn valid_settings_are_typed() {
    let config = parse(ENTRY).expect("valid settings");
    assert_eq!(config.role, Role::Entry);
    assert_eq!(config.limits, Default::default());
}

proptest! {
    #[test]
    fn any_text_is_answered_without_a_panic(text in "\\PC{0,200}") {
        let _ = parse(&text);
        let _ = parse(&format!("{ENTRY}{text}"));
    }
}
