//! The examples in the repository are valid.

use {
    std::{
        fs,
        path::{Path, PathBuf},
    },
    sycamorerail_settings::{
        agent::AgentSettings,
        entry::EntrySettings,
        standin::{PlatformStandinSettings, UpstreamStandinSettings},
        template::{Priority, SpreadTemplate, Template, Urgency},
    },
    sycamorerail_wire::keys::{Role, generate_authority, issue_certificate},
};

fn example(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(path)
}

/// Returns the text of an example, with its keys generated and written to `dir`.
fn with_keys(path: &str, dir: &Path) -> String {
    let text = fs::read_to_string(example(path)).unwrap();
    let keys =
        issue_certificate(&generate_authority("test").unwrap(), Role::Entry, "test").unwrap();
    for line in text.lines().filter(|line| line.contains("_path: ")) {
        let (_, name) = line.split_once("keys/").unwrap();
        let pem = if name.ends_with(".key.pem") { &keys.key_pem } else { &keys.certificate_pem };
        fs::write(dir.join(name), pem).unwrap();
    }
    text.replace("keys/", &format!("{}/", dir.display()))
}

fn secret(name: &str) -> Option<String> {
    (name == "SYCAMORERAIL_CLUSTER_SECRET").then(|| "a secret of thirty bytes or so".to_owned())
}

#[test]
fn entries_valid() {
    let paths =
        ["alpenfunk/entry.yaml", "rangmancha/entry.yaml", "demo/entry-1.yaml", "demo/entry-2.yaml"];
    for path in paths {
        let dir = tempfile::tempdir().unwrap();
        let settings = EntrySettings::read(&with_keys(path, dir.path()), &secret);
        assert!(settings.is_ok(), "{path}: {settings:?}");
    }
}

#[test]
fn agents_valid() {
    let paths = [
        "alpenfunk/agent.yaml",
        "rangmancha/agent.yaml",
        "demo/agent-1.yaml",
        "demo/agent-2.yaml",
        "demo/agent-3.yaml",
    ];
    for path in paths {
        let dir = tempfile::tempdir().unwrap();
        let settings = AgentSettings::read(&with_keys(path, dir.path()), &secret);
        assert!(settings.is_ok(), "{path}: {settings:?}");
    }
}

#[test]
fn standins_valid() {
    PlatformStandinSettings::load(&example("demo/platform.yaml")).unwrap();
    for number in 1..=3 {
        UpstreamStandinSettings::load(&example(&format!("demo/upstream-{number}.yaml"))).unwrap();
    }
}

#[test]
fn alpenfunk_template() {
    let template = Template::load(&example("alpenfunk/template.yaml")).unwrap();
    let names: Vec<_> = template.kinds.iter().map(|kind| kind.name.as_str()).collect();
    assert_eq!(names, ["reach-check", "brief-render", "post-confirmation"]);
    for kind in &template.kinds {
        assert_eq!(kind.urgency, Urgency::Urgent);
        assert_eq!(kind.priority, Priority::Time);
        assert_eq!(kind.placement.spread, SpreadTemplate::Even);
        assert_eq!(kind.repeatable, kind.name != "post-confirmation");
    }
}

#[test]
fn rangmancha_template() {
    let template = Template::load(&example("rangmancha/template.yaml")).unwrap();
    let names: Vec<_> = template.kinds.iter().map(|kind| kind.name.as_str()).collect();
    assert_eq!(names, ["call-publish", "headshot-match", "slot-confirmation"]);
    for kind in &template.kinds {
        assert_eq!(kind.priority, Priority::Waste);
        assert_eq!(kind.hedge_percentile, None);
        assert_eq!(kind.repeatable, kind.name != "slot-confirmation");
    }
}
