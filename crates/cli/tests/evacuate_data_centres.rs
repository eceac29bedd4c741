//! Data centres: evacuated, restored, refused, in doubt.

mod testenv;

use testenv::{Reply, Run, TestEnv, fake_entry};

fn body(evacuated: bool, changed: bool) -> String {
    format!(
        r#"{{"data_centre":"north","changed":{changed},"revision":12,"evacuated":{evacuated},
            "change_id":"c","changed_by":"anna","changed_unix_ms":1}}"#
    )
}

/// Runs a command against an entry with one answer; returns the first line of the call too.
fn run(args: &[&str], reply: Reply) -> (Run, String) {
    let (url, seen) = fake_entry(vec![reply]);
    let run = TestEnv::new().run(&[args, &["--entry", &url]].concat());
    (run, seen.join().unwrap().remove(0).line)
}

#[test]
fn words_sent_and_told() {
    let cases: &[(&[&str], bool, bool, &str, &str)] = &[
        (
            &["evacuate", "north"],
            true,
            true,
            "PUT /v1/admin/evacuations/north ",
            "north: evacuated, revision 12\n",
        ),
        (
            &["evacuate", "north"],
            true,
            false,
            "PUT /v1/admin/evacuations/north ",
            "north: already evacuated by anna, revision 12\n",
        ),
        (
            &["evacuate", "north", "--unknown"],
            true,
            true,
            "PUT /v1/admin/evacuations/north?unknown=true ",
            "north: evacuated, revision 12\n",
        ),
        (
            &["restore", "north"],
            false,
            true,
            "DELETE /v1/admin/evacuations/north ",
            "north: restored, revision 12\n",
        ),
        (
            &["restore", "north"],
            false,
            false,
            "DELETE /v1/admin/evacuations/north ",
            "north: not evacuated\n",
        ),
    ];
    for (args, evacuated, changed, line, text) in cases {
        let (run, seen) = run(args, Reply::Answer(200, "", body(*evacuated, *changed)));
        assert_eq!((run.code, &*run.stdout), (0, *text), "{run:?}");
        assert!(seen.starts_with(line), "{seen}");
    }
}

#[test]
fn unknown_name() {
    let refusal = r#"{"reason":"invalid","detail":"no entry or agent on record is in the data centre",
        "errors":[{"path":"data_centre","problem":"found \"nroth\"",
        "allowed":"north, south; any other with unknown=true"}]}"#;
    let (run, _) = run(&["evacuate", "nroth"], Reply::Answer(422, "", refusal.to_owned()));
    assert_eq!(run.code, 3, "{run:?}");
    let told = "data_centre: found \"nroth\"; allowed: north, south; any other with unknown=true";
    assert!(run.stderr.contains(told), "{run:?}");
}

#[test]
fn malformed_name() {
    for command in ["evacuate", "restore"] {
        let run = TestEnv::new().run(&[command, "North!"]);
        assert_eq!(run.code, 2, "{run:?}");
        assert!(run.stderr.contains("data_centre: found \"North!\""), "{run:?}");
    }
}

#[test]
fn opposite_word() {
    let refusal = r#"{"reason":"conflict","detail":"taken back by bela meanwhile","revision":9}"#;
    let (run, _) = run(&["evacuate", "north"], Reply::Answer(412, "", refusal.to_owned()));
    assert_eq!(run.code, 14, "{run:?}");
    assert!(run.stderr.contains("revision 9: taken back by bela meanwhile"), "{run:?}");
}

#[test]
fn store_out() {
    for (outcome, code) in [("not_run", 11), ("in_doubt", 13)] {
        let refusal = format!(
            r#"{{"reason":"platform_out","detail":"","outcome":"{outcome}","retry_after_ms":2000}}"#
        );
        let (run, _) = run(&["evacuate", "north"], Reply::Answer(503, "", refusal));
        assert_eq!(run.code, code, "{run:?}");
        assert!(run.stderr.contains("come back in 2000 ms"), "{run:?}");
    }
}

#[test]
fn lost_answer() {
    let (run, _) = run(&["restore", "north"], Reply::HangUp);
    assert_eq!(run.code, 12, "{run:?}");
    assert!(run.stderr.contains("saying it again is harmless"), "{run:?}");
}

#[test]
fn status_shows_evacuations() {
    let status = r#"{"entries":[],"unreachable":[],"evacuations":[{"data_centre":"north",
        "revision":12,"changed_by":"anna","changed_unix_ms":1,"upstreams":3,
        "running_upstreams":2,"silent_upstreams":0}],"upstreams":[]}"#;
    let (run, _) = run(&["status"], Reply::Answer(200, "", status.to_owned()));
    assert_eq!(run.code, 0, "{run:?}");
    for line in [
        "evacuations[0].data_centre: north\n",
        "evacuations[0].revision: 12\n",
        "evacuations[0].running_upstreams: 2\n",
    ] {
        assert!(run.stdout.contains(line), "{run:?}");
    }
}
