//! Runs one scenario of the review: `review-standins CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0`
//! in the environment, the disruption does not come.

mod cases;
mod daemon;
mod http;
mod json;
mod manifest;
mod record;
mod replica;
mod requester;
mod store;

use cases::Context;
use record::Record;
use std::{
    env, fs, panic,
    path::Path,
    process::{self, ExitCode},
};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::new();
    let dir = env::temp_dir().join(format!("review-{case}-{}", process::id()));
    if let Err(error) = fs::create_dir_all(&dir) {
        eprintln!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let result = panic::catch_unwind(|| {
        let context = Context { record: &record, dir: &dir, has_trouble };
        match case.as_str() {
            "cut-watch" => cases::cut_watch(&context),
            "late-registration" => cases::late_registration(&context),
            "dedicated-later" => cases::dedicated_later(&context),
            "crash-then-kill" => cases::crash_then_kill(&context),
            _ => None,
        }
    });
    record.write(&Path::new(folder).join("record.txt"));
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&dir);
    } else {
        println!("logs: {}", dir.display());
    }
    match result {
        Ok(Some(true)) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Some(false)) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        _ => {
            println!("the case could not run");
            ExitCode::from(2)
        }
    }
}
