//! Reads a YAML document and collects all errors in it.
//!
//! Each method reads one field and records its name as known. On an error the method records the
//! error and returns a placeholder, so that reading continues; at the end a document with errors
//! is rejected as a whole.

use {
    crate::{
        error::{FieldError, SettingsErrors},
        rules::TextRule,
    },
    serde_norway::{Mapping, Value},
    std::{
        cell::RefCell,
        fmt::Display,
        net::{Ipv4Addr, SocketAddr},
        ops::RangeInclusive,
    },
};

/// Maximum number of characters of an invalid text that an error quotes.
const MAX_FOUND_CHARS: usize = 60;

/// Path of errors that concern the whole document.
pub const DOCUMENT_PATH: &str = "document";

/// Looks up an environment variable.
pub type Env<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Reads one mapping of the document.
pub(crate) struct Reader<'a> {
    path: String,
    fields: Option<&'a Mapping>,
    is_mapping: bool,
    known: RefCell<Vec<String>>,
    shared: &'a Shared<'a>,
}

struct Shared<'a> {
    env: Env<'a>,
    errors: RefCell<Vec<FieldError>>,
}

/// Reads a whole document with `read`, or returns all its errors.
pub(crate) fn document<T>(
    yaml: &str,
    env: Env<'_>,
    read: impl FnOnce(&Reader<'_>) -> T,
) -> Result<T, SettingsErrors> {
    let value: Value = serde_norway::from_str(yaml).map_err(|err| yaml_error(&err))?;
    let shared = Shared { env, errors: RefCell::default() };
    let settings = Reader::new(String::new(), Some(&value), &shared).read_with(read);
    let errors = shared.errors.into_inner();
    if errors.is_empty() { Ok(settings) } else { Err(SettingsErrors { errors }) }
}

fn yaml_error(err: &serde_norway::Error) -> SettingsErrors {
    let error = FieldError {
        path: DOCUMENT_PATH.to_owned(),
        problem: err.to_string(),
        allowed: "one YAML mapping".to_owned(),
    };
    SettingsErrors { errors: vec![error] }
}

impl<'a> Reader<'a> {
    fn new(path: String, value: Option<&'a Value>, shared: &'a Shared<'a>) -> Self {
        let reader =
            Self { path, fields: None, is_mapping: true, known: RefCell::default(), shared };
        match value {
            None | Some(Value::Null) => reader,
            Some(Value::Mapping(fields)) => Self { fields: Some(fields), ..reader },
            Some(other) => {
                let path =
                    if reader.path.is_empty() { DOCUMENT_PATH } else { reader.path.as_str() };
                reader.push_error(path.to_owned(), describe(other), "a mapping".to_owned());
                Self { is_mapping: false, ..reader }
            }
        }
    }

    /// Reads all fields with `read`, then records an error for each field that `read` did not ask
    /// for. A value that is not a mapping yields only that error, not one for each field.
    fn read_with<T>(self, read: impl FnOnce(&Reader<'_>) -> T) -> T {
        let errors_before = self.shared.errors.borrow().len();
        let settings = read(&self);
        if self.is_mapping {
            self.reject_unknown_fields();
        } else {
            self.shared.errors.borrow_mut().truncate(errors_before);
        }
        settings
    }

    /// Reads a required text.
    pub(crate) fn text(&self, name: &str, rule: TextRule) -> String {
        match self.lookup(name) {
            None => self.add_missing(name, rule.allowed),
            Some(value) => self.checked_text(name, value, rule),
        }
        .unwrap_or_default()
    }

    /// Reads a list of texts.
    pub(crate) fn texts(&self, name: &str, rule: TextRule) -> Vec<String> {
        let read = |(path, value): (String, &Value)| self.checked_text(&path, value, rule);
        self.items(name).into_iter().filter_map(read).collect()
    }

    /// Reads a required IP address and port.
    pub(crate) fn address(&self, name: &str) -> SocketAddr {
        match self.lookup(name) {
            None => self.add_missing(name, ADDRESS_ALLOWED),
            Some(value) => self.checked_address(name, value),
        }
        .unwrap_or(SocketAddr::new(Ipv4Addr::UNSPECIFIED.into(), 0))
    }

    /// Reads a required address that peers dial; it must not be the unspecified address.
    pub(crate) fn dialled_address(&self, name: &str) -> SocketAddr {
        let address = self.address(name);
        let problem = format!("found {address}, which peers cannot dial");
        let named = !address.ip().is_unspecified();
        self.require(&[name], named, name, problem, "the machine's own IP address and a port");
        address
    }

    /// Reads an optional address that peers dial.
    pub(crate) fn optional_dialled_address(&self, name: &str) -> Option<SocketAddr> {
        self.is_present(name).then(|| self.dialled_address(name))
    }

    /// Reads a list of distinct addresses.
    pub(crate) fn addresses(&self, name: &str) -> Vec<SocketAddr> {
        let mut list = Vec::new();
        for (path, value) in self.items(name) {
            let Some(address) = self.checked_address(&path, value) else {
                continue;
            };
            if list.contains(&address) {
                self.add_error(&path, format!("found {address} again"), "each address once");
            }
            list.push(address);
        }
        list
    }

    /// Reads a whole number, or returns the default if it is missing.
    pub(crate) fn number<T>(&self, name: &str, default: T, range: RangeInclusive<T>) -> T
    where
        T: Copy + Display + PartialOrd + TryFrom<u64>,
    {
        let Some(value) = self.lookup(name) else {
            return default;
        };
        let number = value.as_u64().and_then(|number| T::try_from(number).ok());
        match number.filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let allowed = format!("a whole number from {} to {}", range.start(), range.end());
                self.add_error(name, describe(value), allowed);
                default
            }
        }
    }

    /// Reads an optional whole number.
    pub(crate) fn optional_number<T>(&self, name: &str, range: RangeInclusive<T>) -> Option<T>
    where
        T: Copy + Display + PartialOrd + TryFrom<u64>,
    {
        self.is_present(name).then(|| self.number(name, *range.start(), range))
    }

    /// Reads true or false, or returns the default if it is missing.
    pub(crate) fn switch(&self, name: &str, default: bool) -> bool {
        match self.lookup(name) {
            None => default,
            Some(Value::Bool(on)) => *on,
            Some(other) => {
                self.add_error(name, describe(other), "true or false");
                default
            }
        }
    }

    /// Reads one of several words, or returns the default if it is missing.
    pub(crate) fn choice<T: Copy>(&self, name: &str, default: T, choices: &[(&str, T)]) -> T {
        let Some(value) = self.lookup(name) else {
            return default;
        };
        match choices.iter().find(|(word, _)| value.as_str() == Some(word)) {
            Some(&(_, choice)) => choice,
            None => {
                let words: Vec<_> = choices.iter().map(|&(word, _)| word).collect();
                self.add_error(name, describe(value), format!("one of {}", words.join(", ")));
                default
            }
        }
    }

    /// Reads a nested mapping; a missing one is read as empty.
    pub(crate) fn section<T>(&self, name: &str, read: impl FnOnce(&Reader<'_>) -> T) -> T {
        Reader::new(self.path_of(name), self.lookup(name), self.shared).read_with(read)
    }

    /// Reads a list of mappings whose length is in `count`.
    pub(crate) fn list<T>(
        &self,
        name: &str,
        count: RangeInclusive<usize>,
        read: impl Fn(&Reader<'_>) -> T,
    ) -> Vec<T> {
        let items = self.items(name);
        if !count.contains(&items.len()) && !self.has_error(name) {
            let allowed = format!("{} to {} items", count.start(), count.end());
            self.add_error(name, format!("found {} items", items.len()), allowed);
        }
        let read = |(path, value): (String, &Value)| {
            Reader::new(self.path_of(&path), Some(value), self.shared).read_with(&read)
        };
        items.into_iter().map(read).collect()
    }

    /// Reads a secret given as exactly one of the fields `inline`,
    /// `<stem>_path` (a file) and `<stem>_env` (an environment variable).
    pub(crate) fn secret(&self, inline: &str, stem: &str, from_file: bool) -> String {
        let (path_name, env_name) = (format!("{stem}_path"), format!("{stem}_env"));
        let mut names = vec![inline, env_name.as_str()];
        if from_file {
            names.insert(1, path_name.as_str());
        }
        let given: Vec<_> =
            names.iter().filter_map(|&name| Some((name, self.lookup(name)?))).collect();
        let allowed = format!("exactly one of {}", names.join(", "));
        match given[..] {
            [] => self.add_error(inline, "missing", allowed),
            [(name, value)] => return self.resolved_secret(name, value, inline, &path_name),
            [_, (second, _), ..] => self.add_error(second, "found beside another form", allowed),
        }
        String::new()
    }

    fn resolved_secret(&self, name: &str, value: &Value, inline: &str, path_name: &str) -> String {
        let Some(text) = value.as_str().filter(|text| !text.is_empty()) else {
            self.add_error(name, "found no text", "a text that is not empty");
            return String::new();
        };
        let resolved = if name == inline {
            Ok(text.to_owned())
        } else if name == path_name {
            std::fs::read_to_string(text)
                .map_err(|err| format!("cannot read {}: {err}", quotable(text)))
        } else {
            (self.shared.env)(text).ok_or_else(|| format!("{} is not set", quotable(text)))
        };
        match resolved {
            Ok(secret) if secret.trim().is_empty() => {
                self.add_error(
                    name,
                    format!("{} is empty", quotable(text)),
                    "a secret that is not empty",
                );
            }
            Ok(secret) => return secret,
            Err(problem) if name == path_name => self.add_error(name, problem, "a readable file"),
            Err(problem) => self.add_error(name, problem, "a variable that is set"),
        }
        String::new()
    }

    /// Records an error for `name` if `holds` is false. Does nothing if one of `fields` already has
    /// an error, because the check would then use a placeholder.
    pub(crate) fn require(
        &self,
        fields: &[&str],
        holds: bool,
        name: &str,
        problem: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        if !holds && !fields.iter().any(|field| self.has_error(field)) {
            self.add_error(name, problem, allowed);
        }
    }

    /// Records an error for each repeated text in `values`, the values of `field` in the items of
    /// the list `name`.
    pub(crate) fn require_distinct(&self, name: &str, field: &str, values: &[&str]) {
        for (index, value) in values.iter().enumerate() {
            let path = format!("{name}[{index}].{field}");
            if values[..index].contains(value) && !value.is_empty() {
                self.add_error(&path, format!("found {value:?} again"), "each only once");
            }
        }
    }

    /// Returns whether the field is present, and records its name as known.
    pub(crate) fn is_present(&self, name: &str) -> bool {
        self.lookup(name).is_some()
    }

    /// Returns whether the field, or one below it, has an error so far.
    pub(crate) fn has_error(&self, name: &str) -> bool {
        let path = self.path_of(name);
        let below = |found: &str| {
            found
                .strip_prefix(&path)
                .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
        };
        self.shared.errors.borrow().iter().any(|error| below(&error.path))
    }

    /// Records an error for the field `name`.
    pub(crate) fn add_error(
        &self,
        name: &str,
        problem: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.push_error(self.path_of(name), problem.into(), allowed.into());
    }

    fn lookup(&self, name: &str) -> Option<&'a Value> {
        let mut known = self.known.borrow_mut();
        if !known.iter().any(|other| other == name) {
            known.push(name.to_owned());
        }
        self.fields?.get(name).filter(|value| !value.is_null())
    }

    fn items(&self, name: &str) -> Vec<(String, &'a Value)> {
        match self.lookup(name) {
            None => Vec::new(),
            Some(Value::Sequence(items)) => items
                .iter()
                .enumerate()
                .map(|(index, item)| (format!("{name}[{index}]"), item))
                .collect(),
            Some(other) => {
                self.add_error(name, describe(other), "a list");
                Vec::new()
            }
        }
    }

    fn checked_text(&self, name: &str, value: &Value, rule: TextRule) -> Option<String> {
        let text = value.as_str().filter(|text| (rule.is_allowed)(text));
        if text.is_none() {
            self.add_error(name, describe(value), rule.allowed);
        }
        text.map(str::to_owned)
    }

    fn checked_address(&self, name: &str, value: &Value) -> Option<SocketAddr> {
        let address = value.as_str().and_then(|text| text.parse().ok());
        if address.is_none() {
            self.add_error(name, describe(value), ADDRESS_ALLOWED);
        }
        address
    }

    fn add_missing<T>(&self, name: &str, allowed: &str) -> Option<T> {
        self.add_error(name, "missing", allowed);
        None
    }

    fn reject_unknown_fields(&self) {
        let known = self.known.borrow();
        for key in self.fields.into_iter().flat_map(Mapping::keys) {
            let name = key.as_str().map_or_else(|| describe(key), str::to_owned);
            if !known.contains(&name) {
                self.add_error(&name, "unknown field", format!("one of {}", known.join(", ")));
            }
        }
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    fn push_error(&self, path: String, problem: String, allowed: String) {
        self.shared.errors.borrow_mut().push(FieldError { path, problem, allowed });
    }
}

/// Returns the text of a `_path` or `_env` field for an error message, or a substitute if the text
/// may be the secret itself.
fn quotable(text: &str) -> &str {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '/' | '.' | '_' | '-');
    let is_path = text.contains(['/', '.']) && text.chars().all(plain);
    let is_variable = text.chars().all(|c| matches!(c, 'A'..='Z' | '0'..='9' | '_'));
    if text.len() <= MAX_FOUND_CHARS && (is_path || is_variable) { text } else { "what it names" }
}

const ADDRESS_ALLOWED: &str = "an IP address and port, such as 127.0.0.1:7080";

fn describe(value: &Value) -> String {
    match value {
        Value::Null => "found nothing".to_owned(),
        Value::Bool(on) => format!("found {on}"),
        Value::Number(number) => format!("found {number}"),
        Value::String(text) => {
            let short: String = text.chars().take(MAX_FOUND_CHARS).collect();
            format!("found {short:?}")
        }
        Value::Sequence(items) => format!("found a list of {} items", items.len()),
        Value::Mapping(_) => "found a mapping".to_owned(),
        Value::Tagged(_) => "found a tagged value".to_owned(),
    }
}
