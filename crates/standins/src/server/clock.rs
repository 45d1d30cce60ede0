use std::time::SystemTime;

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
