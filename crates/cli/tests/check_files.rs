//! `check` names every file and field, and the exit code tells scripts.

mod testenv;

use testenv::TestEnv;

const TEMPLATE: &str = include_str!("../../../examples/alpenfunk/template.yaml");
const UPSTREAM: &str = include_str!("../../../examples/demo/upstream-1.yaml");

#[test]
fn valid_files() {
    let env = TestEnv::new();
    env.write("a.yaml", TEMPLATE);
    env.write("u.yaml", UPSTREAM);
    let run = env.run(&["check", "template", "a.yaml", "a.yaml"]);
    assert_eq!((run.code, run.stdout.as_str()), (0, "a.yaml: valid\na.yaml: valid\n"));
    assert_eq!(env.run(&["check", "upstream-standin", "u.yaml"]).code, 0);
}

#[test]
fn every_error() {
    let env = TestEnv::new();
    env.write("good.yaml", TEMPLATE);
    env.write("bad.yaml", "organisation: A B\nkinds: [{name: x, deadline: 5, deadline_ms: 0}]\n");
    let run = env.run(&["check", "template", "good.yaml", "bad.yaml"]);
    assert_eq!(run.code, 3);
    assert_eq!(run.stdout, "good.yaml: valid\n");
    insta::assert_snapshot!(run.stderr, @r#"
    error: bad.yaml: organisation: found "A B"; allowed: 1 to 64 of the characters a-z 0-9 _ -
    error: bad.yaml: kinds[0].deadline_ms: found 0; allowed: a whole number from 1 to 60000
    error: bad.yaml: kinds[0].deadline: unknown field; allowed: one of repeatable, name, urgency, deadline_ms, placement, priority, size_bytes, run_ms, max_attempts, hedge_percentile
    "#);
}

#[test]
fn json_findings() {
    let env = TestEnv::new();
    env.write("bad.yaml", "agent_url: http://127.0.0.1:1\nname: u\nkinds: ['*']\n");
    let run = env.run(&["check", "upstream-standin", "bad.yaml", "--output", "json"]);
    assert_eq!(run.code, 3);
    let found: serde_json::Value = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!(found[0]["errors"][0]["path"], "http_address");
}

#[test]
fn usage_errors() {
    let env = TestEnv::new();
    let commands: &[&[&str]] = &[
        &["frobnicate"],
        &["check", "nothing", "a.yaml"],
        &["check", "template"],
        &["submit"],
        &["submit", "--kind", "k"],
        &["submit", "--kind", "k", "--task", "1", "--payload", "1"],
        &["submit", "--kind", "k", "--task", "1", "--key", "not-a-uuid"],
        &["publish", "a.yaml"],
        &["fetch", "../admin"],
        &["history", "A/B"],
        &["status", "--entry", "ftp://x"],
    ];
    for args in commands {
        let run = env.run(args);
        assert_eq!(run.code, 2, "{args:?}: {run:?}");
        assert!(run.stderr.starts_with("error: "), "{args:?}: {run:?}");
        assert_eq!(run.stderr.lines().count(), 1, "{args:?}: {run:?}");
    }
    assert_eq!(env.run(&["check", "template", "missing.yaml"]).code, 1);
    assert_eq!(env.run(&["submit", "--help"]).code, 0);
}
