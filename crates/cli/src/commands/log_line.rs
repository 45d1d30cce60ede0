use humantime::parse_rfc3339;
use std::time::SystemTime;

/// Line of a daemon's log with its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// What stands before the daemon's own text, such as its name where logs were merged.
    pub prefix: String,
    /// When it was written.
    pub at: Option<SystemTime>,
    /// Name of what it tells.
    pub event: String,
    /// Other fields, in their order.
    pub fields: Vec<Field>,
}

/// One `key=value` of a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Key.
    pub key: String,
    /// Value; it may hold blanks.
    pub value: String,
}

impl LogLine {
    /// Reads a line; none if it tells of no event.
    pub fn parse(line: &str) -> Option<Self> {
        let (head, text) = line.split_at(line.find("event=")?);
        let mut fields = read_fields(text);
        let event = fields.remove(0).value;
        let (prefix, stamp) = head.split_once('[').unwrap_or(("", head));
        let stamp = stamp.split_whitespace().next().unwrap_or_default();
        Some(Self {
            prefix: prefix.trim().to_owned(),
            // Without a time, lines keep the order in which they were read.
            at: parse_rfc3339(stamp).ok(),
            event,
            fields,
        })
    }

    /// Name of the daemon in merged logs: the last word before its own text.
    pub fn daemon(&self) -> Option<&str> {
        self.prefix.split_whitespace().last()
    }

    /// Value of a field.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|field| field.key == key).map(|field| &*field.value)
    }

    /// Value of a field that is a count of milliseconds.
    pub fn millis(&self, key: &str) -> Option<u64> {
        self.get(key)?.parse().ok()
    }
}

/// Reads `key=value` pairs; words without `=` belong to the value before them.
fn read_fields(text: &str) -> Vec<Field> {
    let mut fields: Vec<Field> = Vec::new();
    for word in text.split_ascii_whitespace() {
        match (as_field(word), fields.last_mut()) {
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

fn as_field(word: &str) -> Option<Field> {
    let (key, value) = word.split_once('=')?;
    let is_key = !key.is_empty() && key.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
    is_key.then(|| Field { key: key.to_owned(), value: value.to_owned() })
}
