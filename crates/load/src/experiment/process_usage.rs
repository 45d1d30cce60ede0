use std::{fs, io, time::Duration};

/// Length of the clock tick in which the system counts processor time; fixed on Linux.
const TICK: Duration = Duration::from_millis(10);
/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;
/// Place of the user time behind the program's name in `/proc/PID/stat`; the system time follows.
const USER_TIME_FIELD: usize = 11;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time since its start.
    pub cpu: Duration,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    /// The process is gone or the system does not tell.
    pub fn read(pid: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let behind_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = behind_name.split_whitespace().collect();
        let ticks = |index: usize| -> u32 {
            fields.get(index).and_then(|field| field.parse().ok()).unwrap_or_default()
        };
        let statm = fs::read_to_string(format!("/proc/{pid}/statm"))?;
        let pages = statm.split_whitespace().nth(1).and_then(|field| field.parse().ok());
        Ok(Self {
            cpu: TICK * (ticks(USER_TIME_FIELD) + ticks(USER_TIME_FIELD + 1)),
            resident_kib: pages.unwrap_or(0_u64) * PAGE_BYTES / 1_024,
        })
    }

    /// Usage between an earlier reading and this one; memory is that of this one.
    pub fn since(&self, earlier: &Self) -> Self {
        Self { cpu: self.cpu.saturating_sub(earlier.cpu), resident_kib: self.resident_kib }
    }
}
