use std::time::SystemTime;

/// Current time in milliseconds since the Unix epoch; 0 if the clock is set before it.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
