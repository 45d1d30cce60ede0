//! Operator and team sessions against an entry: checks output and exit statuses.

use cassiagw_core::settings::TokenHash;
use cassiagw_standins::{kv, server::Down};
use std::{
    fmt::Write,
    fs,
    net::SocketAddr,
    path::Path,
    process::{Command, Output},
    time::Duration,
};
use tokio::{task::spawn_blocking, time::sleep};

const OPERATOR: &str = "operator-secret";
/// Token of the team `water`, which may write only `teams/water`.
const TEAM: &str = "water-secret";

struct Step {
    token: &'static str,
    args: &'static str,
    status: i32,
}

fn operator(args: &'static str, status: i32) -> Step {
    Step { token: OPERATOR, args, status }
}

fn team(args: &'static str, status: i32) -> Step {
    Step { token: TEAM, args, status }
}

async fn start_entry(dir: &Path, kv: SocketAddr) -> (SocketAddr, SocketAddr) {
    let hash = serde_json::to_value(TokenHash::of(OPERATOR)).expect("the hash serializes");
    let any_port = "127.0.0.1:0";
    let text = format!(
        "name: e1\nhost: h1\nzone: z1\nrole: entry\noperator_token: {hash}\n\
         listen: {{http: '{any_port}', peer: '{any_port}', admin: '{any_port}'}}\n\
         platform: {{kv: ['{kv}']}}\n"
    );
    let file = dir.join("entry.yaml");
    fs::write(&file, text).expect("the configuration file is written");
    let cfg = cassiagwd::config::load(&file).expect("a valid configuration");
    let daemon = cassiagwd::Daemon::start(cfg).await.expect("the daemon starts");
    let addresses = daemon.addresses.clone();
    let cx = daemon.context();
    tokio::spawn(daemon.run(std::future::pending()));
    while !cx.view().is_current {
        sleep(Duration::from_millis(20)).await;
    }
    (addresses.http.expect("the entry listens for HTTP"), addresses.admin)
}

async fn run(dir: &Path, entry: SocketAddr, step: &Step) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cassiagw"));
    command
        .current_dir(dir)
        .env("CASSIAGW_TOKEN", step.token)
        .env("CASSIAGW_ENTRY", entry.to_string())
        .args(step.args.split(' ').filter(|arg| !arg.is_empty()));
    spawn_blocking(move || command.output().expect("the command runs"))
        .await
        .expect("the task does not panic")
}

async fn session(dir: &Path, entry: SocketAddr, steps: &[Step]) -> String {
    let mut transcript = String::new();
    for step in steps {
        let output = run(dir, entry, step).await;
        let name = if step.token == TEAM { "team" } else { "operator" };
        writeln!(transcript, "{name}$ cassiagw {}", step.args).expect("write to a string");
        for text in [&output.stdout, &output.stderr] {
            transcript.push_str(&redact_timestamps(&String::from_utf8_lossy(text)));
        }
        writeln!(transcript, "status {:?}\n", output.status.code()).expect("write to a string");
        assert_eq!(output.status.code(), Some(step.status), "{transcript}");
    }
    transcript
}

fn redact_timestamps(text: &str) -> String {
    let field = |word: &str| if word.starts_with("at=") { "at=T" } else { word }.to_owned();
    let line = |line: &str| line.split(' ').map(field).collect::<Vec<_>>().join(" ") + "\n";
    text.lines().map(line).collect()
}

fn base_settings() -> String {
    let team = serde_json::to_value(TokenHash::of(TEAM)).expect("the hash serializes");
    format!(
        "zones/z1: {{region: r1, state: in}}\n\
         models/text: {{kind: engine, versions: [v1, v2], default_version: v1}}\n\
         endpoints/e1: {{host: h1, zone: z1, model: text, rpc: '10.0.0.1:7001'}}\n\
         workspaces/water: {{weight: 2}}\n\
         access/water: {{workspace: water, token: {team}, models: [text], versions: [v1]}}\n"
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn session_matches_snapshot() {
    let dir = tempfile::tempdir().expect("create a temporary directory");
    let kv = kv::spawn(kv::Config::default()).await;
    let (entry, admin) = start_entry(dir.path(), kv.address).await;
    fs::write(dir.path().join("base.yaml"), base_settings()).expect("the settings file is written");
    fs::write(dir.path().join("team.yaml"), "teams/water/serving/text: {version: v1}\n")
        .expect("the settings file is written");
    fs::write(
        dir.path().join("wrong.yaml"),
        "zones/z1: {region: r1, state: off}\nZones/z2: {}\nendpoints/e1: null\nstores/s1: \
         {zone: z9, address: '10.0.0.1:1'}\n",
    )
    .expect("the settings file is written");
    let steps = [
        operator("settings get", 0),
        operator("settings diff base.yaml", 1),
        operator("settings apply base.yaml", 0),
        operator("settings apply base.yaml", 0),
        operator("settings diff base.yaml", 0),
        operator("settings apply wrong.yaml", 1),
        operator("settings set zones/z1 null", 1),
        operator("settings set workspaces/water {weight:0}", 1),
        operator("settings set workspaces/water {\"weight\":3} --base 0", 3),
        operator("zone out z1", 0),
        operator("zone in z1", 0),
        operator("zone out z9", 1),
        operator("--json settings get zones", 0),
        team("settings apply team.yaml", 0),
        team("settings get teams/water", 0),
        team("settings set teams/water/serving/text {\"version\":\"v2\"}", 1),
        team("settings get", 1),
        team("settings get access/water", 1),
        team("settings get teams/water/../../access/water", 1),
        team("settings set teams/wate/serving/text {}", 1),
        team("status", 1),
        operator("settings set access/water null", 1),
        operator("settings history --from 2 --limit 3", 0),
        operator("settings get a?b", 2),
        operator("settings", 2),
    ];
    insta::assert_snapshot!("session", session(dir.path(), entry, &steps).await);
    let dump = format!("dump {admin}");
    let dump = run(dir.path(), entry, &operator(dump.leak(), 0)).await;
    let dump: serde_json::Value = serde_json::from_slice(&dump.stdout).expect("the dump is JSON");
    assert_eq!((&dump["name"], &dump["revision"]), (&"e1".into(), &4.into()));
    // The store refuses connections: the write is certainly not accepted.
    kv.set_faults(|faults| faults.answers.down = Down::Refuse);
    sleep(Duration::from_secs(1)).await;
    session(dir.path(), entry, &[operator("zone out z1", 4)]).await;
    // The store accepts requests but does not respond: the outcome is unknown.
    kv.set_faults(|faults| faults.answers.down = Down::Hang);
    session(dir.path(), entry, &[operator("zone out z1", 5)]).await;
    let closed_port = "127.0.0.1:1".parse().expect("a valid address");
    session(dir.path(), closed_port, &[operator("status", 4)]).await;
}
