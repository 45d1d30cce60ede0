use std::{fs, io, time::Duration};

/// Length of the clock tick in which `/proc` reports CPU time (`USER_HZ`, 100 per second on Linux).
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;
/// Index of the user time among the fields after the program name in `/proc/PID/stat`; the system
/// time is the next field.
const USER_TIME_FIELD: usize = 11;

/// CPU time and resident memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// User and system CPU time since the process started.
    pub cpu: Duration,
    /// Resident set size, in KiB.
    pub resident_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process from `/proc`.
    ///
    /// # Errors
    /// The files of the process in `/proc` cannot be read, for example because it has exited.
    pub fn read(pid: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| -> u32 {
            fields.get(index).and_then(|field| field.parse().ok()).unwrap_or_default()
        };
        let statm = fs::read_to_string(format!("/proc/{pid}/statm"))?;
        let pages = statm.split_whitespace().nth(1).and_then(|field| field.parse().ok());
        Ok(Self {
            cpu: CLOCK_TICK * (ticks(USER_TIME_FIELD) + ticks(USER_TIME_FIELD + 1)),
            resident_kib: pages.unwrap_or(0_u64) * PAGE_BYTES / 1_024,
        })
    }

    /// CPU time used since an earlier reading; the memory is that of this reading.
    pub fn since(&self, earlier: &Self) -> Self {
        Self { cpu: self.cpu.saturating_sub(earlier.cpu), resident_kib: self.resident_kib }
    }
}
