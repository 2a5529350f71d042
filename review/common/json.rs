//! A small JSON reader, and Base64 as the store uses it for the values of rows.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Returns a field of an object; null if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    /// Parses a JSON text; returns null for one that is malformed.
    pub fn parse(text: &str) -> Json {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        reader.value().unwrap_or(Json::Null)
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.take(b'{')?;
                let mut fields = BTreeMap::new();
                while self.peek()? != b'}' {
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.insert(name, self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.take(b'}')?;
                Some(Json::Object(fields))
            }
            b'[' => {
                self.take(b'[')?;
                let mut list = Vec::new();
                while self.peek()? != b']' {
                    list.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.take(b']')?;
                Some(Json::List(list))
            }
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                let is_part = |byte: &u8| b"+-.eE0123456789".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                Some(Json::Number(text.parse().ok()?))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let mut buf = [0; 4];
                            let c = char::from_u32(code)?;
                            bytes.extend_from_slice(c.encode_utf8(&mut buf).as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for n in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * n) & 63) as usize];
            text.push(if n <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte))
        .map(|digit| digit as u32)
        .collect();
    for chunk in digits.chunks(4) {
        let group = chunk.iter().fold(0, |group, digit| group << 6 | digit) << (6 * (4 - chunk.len()));
        let whole = [(group >> 16) as u8, (group >> 8) as u8, group as u8];
        bytes.extend_from_slice(&whole[..chunk.len() - 1]);
    }
    bytes
}
