use cassiagw_core::forwarding::BootTime;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Time since the host booted, including time spent suspended (`CLOCK_BOOTTIME`).
pub fn boot_time() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
