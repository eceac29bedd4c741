//! Metrics pages in the Prometheus text form, and what grew between two.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Values by series, as the page writes them: `name{label="value"}`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Series(pub BTreeMap<String, f64>);

impl Series {
    /// Reads a page; lines that are no samples are passed over.
    #[must_use]
    pub fn parse(page: &str) -> Self {
        let sample = |line: &str| {
            let (series, value) = line.rsplit_once(' ')?;
            Some((series.trim().to_owned(), value.parse().ok()?))
        };
        let lines = page.lines().filter(|line| !line.starts_with('#'));
        Self(lines.filter_map(sample).collect())
    }

    /// Growth of the counters since `before`. A counter that fell began anew
    /// with its process, and grew from zero.
    #[must_use]
    pub fn growth(&self, before: &Self) -> Self {
        let grown = |(series, after): (&String, &f64)| {
            let base = before.0.get(series).copied().filter(|base| base <= after).unwrap_or(0.0);
            (is_counter(series) && *after > base).then(|| (series.clone(), after - base))
        };
        Self(self.0.iter().filter_map(grown).collect())
    }

    /// Adds all values of `other`.
    pub fn add(&mut self, other: &Self) {
        for (series, value) in &other.0 {
            *self.0.entry(series.clone()).or_default() += value;
        }
    }

    /// Sum of the series of one name, over all labels.
    #[must_use]
    pub fn sum(&self, name: &str) -> f64 {
        self.named(name).fold(0.0, |sum, (_, value)| sum + value)
    }

    /// Sums of one name by the value of one label.
    #[must_use]
    pub fn by_label(&self, name: &str, label: &str) -> BTreeMap<String, f64> {
        let mut sums = BTreeMap::new();
        for (series, value) in self.named(name) {
            let key = label_value(series, label).unwrap_or_default();
            *sums.entry(key.to_owned()).or_default() += value;
        }
        sums
    }

    /// The series of one name that have this value of a label.
    #[must_use]
    pub fn having(&self, name: &str, label: &str, value: &str) -> Self {
        let fits = |series: &str| label_value(series, label) == Some(value);
        let chosen = self.named(name).filter(|(series, _)| fits(series));
        Self(chosen.map(|(series, count)| (series.clone(), count)).collect())
    }

    fn named(&self, name: &str) -> impl Iterator<Item = (&String, f64)> {
        let is_named = move |series: &str| series.split('{').next() == Some(name);
        self.0.iter().filter(move |(series, _)| is_named(series)).map(|(series, v)| (series, *v))
    }
}

fn is_counter(series: &str) -> bool {
    series.split('{').next().is_some_and(|name| name.ends_with("_total"))
}

fn label_value<'a>(series: &'a str, label: &str) -> Option<&'a str> {
    let labels = series.split_once('{')?.1.trim_end_matches('}');
    let own = |pair: &'a str| pair.split_once('=').filter(|(key, _)| *key == label);
    labels.split(',').find_map(own).map(|(_, value)| value.trim_matches('"'))
}
