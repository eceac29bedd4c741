//! A laid out directory is read back by the programs' own settings.

use {
    std::path::Path,
    sycamorerail_bench::{
        cluster::{Cluster, Role},
        layout,
        scenario::Scenario,
    },
    sycamorerail_settings::{
        standin::{PlatformStandinSettings, UpstreamStandinSettings},
        template::Template,
    },
};

const SCENARIO: &str = "
name: layout
deployment: rangmancha
warm_up_ms: 0
duration_ms: 1000
declared_run_factor: 0.5
sizes: {entries: 2, upstreams: 4, organisations: 2}
arrivals: {load: 0.5}
overrides:
  upstream: {slots: 5}
  template: {quota: {burst: 7}}
  kind: {deadline_ms: 9000}
  kinds: {match-headshots: {max_attempts: 3}}
";

#[test]
fn settings_load() {
    let scenario = Scenario::parse(SCENARIO).unwrap();
    let dir = tempfile::tempdir().unwrap();
    let cluster = layout::lay_out(&scenario, dir.path(), layout::random_port_base()).unwrap();
    assert_eq!(Cluster::load(dir.path()).unwrap(), cluster);
    assert_eq!(cluster.processes.len(), 1 + 2 + 4 + 4);
    let platform = cluster.of_role(Role::Platform).next().unwrap();
    PlatformStandinSettings::load(&dir.path().join(&platform.settings)).unwrap();
    for upstream in cluster.of_role(Role::Upstream) {
        let settings = UpstreamStandinSettings::load(&dir.path().join(&upstream.settings)).unwrap();
        assert_eq!(settings.slots, 5);
    }
    for organisation in &cluster.organisations {
        check_template(&dir.path().join(&organisation.template));
    }
}

fn check_template(path: &Path) {
    let template = Template::load(path).unwrap();
    assert_eq!(template.quota.burst, 7);
    assert_eq!(template.kinds.len(), 3);
    for kind in &template.kinds {
        assert_eq!(kind.deadline_ms, 9_000);
        assert_eq!(kind.max_attempts, if kind.name == "match-headshots" { 3 } else { 1 });
    }
}

#[test]
fn fault_targets() {
    let scenario = Scenario::parse(SCENARIO).unwrap();
    let dir = tempfile::tempdir().unwrap();
    let cluster = layout::lay_out(&scenario, dir.path(), layout::random_port_base()).unwrap();
    let names = |target: &str| -> Vec<String> {
        cluster.targets(target).unwrap().iter().map(|process| process.name.clone()).collect()
    };
    assert_eq!(names("agent-2"), ["agent-2"]);
    assert_eq!(names("entry-*"), ["entry-1", "entry-2"]);
    assert!(cluster.targets("agent-9").unwrap_err().to_string().contains("agent-9"));
}

#[test]
fn scenarios_parse() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../bench");
    for file in std::fs::read_dir(dir).unwrap() {
        let path = file.unwrap().path();
        let yaml = std::fs::read_to_string(&path).unwrap();
        let scenario = Scenario::parse(&yaml).unwrap_or_else(|err| panic!("{path:?}: {err}"));
        assert_eq!(path.file_stem().unwrap().to_str(), Some(scenario.name.as_str()));
    }
}
