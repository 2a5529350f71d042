//! A small reader and writer of JSON, and Base64, for the stand-ins of this review.

use std::collections::BTreeMap;

/// A JSON value. Numbers are kept as floating point.
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
    /// Parses a text; returns none if it is no JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut at = Parser { bytes: text.as_bytes(), pos: 0 };
        let value = at.value()?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(map) => map.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> f64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    pos: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.pos < self.bytes.len() && self.bytes[self.pos].is_ascii_whitespace() {
            self.pos += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip();
        (self.bytes.get(self.pos) == Some(&byte)).then(|| self.pos += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.pos..].starts_with(word.as_bytes()).then(|| {
            self.pos += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.bytes.get(self.pos)? {
            b'{' => {
                self.pos += 1;
                let mut map = BTreeMap::new();
                self.skip();
                if self.take(b'}').is_some() {
                    return Some(Json::Object(map));
                }
                loop {
                    self.skip();
                    let name = self.string()?;
                    self.take(b':')?;
                    map.insert(name, self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Object(map));
                    }
                }
            }
            b'[' => {
                self.pos += 1;
                let mut list = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let from = self.pos;
                while self.pos < self.bytes.len()
                    && matches!(self.bytes[self.pos], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
                {
                    self.pos += 1;
                }
                let text = std::str::from_utf8(&self.bytes[from..self.pos]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.pos)?;
            self.pos += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.pos)?;
                    self.pos += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'u' => {
                            let hex = self.bytes.get(self.pos..self.pos + 4)?;
                            let code = u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?;
                            self.pos += 4;
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(c.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0_u8; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let n = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(DIGITS[(n >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Decodes Base64 into a text, as far as it can be decoded.
pub fn unbase64(text: &str) -> String {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|d| *d == byte) else {
            continue;
        };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
