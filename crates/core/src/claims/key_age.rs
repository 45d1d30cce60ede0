use std::time::Duration;
use thiserror::Error;

/// Retention of claims, which also bounds the age of a key, and limits on key length.
#[derive(Clone, Copy, Debug)]
pub struct KeyLimits {
    /// Age from which a dated key (UUIDv7) is refused.
    pub retention: Duration,
    /// Retention of the claim of an undated key.
    pub undated_retention: Duration,
    /// Maximum clock skew that is tolerated between two machines.
    pub clock_skew: Duration,
    /// Maximum length of a key, in bytes.
    pub max_key_bytes: usize,
}

impl Default for KeyLimits {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(3_600),
            undated_retention: Duration::from_secs(24 * 3_600),
            clock_skew: Duration::from_secs(300),
            max_key_bytes: 256,
        }
    }
}

/// Creation time that can be read from a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// A UUIDv7 created at this time, in milliseconds since the Unix epoch.
    Dated(u64),
    /// A key without a usable timestamp.
    Undated,
}

/// Reason for which a key is refused; neither tells whether an earlier request with the key ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyAgeError {
    /// The key is past its retention, so its claim may have been removed.
    #[error("Idempotency-Key is older than the {0:?} that keys are kept")]
    Expired(Duration),
    /// The key is empty, too long or contains a byte that is not visible ASCII.
    #[error("Idempotency-Key must be 1 to {0} visible ASCII characters")]
    Malformed(usize),
}

impl KeyAge {
    /// Reads the timestamp of a key.
    ///
    /// A UUIDv7 further in the future than the clock skew allows counts as undated; otherwise a
    /// caller could extend the retention of its claim arbitrarily.
    pub fn of(key: &str, unix_ms: u64, limits: &KeyLimits) -> Self {
        let latest = unix_ms.saturating_add(as_ms(limits.clock_skew));
        match uuid_v7_ms(key) {
            Some(created_ms) if created_ms <= latest => Self::Dated(created_ms),
            _ => Self::Undated,
        }
    }

    /// Validates a key that is received at `unix_ms`.
    ///
    /// # Errors
    /// `Expired` for a dated key past its retention, `Malformed` for a key that is empty, longer than
    /// `max_key_bytes` or not visible ASCII.
    pub fn check(key: &str, unix_ms: u64, limits: &KeyLimits) -> Result<Self, KeyAgeError> {
        let is_visible = key.bytes().all(|byte| (0x21..=0x7e).contains(&byte));
        if key.is_empty() || key.len() > limits.max_key_bytes || !is_visible {
            return Err(KeyAgeError::Malformed(limits.max_key_bytes));
        }
        let age = Self::of(key, unix_ms, limits);
        match age {
            Self::Dated(created_ms)
                if created_ms.saturating_add(as_ms(limits.retention)) <= unix_ms =>
            {
                Err(KeyAgeError::Expired(limits.retention))
            }
            _ => Ok(age),
        }
    }

    /// Time from which a claim recorded at `unix_ms` may be removed, in milliseconds since the Unix
    /// epoch.
    ///
    /// Includes the clock skew, so that by then every clock within the skew refuses a dated key.
    pub fn kept_until_ms(self, unix_ms: u64, limits: &KeyLimits) -> u64 {
        let (from, retention) = match self {
            Self::Dated(created_ms) => (created_ms, limits.retention),
            Self::Undated => (unix_ms, limits.undated_retention),
        };
        from.saturating_add(as_ms(retention)).saturating_add(as_ms(limits.clock_skew))
    }
}

fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Reads the timestamp of a UUIDv7 in its hyphenated form of 36 characters.
fn uuid_v7_ms(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let is_uuid_v7 = bytes.len() == 36
        && bytes.iter().enumerate().all(|(at, byte)| match at {
            8 | 13 | 18 | 23 => *byte == b'-',
            14 => *byte == b'7',
            19 => b"89abAB".contains(byte),
            _ => byte.is_ascii_hexdigit(),
        });
    let timestamp = is_uuid_v7.then(|| format!("{}{}", &key[..8], &key[9..13]))?;
    u64::from_str_radix(&timestamp, 16).ok()
}
