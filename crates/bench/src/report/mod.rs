//! Reports over result files: groups of seeds, HTML with plots, Markdown.

pub mod html;
pub mod markdown;
pub mod svg;

use crate::results::RunResult;

/// Results of one scenario, policy, load and build: the same but for the seed.
#[derive(Clone, Debug)]
pub struct Group<'a> {
    /// At least one.
    pub results: Vec<&'a RunResult>,
}

/// Median with the least and the most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Median; of an even number, the mean of the middle two.
    pub median: f64,
    /// Least.
    pub least: f64,
    /// Most.
    pub most: f64,
}

impl Spread {
    /// Spread of values; zeros where there is none.
    #[must_use]
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let (Some(&least), Some(&most)) = (values.first(), values.last()) else {
            return Self { median: 0.0, least: 0.0, most: 0.0 };
        };
        let middle = values.len() / 2;
        let even = values.len().is_multiple_of(2);
        let median =
            if even { f64::midpoint(values[middle - 1], values[middle]) } else { values[middle] };
        Self { median, least, most }
    }
}

impl<'a> Group<'a> {
    /// A group of one result.
    #[must_use]
    pub fn of_one(result: &'a RunResult) -> Self {
        Self { results: vec![result] }
    }

    /// Scenario's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.first().scenario.name
    }

    /// One of the results.
    #[must_use]
    pub fn first(&self) -> &'a RunResult {
        self.results[0]
    }

    /// Spread of a value over the seeds.
    pub fn spread(&self, value: impl Fn(&RunResult) -> f64) -> Spread {
        Spread::of(self.results.iter().map(|result| value(result)))
    }

    /// Sum of a value over the seeds.
    pub fn sum(&self, value: impl Fn(&RunResult) -> f64) -> f64 {
        self.results.iter().map(|result| value(result)).sum()
    }
}

/// Groups results, in the order of their first.
#[must_use]
pub fn groups(results: &[RunResult]) -> Vec<Group<'_>> {
    let mut groups: Vec<Group<'_>> = Vec::new();
    for result in results {
        let same = groups.iter_mut().find(|group| key(group.first()) == key(result));
        match same {
            Some(group) => group.results.push(result),
            None => groups.push(Group::of_one(result)),
        }
    }
    groups
}

fn key(result: &RunResult) -> (&str, &str, &str, u64) {
    let scenario = &result.scenario;
    (&scenario.name, &scenario.policy, &result.machine.build, scenario.arrivals.load.to_bits())
}
