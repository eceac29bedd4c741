//! Walks a YAML document and collects every error in it.
//!
//! Each method reads one field and notes its name as known. On an error it
//! records it and returns a stand-in, so that the walk goes on; the document
//! is refused as a whole at its end.

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

/// Most characters of a refused text that an error repeats.
const MAX_FOUND_CHARS: usize = 60;

/// Path of errors that concern the text as a whole.
pub const DOCUMENT_PATH: &str = "document";

/// Looks up an environment variable.
pub type Env<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Reader of one mapping of the document.
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

/// Reads a whole document with `read`, or tells all its errors.
pub(crate) fn document<T>(
    yaml: &str,
    env: Env<'_>,
    read: impl FnOnce(&Reader<'_>) -> T,
) -> Result<T, SettingsErrors> {
    let value: Value = serde_norway::from_str(yaml).map_err(|err| not_yaml(&err))?;
    let shared = Shared { env, errors: RefCell::default() };
    let settings = Reader::new(String::new(), Some(&value), &shared).finish(read);
    let errors = shared.errors.into_inner();
    if errors.is_empty() { Ok(settings) } else { Err(SettingsErrors { errors }) }
}

fn not_yaml(err: &serde_norway::Error) -> SettingsErrors {
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
                reader.record(path.to_owned(), found(other), "a mapping".to_owned());
                Self { is_mapping: false, ..reader }
            }
        }
    }

    /// Reads all fields with `read`, then refuses those that it did not ask for.
    /// A value that is no mapping has just that one error, not one a field.
    fn finish<T>(self, read: impl FnOnce(&Reader<'_>) -> T) -> T {
        let errors_before = self.shared.errors.borrow().len();
        let settings = read(&self);
        if self.is_mapping {
            self.refuse_unknown();
        } else {
            self.shared.errors.borrow_mut().truncate(errors_before);
        }
        settings
    }

    /// Reads a text that must be there.
    pub(crate) fn text(&self, name: &str, rule: TextRule) -> String {
        match self.take(name) {
            None => self.missing(name, rule.allowed),
            Some(value) => self.checked_text(name, value, rule),
        }
        .unwrap_or_default()
    }

    /// Reads a list of texts.
    pub(crate) fn texts(&self, name: &str, rule: TextRule) -> Vec<String> {
        let read = |(path, value): (String, &Value)| self.checked_text(&path, value, rule);
        self.items(name).into_iter().filter_map(read).collect()
    }

    /// Reads an IP address and port that must be there.
    pub(crate) fn address(&self, name: &str) -> SocketAddr {
        match self.take(name) {
            None => self.missing(name, ADDRESS_ALLOWED),
            Some(value) => self.checked_address(name, value),
        }
        .unwrap_or(SocketAddr::new(Ipv4Addr::UNSPECIFIED.into(), 0))
    }

    /// Reads an address that peers dial, and that so must name one machine.
    pub(crate) fn dialled_address(&self, name: &str) -> SocketAddr {
        let address = self.address(name);
        let problem = format!("found {address}, which peers cannot dial");
        let named = !address.ip().is_unspecified();
        self.require(&[name], named, name, problem, "the machine's own IP address and a port");
        address
    }

    /// The same, if it is there.
    pub(crate) fn optional_dialled_address(&self, name: &str) -> Option<SocketAddr> {
        self.has(name).then(|| self.dialled_address(name))
    }

    /// Reads a list of addresses, each at most once.
    pub(crate) fn addresses(&self, name: &str) -> Vec<SocketAddr> {
        let mut list = Vec::new();
        for (path, value) in self.items(name) {
            let Some(address) = self.checked_address(&path, value) else {
                continue;
            };
            if list.contains(&address) {
                self.fail(&path, format!("found {address} again"), "each address once");
            }
            list.push(address);
        }
        list
    }

    /// Reads a whole number, or takes the default.
    pub(crate) fn number<T>(&self, name: &str, default: T, range: RangeInclusive<T>) -> T
    where
        T: Copy + Display + PartialOrd + TryFrom<u64>,
    {
        let Some(value) = self.take(name) else {
            return default;
        };
        let number = value.as_u64().and_then(|number| T::try_from(number).ok());
        match number.filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let allowed = format!("a whole number from {} to {}", range.start(), range.end());
                self.fail(name, found(value), allowed);
                default
            }
        }
    }

    /// Reads a whole number that may be left out.
    pub(crate) fn optional_number<T>(&self, name: &str, range: RangeInclusive<T>) -> Option<T>
    where
        T: Copy + Display + PartialOrd + TryFrom<u64>,
    {
        self.has(name).then(|| self.number(name, *range.start(), range))
    }

    /// Reads true or false, or takes the default.
    pub(crate) fn switch(&self, name: &str, default: bool) -> bool {
        match self.take(name) {
            None => default,
            Some(Value::Bool(on)) => *on,
            Some(other) => {
                self.fail(name, found(other), "true or false");
                default
            }
        }
    }

    /// Reads one of several words, or takes the default.
    pub(crate) fn choice<T: Copy>(&self, name: &str, default: T, choices: &[(&str, T)]) -> T {
        let Some(value) = self.take(name) else {
            return default;
        };
        match choices.iter().find(|(word, _)| value.as_str() == Some(word)) {
            Some(&(_, choice)) => choice,
            None => {
                let words: Vec<_> = choices.iter().map(|&(word, _)| word).collect();
                self.fail(name, found(value), format!("one of {}", words.join(", ")));
                default
            }
        }
    }

    /// Reads a nested mapping; one left out is read as an empty one.
    pub(crate) fn section<T>(&self, name: &str, read: impl FnOnce(&Reader<'_>) -> T) -> T {
        Reader::new(self.path_of(name), self.take(name), self.shared).finish(read)
    }

    /// Reads a list of mappings of at least `min` and at most `max` items.
    pub(crate) fn list<T>(
        &self,
        name: &str,
        count: RangeInclusive<usize>,
        read: impl Fn(&Reader<'_>) -> T,
    ) -> Vec<T> {
        let items = self.items(name);
        if !count.contains(&items.len()) && !self.failed(name) {
            let allowed = format!("{} to {} items", count.start(), count.end());
            self.fail(name, format!("found {} items", items.len()), allowed);
        }
        let read = |(path, value): (String, &Value)| {
            Reader::new(self.path_of(&path), Some(value), self.shared).finish(&read)
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
            names.iter().filter_map(|&name| Some((name, self.take(name)?))).collect();
        let allowed = format!("exactly one of {}", names.join(", "));
        match given[..] {
            [] => self.fail(inline, "missing", allowed),
            [(name, value)] => return self.resolved_secret(name, value, inline, &path_name),
            [_, (second, _), ..] => self.fail(second, "found beside another form", allowed),
        }
        String::new()
    }

    fn resolved_secret(&self, name: &str, value: &Value, inline: &str, path_name: &str) -> String {
        let Some(text) = value.as_str().filter(|text| !text.is_empty()) else {
            self.fail(name, "found no text", "a text that is not empty");
            return String::new();
        };
        let resolved = if name == inline {
            Ok(text.to_owned())
        } else if name == path_name {
            std::fs::read_to_string(text)
                .map_err(|err| format!("cannot read {}: {err}", named(text)))
        } else {
            (self.shared.env)(text).ok_or_else(|| format!("{} is not set", named(text)))
        };
        match resolved {
            Ok(secret) if secret.trim().is_empty() => {
                self.fail(name, format!("{} is empty", named(text)), "a secret that is not empty");
            }
            Ok(secret) => return secret,
            Err(problem) if name == path_name => self.fail(name, problem, "a readable file"),
            Err(problem) => self.fail(name, problem, "a variable that is set"),
        }
        String::new()
    }

    /// Records an error of `name` unless `holds`, or unless one of `fields`
    /// has an error already and the check would rest on a stand-in.
    pub(crate) fn require(
        &self,
        fields: &[&str],
        holds: bool,
        name: &str,
        problem: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        if !holds && !fields.iter().any(|field| self.failed(field)) {
            self.fail(name, problem, allowed);
        }
    }

    /// Records an error for each text that stands twice in `values`, the
    /// values of `field` in the items of the list `name`.
    pub(crate) fn require_distinct(&self, name: &str, field: &str, values: &[&str]) {
        for (index, value) in values.iter().enumerate() {
            let path = format!("{name}[{index}].{field}");
            if values[..index].contains(value) && !value.is_empty() {
                self.fail(&path, format!("found {value:?} again"), "each only once");
            }
        }
    }

    /// Whether the field is there.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.take(name).is_some()
    }

    /// Whether the field, or one below it, has an error so far.
    pub(crate) fn failed(&self, name: &str) -> bool {
        let path = self.path_of(name);
        let below = |found: &str| {
            found
                .strip_prefix(&path)
                .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
        };
        self.shared.errors.borrow().iter().any(|error| below(&error.path))
    }

    /// Records an error of the field `name`.
    pub(crate) fn fail(&self, name: &str, problem: impl Into<String>, allowed: impl Into<String>) {
        self.record(self.path_of(name), problem.into(), allowed.into());
    }

    fn take(&self, name: &str) -> Option<&'a Value> {
        let mut known = self.known.borrow_mut();
        if !known.iter().any(|other| other == name) {
            known.push(name.to_owned());
        }
        self.fields?.get(name).filter(|value| !value.is_null())
    }

    fn items(&self, name: &str) -> Vec<(String, &'a Value)> {
        match self.take(name) {
            None => Vec::new(),
            Some(Value::Sequence(items)) => items
                .iter()
                .enumerate()
                .map(|(index, item)| (format!("{name}[{index}]"), item))
                .collect(),
            Some(other) => {
                self.fail(name, found(other), "a list");
                Vec::new()
            }
        }
    }

    fn checked_text(&self, name: &str, value: &Value, rule: TextRule) -> Option<String> {
        let text = value.as_str().filter(|text| (rule.holds)(text));
        if text.is_none() {
            self.fail(name, found(value), rule.allowed);
        }
        text.map(str::to_owned)
    }

    fn checked_address(&self, name: &str, value: &Value) -> Option<SocketAddr> {
        let address = value.as_str().and_then(|text| text.parse().ok());
        if address.is_none() {
            self.fail(name, found(value), ADDRESS_ALLOWED);
        }
        address
    }

    fn missing<T>(&self, name: &str, allowed: &str) -> Option<T> {
        self.fail(name, "missing", allowed);
        None
    }

    fn refuse_unknown(&self) {
        let known = self.known.borrow();
        for key in self.fields.into_iter().flat_map(Mapping::keys) {
            let name = key.as_str().map_or_else(|| found(key), str::to_owned);
            if !known.contains(&name) {
                self.fail(&name, "unknown field", format!("one of {}", known.join(", ")));
            }
        }
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    fn record(&self, path: String, problem: String, allowed: String) {
        self.shared.errors.borrow_mut().push(FieldError { path, problem, allowed });
    }
}

/// The text of a `_path` or `_env` field for an error, unless it looks as if
/// the secret itself was put there.
fn named(text: &str) -> &str {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '/' | '.' | '_' | '-');
    let is_path = text.contains(['/', '.']) && text.chars().all(plain);
    let is_variable = text.chars().all(|c| matches!(c, 'A'..='Z' | '0'..='9' | '_'));
    if text.len() <= MAX_FOUND_CHARS && (is_path || is_variable) { text } else { "what it names" }
}

const ADDRESS_ALLOWED: &str = "an IP address and port as 127.0.0.1:7080";

fn found(value: &Value) -> String {
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
