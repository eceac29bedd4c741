//! Reading metrics pages, and the waste they tell of.

use sycamorerail_bench::{scrape::Series, usage::cpu_s, waste::waste};

const BEFORE: &str = r#"# TYPE sycamorerail_messages_total counter
sycamorerail_messages_total{message="placement",cause="done"} 10
sycamorerail_messages_total{message="revoke",cause="cancelled"} 4
sycamorerail_agent_queued 3
"#;

const AFTER: &str = r#"sycamorerail_messages_total{message="placement",cause="done"} 30
sycamorerail_messages_total{message="placement_refused",cause="agent_full"} 5
sycamorerail_messages_total{message="forward",cause="done"} 7
sycamorerail_messages_total{message="revoke",cause="cancelled"} 1
sycamorerail_agent_queued 9
"#;

#[test]
fn growth_by_cause() {
    let growth = Series::parse(AFTER).growth(&Series::parse(BEFORE));
    let waste = waste(&growth, &Series::default(), 2, 10);
    insta::assert_json_snapshot!(waste.by_cause, @r#"
    {
      "extra_start": 2.0,
      "placement_refused/agent_full": 5.0,
      "revoke/cancelled": 1.0
    }
    "#);
    assert_eq!(waste.placements, 20.0);
    assert_eq!(waste.forwards, 7.0);
    assert_eq!(waste.per_completed, 0.8);
    assert_eq!(growth.sum("sycamorerail_agent_queued"), 0.0);
}

#[test]
fn odd_commands() {
    let stat = "7 (a) b (c)) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 1";
    assert_eq!(cpu_s(stat), Some(2.0));
    assert_eq!(cpu_s("7 (a) S"), None);
}
