use env_logger::{Builder, Env, Target, fmt::Formatter};
use log::{
    Record,
    kv::{self, Key, Value, VisitSource},
};
use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::Duration,
};

/// Maximum size of buffered log lines in bytes. Further lines are dropped and counted.
const MAX_PENDING_BYTES: usize = 128 * 1024;
/// Time for which lines are collected before they are written in one call.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// Log lines that have not been written yet.
#[derive(Default)]
struct PendingLines {
    lines: Vec<u8>,
    dropped: u64,
}

#[derive(Default)]
struct Shared {
    pending: Mutex<PendingLines>,
    line_added: Condvar,
}

/// Writer that never blocks: lines are buffered and a dedicated thread writes them.
struct LineBuffer(Arc<Shared>);

impl Write for LineBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut pending = self.0.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.lines.len() + line.len() > MAX_PENDING_BYTES {
            pending.dropped += 1;
            return Ok(line.len());
        }
        let is_first = pending.lines.is_empty();
        pending.lines.extend_from_slice(line);
        if is_first {
            self.0.line_added.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Installs a logger that writes to standard output without blocking the callers.
///
/// # Errors
/// The writer thread cannot be started.
pub fn init_logging() -> io::Result<()> {
    let shared = Arc::new(Shared::default());
    let writer = shared.clone();
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&writer))?;
    let env = Env::default().default_filter_or("info,tarpc=off");
    Builder::from_env(env)
        .format(write_line)
        .target(Target::Pipe(Box::new(LineBuffer(shared))))
        .init();
    Ok(())
}

/// Formats a record as time and level, key-value pairs, then the message.
fn write_line(f: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    write!(f, "[{} {:<5}]", f.timestamp_millis(), record.level())?;
    record.key_values().visit(&mut FieldWriter(f)).map_err(io::Error::other)?;
    match record.args().as_str() {
        Some("") => writeln!(f),
        _ => writeln!(f, " {}", record.args()),
    }
}

/// Formats key-value pairs as ` key=value`.
struct FieldWriter<'a>(&'a mut Formatter);

impl VisitSource<'_> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'_>, value: Value<'_>) -> Result<(), kv::Error> {
        Ok(write!(self.0, " {key}={value}")?)
    }
}

fn write_lines(shared: &Shared) {
    loop {
        let mut pending = shared.pending.lock().unwrap_or_else(PoisonError::into_inner);
        while pending.lines.is_empty() {
            pending = shared.line_added.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
        drop(pending);
        thread::sleep(FLUSH_DELAY);
        let mut pending = shared.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = std::mem::take(&mut pending.lines);
        let dropped = std::mem::take(&mut pending.dropped);
        drop(pending);
        let mut out = io::stdout().lock();
        // Errors are ignored: there is no other output to report them to.
        let _ = out.write_all(&lines);
        if dropped > 0 {
            let _ = writeln!(out, "event=log_lines_dropped count={dropped}");
        }
        let _ = out.flush();
    }
}
