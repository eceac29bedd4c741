//! Ranges of a scenario's fields.

use super::{Arrivals, Bursts, Client, Fault, FaultStep, FieldError, Flood, Scenario};

const MAX_JOB_TASKS: u16 = 170;
const MAX_LOAD: f64 = 20.0;
const MAX_NAME_CHARS: usize = 80;

/// All fields out of their range.
pub(super) fn errors(scenario: &Scenario) -> Vec<FieldError> {
    let mut errors = Errors(Vec::new());
    errors.require(is_name(&scenario.name), "name", "1 to 80 of a-z, 0-9, - and _");
    errors.require(scenario.duration_ms > 0, "duration_ms", "at least 1");
    let factor = scenario.declared_run_factor;
    errors.require(in_range(factor, 0.001, 1_000.0), "declared_run_factor", "0.001 to 1000");
    check_arrivals(&scenario.arrivals, &mut errors);
    if let Some(flood) = &scenario.arrivals.flood {
        check_flood(flood, scenario.size().organisations, &mut errors);
    }
    check_run_times(scenario, &mut errors);
    check_sizes(scenario, &mut errors);
    check_client(&scenario.client, &mut errors);
    for (index, wave) in scenario.cancellations.iter().enumerate() {
        let field = format!("cancellations[{index}].share");
        errors.require(in_range(wave.share, 0.0, 1.0), &field, "0 to 1");
    }
    for (index, step) in scenario.faults.iter().enumerate() {
        check_fault(index, step, &mut errors);
    }
    errors.0
}

struct Errors(Vec<FieldError>);

impl Errors {
    fn require(&mut self, holds: bool, field: &str, allowed: &str) {
        if !holds {
            let allowed = format!("must be {allowed}");
            self.0.push(FieldError { field: field.to_owned(), allowed });
        }
    }
}

fn check_arrivals(arrivals: &Arrivals, errors: &mut Errors) {
    let load_fits = arrivals.load > 0.0 && arrivals.load <= MAX_LOAD;
    errors.require(load_fits, "arrivals.load", "above 0, at most 20");
    let share_fits = in_range(arrivals.request_share, 0.0, 1.0);
    errors.require(share_fits, "arrivals.request_share", "0 to 1");
    let tasks_fit = (1..=MAX_JOB_TASKS).contains(&arrivals.max_job_tasks);
    errors.require(tasks_fit, "arrivals.max_job_tasks", "1 to 170");
    if let Some(bursts) = &arrivals.bursts {
        check_bursts(bursts, errors);
    }
}

fn check_bursts(bursts: &Bursts, errors: &mut Errors) {
    errors.require(bursts.every_ms > 0, "arrivals.bursts.every_ms", "at least 1");
    let length_fits = bursts.length_ms < bursts.every_ms;
    errors.require(length_fits, "arrivals.bursts.length_ms", "below every_ms");
    let factor_fits = in_range(bursts.factor, 0.01, 100.0);
    errors.require(factor_fits, "arrivals.bursts.factor", "0.01 to 100");
}

fn check_flood(flood: &Flood, organisations: u16, errors: &mut Errors) {
    let known = flood.organisation < organisations;
    errors.require(known, "arrivals.flood.organisation", "below sizes.organisations");
    let lasts = flood.from_ms < flood.until_ms;
    errors.require(lasts, "arrivals.flood.until_ms", "above from_ms");
    let load_fits = flood.load > 0.0 && flood.load <= MAX_LOAD;
    errors.require(load_fits, "arrivals.flood.load", "above 0, at most 20");
}

fn check_run_times(scenario: &Scenario, errors: &mut Errors) {
    let times = &scenario.run_times;
    errors.require(times.min_ms > 0, "run_times.min_ms", "at least 1");
    let body_fits = times.min_ms <= times.body_max_ms;
    errors.require(body_fits, "run_times.body_max_ms", "min_ms or more");
    let tail_fits = times.body_max_ms <= times.tail_max_ms;
    errors.require(tail_fits, "run_times.tail_max_ms", "body_max_ms or more");
    errors.require(in_range(times.tail_share, 0.0, 1.0), "run_times.tail_share", "0 to 1");
    let alpha_fits = times.tail_alpha > 1.0 && times.tail_alpha <= 10.0;
    errors.require(alpha_fits, "run_times.tail_alpha", "above 1, at most 10");
}

fn check_sizes(scenario: &Scenario, errors: &mut Errors) {
    let size = scenario.size();
    errors.require((1..=1_000).contains(&size.entries), "sizes.entries", "1 to 1000");
    errors.require((1..=2_000).contains(&size.upstreams), "sizes.upstreams", "1 to 2000");
    errors.require(size.slots > 0, "sizes.slots", "at least 1");
    errors.require(size.organisations > 0, "sizes.organisations", "at least 1");
}

fn check_client(client: &Client, errors: &mut Errors) {
    errors.require(client.deadline_ms > 0, "client.deadline_ms", "at least 1");
    errors.require(client.answer_timeout_ms > 0, "client.answer_timeout_ms", "at least 1");
    let give_up_fits = client.give_up_ms >= client.answer_timeout_ms;
    errors.require(give_up_fits, "client.give_up_ms", "answer_timeout_ms or more");
    errors.require(client.reserve_block > 0, "client.reserve_block", "at least 1");
}

fn check_fault(index: usize, step: &FaultStep, errors: &mut Errors) {
    let field = |name: &str| format!("faults[{index}].{name}");
    errors.require(
        !step.target.is_empty(),
        &field("target"),
        "the name of a process, or a prefix and *",
    );
    let share_fits = step.share.is_none_or(|share| in_range(share, 0.0, 1.0));
    errors.require(share_fits, &field("share"), "0 to 1");
    let factor_fits = step.factor.is_none_or(|factor| in_range(factor, 1.0, 1_000.0));
    errors.require(factor_fits, &field("factor"), "1 to 1000");
    let delay_fits = step.fault != Fault::PlatformSlow || step.delay_ms.is_some();
    errors.require(delay_fits, &field("delay_ms"), "given with platform_slow");
}

fn is_name(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_');
    !text.is_empty() && text.len() <= MAX_NAME_CHARS && text.chars().all(plain)
}

fn in_range(value: f64, low: f64, high: f64) -> bool {
    (low..=high).contains(&value)
}
