//! A small JSON reader for the calls that daemons make.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`, `true`, `false` or a number, as written.
    Plain(String),
    /// A text.
    Text(String),
    /// A list.
    List(Vec<Json>),
    /// Fields in order.
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a document; `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader { text: text.as_bytes(), at: 0 };
        reader.value()
    }

    /// A field of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        let Self::Object(fields) = self else { return None };
        fields.iter().find(|(field, _)| field == name).map(|(_, value)| value)
    }

    /// A text.
    pub fn text(&self) -> Option<&str> {
        let Self::Text(text) = self else { return None };
        Some(text)
    }

    /// A whole number.
    pub fn number(&self) -> Option<u64> {
        let Self::Plain(text) = self else { return None };
        text.parse().ok()
    }

    /// The elements of a list; none of anything else.
    pub fn list(&self) -> &[Json] {
        if let Self::List(elements) = self { elements } else { &[] }
    }
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            _ => {
                let from = self.at;
                while self.text.get(self.at).is_some_and(|byte| !b",]} \n".contains(byte)) {
                    self.at += 1;
                }
                Some(Json::Plain(String::from_utf8_lossy(&self.text[from..self.at]).into_owned()))
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        while self.peek()? != b'}' {
            let name = self.string()?;
            self.take(b':')?;
            fields.push((name, self.value()?));
            if self.take(b',').is_none() {
                break;
            }
        }
        self.take(b'}')?;
        Some(Json::Object(fields))
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut elements = Vec::new();
        while self.peek()? != b']' {
            elements.push(self.value()?);
            if self.take(b',').is_none() {
                break;
            }
        }
        self.take(b']')?;
        Some(Json::List(elements))
    }

    /// A string; escapes other than of quotes, slashes and line ends are not needed here.
    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    bytes.push(if escaped == b'n' { b'\n' } else { escaped });
                }
                byte => bytes.push(byte),
            }
        }
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut padded = [0; 3];
        padded[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            let is_padding = digit > group.len();
            text.push(if is_padding { '=' } else { char::from(DIGITS[index as usize]) });
        }
    }
    text
}
