//! A misspelt field name is rejected, and the error's path contains it.

use {
    proptest::prelude::*,
    sycamorerail_settings::{SettingsErrors, standin::UpstreamStandinSettings, template::Template},
};

const TEMPLATE: &str = include_str!("../../../examples/alpenfunk/template.yaml");
const UPSTREAM: &str = include_str!("../../../examples/demo/upstream-1.yaml");

/// Returns the start and length of each field name in a text.
fn names(text: &str) -> Vec<(usize, usize)> {
    let mut found = Vec::new();
    let mut line_start = 0;
    for line in text.split_inclusive('\n') {
        let indent = line.len() - line.trim_start_matches([' ', '-']).len();
        let name = line[indent..].split(':').next().unwrap_or_default();
        if line.contains(':') && !line.trim_start().starts_with('#') {
            found.push((line_start + indent, name.len()));
        }
        line_start += line.len();
    }
    found
}

/// Inserts `letter` into a field name of `text`; returns the new text and the new name.
fn mutate(text: &str, choice: usize, at: usize, letter: char) -> (String, String) {
    let names = names(text);
    let (start, length) = names[choice % names.len()];
    let mut name = text[start..start + length].to_owned();
    name.insert(at % (length + 1), letter);
    let rest = &text[start + length..];
    (format!("{}{name}{rest}", &text[..start]), name)
}

fn error_names_field<T>(read: Result<T, SettingsErrors>, name: &str) -> bool {
    let ends = |path: &str| path == name || path.ends_with(&format!(".{name}"));
    read.is_err_and(|errors| errors.errors.iter().any(|error| ends(&error.path)))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn template_names(choice: usize, at: usize, letter in "[a-z]") {
        let letter = letter.chars().next().unwrap();
        let (yaml, name) = mutate(TEMPLATE, choice, at, letter);
        prop_assert!(error_names_field(Template::read(&yaml), &name), "{name}");
    }

    #[test]
    fn upstream_names(choice: usize, at: usize, letter in "[a-z]") {
        let letter = letter.chars().next().unwrap();
        let (yaml, name) = mutate(UPSTREAM, choice, at, letter);
        prop_assert!(error_names_field(UpstreamStandinSettings::read(&yaml, &|_| None), &name), "{name}");
    }

    #[test]
    fn any_text(yaml in ".{0,200}") {
        // Must not panic on any text.
        let _ = Template::read(&yaml);
    }
}
