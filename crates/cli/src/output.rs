//! Text for people: tables, flattened JSON, lines of errors.

use {serde_json::Value, std::fmt::Write, std::str::FromStr};

/// Form of a command's output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Form {
    /// For people.
    #[default]
    Text,
    /// One JSON value, as the entry sent it.
    Json,
}

impl FromStr for Form {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("found {other:?}; allowed: text, json")),
        }
    }
}

/// Writes one error line to standard error.
pub(crate) fn complain(line: &str) {
    eprintln!("error: {}", plain(line));
}

/// The text without control characters, so that an answer cannot drive the
/// terminal.
pub(crate) fn plain(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect()
}

/// Rows under headers, in columns as wide as needed.
pub(crate) fn table(headers: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<_> = headers.iter().map(|header| header.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = line(headers.iter().copied(), &widths);
    for row in rows {
        text += &line(row.iter().map(String::as_str), &widths);
    }
    text
}

fn line<'a>(cells: impl Iterator<Item = &'a str>, widths: &[usize]) -> String {
    let cells: Vec<_> =
        cells.zip(widths).map(|(cell, &width)| format!("{:width$}", plain(cell))).collect();
    format!("{}\n", cells.join("  ").trim_end())
}

/// A JSON value as lines `path: scalar`.
pub(crate) fn flatten(value: &Value) -> String {
    let mut text = String::new();
    flatten_into(&mut text, "", value);
    text
}

fn flatten_into(text: &mut String, path: &str, value: &Value) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let dot = if path.is_empty() { "" } else { "." };
                flatten_into(text, &format!("{path}{dot}{name}"), field);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                flatten_into(text, &format!("{path}[{index}]"), item);
            }
        }
        Value::String(scalar) => push_line(text, path, scalar),
        scalar => push_line(text, path, &scalar.to_string()),
    }
}

fn push_line(text: &mut String, path: &str, scalar: &str) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "{}: {}", plain(path), plain(scalar));
}
