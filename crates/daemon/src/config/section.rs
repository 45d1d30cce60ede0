use super::Fault;
use serde_json::{Map, Value};
use std::{net::SocketAddr, time::Duration};

/// Reader of one mapping of a configuration file.
///
/// Faults are collected rather than returned, so that one check reports all of them. Settings that
/// were not read are reported by [`Section::finish`] as unknown.
pub struct Section<'a> {
    path: String,
    remaining: Map<String, Value>,
    known: Vec<String>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Section<'a> {
    /// Makes a reader of the mapping at `path` (empty for the root); any other kind of value except
    /// null is a fault.
    pub fn new(path: &str, value: Value, faults: &'a mut Vec<Fault>) -> Self {
        let remaining = match value {
            Value::Object(map) => map,
            Value::Null => Map::new(),
            other => {
                faults.push(Fault {
                    path: path.to_owned(),
                    value: Some(other.to_string()),
                    allowed: "a mapping".to_owned(),
                });
                Map::new()
            }
        };
        Self { path: path.to_owned(), remaining, known: Vec::new(), faults }
    }

    /// Returns the dotted path of a setting, from the root of the file.
    pub fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// Records a fault; `value` is `None` if the setting is missing.
    pub fn fault(&mut self, name: &str, value: Option<&Value>, allowed: &str) {
        let path = self.path_of(name);
        let value = value.map(Value::to_string);
        self.faults.push(Fault { path, value, allowed: allowed.to_owned() });
    }

    /// Removes and returns a setting's raw value; `None` if it is missing or null.
    pub fn take(&mut self, name: &str) -> Option<Value> {
        self.known.push(name.to_owned());
        self.remaining.remove(name).filter(|value| !value.is_null())
    }

    /// Reads a nested mapping with `read` and reports its unknown settings; a missing mapping is
    /// read as an empty one.
    pub fn nested<T>(&mut self, name: &str, read: impl FnOnce(&mut Section<'_>) -> T) -> T {
        let value = self.take(name).unwrap_or(Value::Null);
        let path = self.path_of(name);
        let mut section = Section::new(&path, value, self.faults);
        let result = read(&mut section);
        section.finish();
        result
    }

    /// Reads and converts a setting; `None` if it is missing, or with a fault recorded if `convert`
    /// rejects its value. `allowed` describes the accepted values.
    pub fn optional<T>(
        &mut self,
        name: &str,
        allowed: &str,
        convert: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let value = self.take(name)?;
        let converted = convert(&value);
        if converted.is_none() {
            self.fault(name, Some(&value), allowed);
        }
        converted
    }

    /// Like [`Section::optional`], but a missing setting is a fault too.
    pub fn required<T>(
        &mut self,
        name: &str,
        allowed: &str,
        convert: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        if self.remaining.get(name).is_none_or(Value::is_null) {
            self.known.push(name.to_owned());
            self.fault(name, None, allowed);
            return None;
        }
        self.optional(name, allowed, convert)
    }

    /// Reads a required name: 1 to 128 ASCII letters, digits, `-`, `_` and `.`.
    pub fn required_name(&mut self, name: &str) -> Option<String> {
        self.required(name, "a name of letters, digits, '-', '_' and '.'", parse_name)
    }

    /// Reads an optional name with the same rules as [`Section::required_name`].
    pub fn optional_name(&mut self, name: &str) -> Option<String> {
        self.optional(name, "a name of letters, digits, '-', '_' and '.'", parse_name)
    }

    /// Reads an optional `IP:PORT` address.
    pub fn optional_address(&mut self, name: &str) -> Option<SocketAddr> {
        self.optional(name, "an address such as 10.0.0.1:8080", parse_address)
    }

    /// Reads a required `IP:PORT` address.
    pub fn required_address(&mut self, name: &str) -> Option<SocketAddr> {
        self.required(name, "an address such as 10.0.0.1:8080", parse_address)
    }

    /// Reads a list of `IP:PORT` addresses; a missing list is empty.
    pub fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        self.optional(name, "a list of addresses such as 10.0.0.1:8080", |value| {
            value.as_array()?.iter().map(parse_address).collect()
        })
        .unwrap_or_default()
    }

    /// Reads a duration above zero with its unit, such as `250ms`; `default` if missing or invalid.
    pub fn duration(&mut self, name: &str, default: Duration) -> Duration {
        self.optional(name, "a duration above zero with its unit, such as 250ms or 30s", |value| {
            humantime::parse_duration(value.as_str()?).ok().filter(|time| !time.is_zero())
        })
        .unwrap_or(default)
    }

    /// Reads a size above zero with its unit, such as `4MiB`, in bytes; `default` if missing or
    /// invalid.
    pub fn bytes(&mut self, name: &str, default: u64) -> u64 {
        self.optional(name, "a size above zero with its unit, such as 512KiB or 4MiB", |value| {
            let size: bytesize::ByteSize = value.as_str()?.parse().ok()?;
            Some(size.as_u64()).filter(|bytes| *bytes > 0)
        })
        .unwrap_or(default)
    }

    /// Reads an integer above zero; `default` if missing or invalid.
    pub fn count(&mut self, name: &str, default: u32) -> u32 {
        self.optional(name, "an integer from 1 to 4294967295", |value| {
            u32::try_from(value.as_u64()?).ok().filter(|count| *count > 0)
        })
        .unwrap_or(default)
    }

    /// Records a fault for every setting that was not read.
    pub fn finish(self) {
        for (name, value) in self.remaining {
            let path = if self.path.is_empty() { name } else { format!("{}.{name}", self.path) };
            let allowed = format!("one of: {}", self.known.join(", "));
            self.faults.push(Fault {
                path,
                value: Some(format!("unknown setting ({value})")),
                allowed,
            });
        }
    }
}

fn parse_name(value: &Value) -> Option<String> {
    let name = value.as_str()?;
    let is_valid = !name.is_empty()
        && name.len() <= 128
        && name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
    is_valid.then(|| name.to_owned())
}

fn parse_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}
