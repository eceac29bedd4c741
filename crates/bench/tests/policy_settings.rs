//! Settings of models: the shipped ones are sound, and a wrong field is named.

use sycamorerail_bench::policy::ModelSettings;

const SOUND: &str = "
name: site
seconds: 4
entries: 2
upstreams: [{ count: 2, cpu_milli: 8000 }]
kinds:
  - name: check
    priority: 0
    per_s: 10
    tasks: { mean: 4, most: 8 }
    run_ms: { mean: 60, most: 240 }
    cpu_milli: 1000
    stretch: 1.5
    target_ms: 60
bursts: [{ at_s: 1, for_s: 1, factor: 2 }]
faults: [{ kind: slow, at_s: 1, for_s: 1, strength: 4 }]
";

fn error(from: &str, to: &str) -> String {
    assert!(SOUND.contains(from), "{from}");
    format!("{:#}", ModelSettings::parse(&SOUND.replace(from, to)).unwrap_err())
}

#[test]
fn the_shipped_settings_are_sound() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/policy");
    let files = std::fs::read_dir(dir).unwrap().map(|file| file.unwrap().path());
    let parsed = files.map(|path| {
        let text = std::fs::read_to_string(&path).unwrap();
        ModelSettings::parse(&text).unwrap_or_else(|error| panic!("{}: {error:#}", path.display()))
    });
    assert!(parsed.count() > 0);
}

#[test]
fn a_wrong_field_is_named() {
    ModelSettings::parse(SOUND).unwrap();
    let errors = [
        error("seconds: 4", "seconds: 0"),
        error("entries: 2", "entries: 0"),
        error("count: 2", "count: 0"),
        error("cpu_milli: 8000", "cpu_milli: 0"),
        error("per_s: 10", "per_s: -1"),
        error("mean: 4, most: 8", "mean: 4, most: 2"),
        error("stretch: 1.5", "stretch: 0.5"),
        error("stretch: 1.5", "stretch: 1.5\n    tail: 1.1"),
        error("stretch: 1.5", "stretch: 1.5\n    tail_factor: 0.9"),
        error("factor: 2", "factor: 2, kind: nobody"),
        error("strength: 4", "strength: 0"),
        error("strength: 4", "strength: 4, count: 9"),
        error("kind: slow", "kind: tired"),
        error("name: site", "named: site"),
        error("entries: 2", "entries: 2\nlinks: { entries_per_agent: 0 }"),
        error("entries: 2", "entries: 2\nlinks: { agents_per_entry: 0 }"),
        error("entries: 2", "entries: 2\nlinks: { load_pause_ms: 10001 }"),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}
