//! Case 7: callers as in the users' tenth letter make daemons exceed the memory of their machines.

use cassiagw_review_2::{
    crowd::{Misuse, crowd},
    daemon::{Daemon, MEMORY_MB},
    deployment::{Deployment, order},
    record::{Record, has_trouble},
};
use std::{
    net::TcpStream,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

/// Memory over which the platform ends a process, in bytes. The unit is taken as 2^20 bytes, the larger
/// of the two that "MB" can mean.
const MAX_MEMORY: u64 = MEMORY_MB * 1_024 * 1_024;
/// Times that the crowd comes to each daemon, unless its process has ended often enough before.
const WAVES: usize = 5;
/// Ends of a process in a day that break the rule.
const ENDS: usize = 3;
/// Callers in a crowd that do not read their long answers.
const SLOW_READERS: usize = 60;
/// Callers in a crowd that leave a chunked body open, and what each sends.
const OPEN_BODIES: usize = 1_850;
const OPEN_BODY: Misuse = Misuse::OpenBody { bytes: 16_000, chunk: 16_000 };
/// Time for which a crowd stays.
const STAY: Duration = Duration::from_secs(8);
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

fn main() -> ExitCode {
    let record = Record::new();
    let Some(mut deployment) = Deployment::start(2, &record) else { return ExitCode::from(2) };
    let mut ends = [0; 2];
    for wave in 1..=WAVES {
        for (daemon, ends) in deployment.daemons.iter_mut().zip(&mut ends) {
            if *ends >= ENDS {
                continue;
            }
            let name = daemon.name.clone();
            let status = order(daemon);
            record.line(format!("wave {wave}: an ordinary order at {name}: {status:?}"));
            if status != Some(200) {
                return ExitCode::from(2);
            }
            let (callers, peak) = play_wave(daemon, wave);
            let open = callers.len();
            record.line(format!("wave {wave}: {open} callers, {name} has up to {peak} bytes"));
            if has_trouble() && open < SLOW_READERS + OPEN_BODIES {
                record.line("not all callers could connect");
                return ExitCode::from(2);
            }
            if peak > MAX_MEMORY {
                record.line(format!("wave {wave}: {name} is over {MAX_MEMORY} bytes and ends"));
                daemon.kill();
                *ends += 1;
                thread::sleep(RESTART_DELAY);
                daemon.start();
            }
            drop(callers);
            if !daemon.wait_ready() {
                record.line(format!("{name} is not ready again after 20 s"));
                return ExitCode::from(2);
            }
        }
    }
    let is_broken = ends.iter().all(|ends| *ends >= ENDS);
    record.line(format!("ends over the memory, by daemon: {ends:?}; broken: {is_broken}"));
    ExitCode::from(u8::from(is_broken))
}

/// Lets a crowd come to a daemon; returns its connections and the largest resident memory, in bytes.
fn play_wave(daemon: &Daemon, wave: usize) -> (Vec<TcpStream>, u64) {
    thread::scope(|scope| {
        let watch = scope.spawn(|| {
            let started = Instant::now();
            let mut peak = 0;
            while peak <= MAX_MEMORY && started.elapsed() < STAY {
                peak = daemon.memory().max(peak);
                thread::sleep(Duration::from_millis(5));
            }
            peak
        });
        let mut callers = Vec::new();
        if has_trouble() {
            let name = format!("open-{wave}-{}", daemon.name);
            callers.extend(crowd(daemon, OPEN_BODY, OPEN_BODIES, &name));
            let name = format!("slow-{wave}-{}", daemon.name);
            callers.extend(crowd(daemon, Misuse::SlowReader, SLOW_READERS, &name));
        }
        let peak = watch.join().unwrap_or(0);
        (callers, peak)
    })
}
