//! All errors of a document are reported at once, each with its path and the allowed values.

use sycamorerail_settings::{
    SettingsErrors, agent::AgentSettings, entry::EntrySettings, standin::UpstreamStandinSettings,
    template::Template,
};

fn lines<T: std::fmt::Debug>(read: Result<T, SettingsErrors>) -> String {
    let errors = read.unwrap_err().errors;
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

#[test]
fn entry_errors() {
    let yaml = r#"
name: Entry One
http_address: localhost:8080
inner_address: 0.0.0.0:7080
peers: [10.0.0.1:7080, 10.0.0.1:7080]
platform: {url: "ftp://x", timeout_ms: 5000, lease_ms: 2000, key_budget_per_s: 60}
keys: {authority_pem: x, authority_env: Y, certificate_path: /nowhere/c.pem, private_key_env: NO_KEY}
cluster_secret: short
operators: [{name: op, token_sha256: abc}, {name: op, tokn: x}]
limits: {retention_ms: 10, probe_after_ms: 40000, idle_timeout_ms: 30000, drain_ms: soon, lost_after: 3}
log_level: loud
fatal_invariants: 1
"#;
    insta::assert_snapshot!(lines(EntrySettings::read(yaml, &|_| None)));
}

#[test]
fn empty_entry() {
    insta::assert_snapshot!(lines(EntrySettings::read("", &|_| None)));
}

#[test]
fn agent_errors() {
    let yaml = "
name: agent-1
data_centre: [north]
rack: r1
http_address: 127.0.0.1:0
inner_address: 127.0.0.1:0
entries: []
keys: text
retention_ms: 1
heartbeat_ms: 20000
idle_timeout_ms: 12000
max_queued: -1
";
    insta::assert_snapshot!(lines(AgentSettings::read(yaml, &|_| None)));
}

#[test]
fn template_errors() {
    let yaml = "
organisation: alpenfunk
quota: {starts_per_s: 0, burst: 1.5}
callers:
  - {name: desk, token_sha256: 0000000000000000000000000000000000000000000000000000000000000000}
kinds:
  - {name: reach-check, deadline_ms: 60001, urgency: very, max_attempts: 3}
  - {name: reach-check, hedge_percentile: 95, run_ms: 6000}
  - {name: a, repeatable: true, placement: {spread: avoid}, hedge_percentile: 0}
  - {name: b, placement: {spread: even, avoid: [north]}, size: 3}
  - not a mapping
";
    insta::assert_snapshot!(lines(Template::read(yaml)));
}

#[test]
fn upstream_errors() {
    let yaml = "
name: upstream-1
http_address: 127.0.0.1:0
agent_url: 127.0.0.1:8090
kinds: ['*', 'alpenfunk/*', '*/reach-check', alpenfunk/reach-check]
slots: 0
";
    insta::assert_snapshot!(lines(UpstreamStandinSettings::read(yaml, &|_| None)));
}

#[test]
fn not_yaml() {
    for yaml in ["a: [", "a: 1\na: 2", "[1, 2]", "text"] {
        let errors = Template::read(yaml).unwrap_err().errors;
        assert_eq!(errors[0].path, sycamorerail_settings::DOCUMENT_PATH, "{yaml}");
    }
}

#[test]
fn secrets_hidden() {
    let yaml = "
cluster_secret_env: hunter-two-hunter-two
keys: {private_key_pem: hunter-two, private_key_env: HUNTER, certificate_pem: hunter-two, authority_pem: hunter-two}
";
    let text = lines(EntrySettings::read(yaml, &|name| {
        (name == "HUNTER").then(|| "hunter-two".to_owned())
    }));
    assert!(!text.contains("hunter-two"), "{text}");
}
