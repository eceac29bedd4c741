//! A small JSON reader and writer, enough for the messages of the stand-ins.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut reader = Reader { bytes, at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Self::Map(map) => map.get(key).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    pub fn whole(&self) -> Option<u64> {
        if let Self::Num(number) = self { Some(*number as u64) } else { None }
    }

    pub fn list(&self) -> &[Json] {
        if let Self::List(list) = self { list } else { &[] }
    }
}

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

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, what: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(what.as_bytes()).then(|| self.at += what.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.eat("null").map(|()| Json::Null),
            b't' => self.eat("true").map(|()| Json::Bool(true)),
            b'f' => self.eat("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.list(),
            b'{' => self.map(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let from = self.at;
        while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[from..self.at]).ok()?.parse().ok().map(Json::Num)
    }

    fn string(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let c = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(hex.ok()?, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    out.extend(c.to_string().bytes());
                }
                other => out.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.eat("[")?;
        let mut list = Vec::new();
        loop {
            self.space();
            if self.eat("]").is_some() {
                return Some(Json::List(list));
            }
            if !list.is_empty() {
                self.eat(",")?;
            }
            list.push(self.value()?);
        }
    }

    fn map(&mut self) -> Option<Json> {
        self.eat("{")?;
        let mut map = BTreeMap::new();
        loop {
            self.space();
            if self.eat("}").is_some() {
                return Some(Json::Map(map));
            }
            if !map.is_empty() {
                self.eat(",")?;
                self.space();
            }
            let key = self.string()?;
            self.space();
            self.eat(":")?;
            map.insert(key, self.value()?);
        }
    }
}
