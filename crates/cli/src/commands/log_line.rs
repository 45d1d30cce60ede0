use humantime::parse_rfc3339;
use std::time::SystemTime;

/// Parsed line of a daemon's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Text before the daemon's own output, such as the daemon name that a log viewer adds.
    pub prefix: String,
    /// Time of the line; `None` if it has no valid RFC 3339 timestamp.
    pub at: Option<SystemTime>,
    /// Name of the event, such as `request`.
    pub event: String,
    /// Fields after `event`, in the order in which they were logged.
    pub fields: Vec<Field>,
}

/// `key=value` pair of a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Key, of lowercase ASCII letters and underscores.
    pub key: String,
    /// Value; may contain spaces, with runs of white space reduced to one space.
    pub value: String,
}

impl LogLine {
    /// Parses a line; `None` if it has no `event` field.
    pub fn parse(line: &str) -> Option<Self> {
        let (head, text) = line.split_at(line.find("event=")?);
        let mut fields = parse_fields(text);
        let event = fields.remove(0).value;
        let (prefix, timestamp) = head.split_once('[').unwrap_or(("", head));
        let timestamp = timestamp.split_whitespace().next().unwrap_or_default();
        Some(Self {
            prefix: prefix.trim().to_owned(),
            // Lines without a timestamp keep their input order: `explain` uses a stable sort.
            at: parse_rfc3339(timestamp).ok(),
            event,
            fields,
        })
    }

    /// Name of the daemon in merged logs: the last word of the prefix; `None` if there is no
    /// prefix.
    pub fn daemon(&self) -> Option<&str> {
        self.prefix.split_whitespace().last()
    }

    /// Value of the first field with this key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|field| field.key == key).map(|field| &*field.value)
    }

    /// Value of a field in milliseconds; `None` if it is missing or not a number.
    pub fn millis(&self, key: &str) -> Option<u64> {
        self.get(key)?.parse().ok()
    }
}

/// Parses `key=value` pairs. A word that is not a pair continues the preceding value.
fn parse_fields(text: &str) -> Vec<Field> {
    let mut fields: Vec<Field> = Vec::new();
    for word in text.split_ascii_whitespace() {
        match (parse_field(word), fields.last_mut()) {
            (Some(field), _) => fields.push(field),
            (None, Some(last)) => {
                last.value.push(' ');
                last.value.push_str(word);
            }
            (None, None) => {}
        }
    }
    fields
}

fn parse_field(word: &str) -> Option<Field> {
    let (key, value) = word.split_once('=')?;
    let is_key = !key.is_empty() && key.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
    is_key.then(|| Field { key: key.to_owned(), value: value.to_owned() })
}
