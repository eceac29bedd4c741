//! Submissions: what is sent, and what each answer becomes.

mod testenv;

use testenv::{Reply, TestEnv, closed_address, fake_entry};

fn ids() -> Reply {
    Reply::Answer(200, "", r#"{"ids":["id-1"]}"#.to_owned())
}

fn answer(status: u16, outcome: &str, reason: &str) -> Reply {
    let results = if outcome == "complete" { "[{\"a\": 1},2]" } else { "[]" };
    let body = format!(
        r#"{{"id":"id-1","outcome":"{outcome}","reason":"{reason}","step":"run","peer":"agent-7",
            "detail":null,"retry_after_ms":null,"tasks_started":null,"results":{results}}}"#
    );
    Reply::Answer(status, "", body)
}

#[test]
fn whole_job() {
    let (url, seen) = fake_entry(vec![ids(), answer(200, "complete", "done")]);
    let args =
        ["submit", "--kind", "k", "--task", "{\"b\": 1}", "--task", "2", "--deadline-ms", "9"];
    let run = TestEnv::new().run(&[&args[..], &["--entry", &url, "--token", "secret"]].concat());
    assert_eq!(run.code, 0, "{run:?}");
    insta::assert_snapshot!(run.stdout, @r#"
    id: id-1
    outcome: complete
    reason: done
    results[0]: {"a": 1}
    results[1]: 2
    "#);
    let seen = seen.join().unwrap();
    assert_eq!(seen[0].line, "POST /v1/ids HTTP/1.1");
    assert_eq!(seen[1].line, "PUT /v1/jobs/id-1 HTTP/1.1");
    assert_eq!(seen[1].header("authorization"), Some("Bearer secret"));
    assert_eq!(seen[1].body, r#"{"kind":"k","tasks":[{"b": 1},2],"deadline_ms":9}"#);
}

#[test]
fn request_from_stdin() {
    let (url, seen) = fake_entry(vec![answer(200, "complete", "done")]);
    let body = r#"{"kind": "k", "payload": {"x": [1,  2]}}"#;
    let args = ["submit", "-", "--id", "id-9", "--entry", &url, "--output", "json"];
    let run = TestEnv::new().run_with_input(&args, body);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.stdout.contains(r#""results":[{"a": 1},2]"#));
    let seen = seen.join().unwrap();
    assert_eq!(seen[0].line, "PUT /v1/requests/id-9 HTTP/1.1");
    assert_eq!(seen[0].body, r#"{"kind":"k","payload":{"x": [1,  2]}}"#);
}

#[test]
fn own_key() {
    let key = "0197c0de-7a3b-7cc1-98c4-dc0c0c07398f";
    let (url, seen) = fake_entry(vec![answer(200, "complete", "done")]);
    let args = ["submit", "--kind", "k", "--payload", "1", "--key", key, "--entry", &url];
    assert_eq!(TestEnv::new().run(&args).code, 0);
    let seen = seen.join().unwrap();
    assert_eq!(seen[0].line, "POST /v1/requests HTTP/1.1");
    assert_eq!(seen[0].header("idempotency-key"), Some(key));
}

#[test]
fn exit_codes() {
    let cases = [
        (200, "complete", "done", 0),
        (200, "failed", "task_failed", 10),
        (503, "not_run", "overloaded", 11),
        (504, "unknown", "agent_lost", 12),
        (202, "in_doubt", "running", 13),
        (409, "failed", "conflict", 14),
        (404, "not_run", "not_found", 15),
        (401, "not_run", "unauthorised", 16),
        (422, "not_run", "invalid", 3),
    ];
    for (status, outcome, reason, code) in cases {
        let (url, seen) = fake_entry(vec![answer(status, outcome, reason)]);
        let run = TestEnv::new().run(&["fetch", "id-1", "--entry", &url]);
        assert_eq!(run.code, code, "{outcome} {reason}: {run:?}");
        assert_eq!(run.stderr.contains("at agent-7"), code != 0, "{run:?}");
        assert_eq!(seen.join().unwrap()[0].line, "GET /v1/jobs/id-1 HTTP/1.1");
    }
}

#[test]
fn refused_call() {
    let body = r#"{"id":null,"outcome":null,"reason":"draining","step":"accept","peer":null,
        "detail":"stopping","retry_after_ms":100,"tasks_started":null,"results":[]}"#;
    let (url, seen) = fake_entry(vec![Reply::Answer(503, "", body.to_owned())]);
    let run = TestEnv::new().run(&["submit", "--kind", "k", "--task", "1", "--entry", &url]);
    assert_eq!(run.code, 18, "{run:?}");
    let expected = format!(
        "error: reserve: {url}: refused, draining at step accept: stopping; come back in 100 ms\n"
    );
    assert_eq!(run.stderr, expected);
    seen.join().unwrap();
}

#[test]
fn lost_answer() {
    let (url, seen) = fake_entry(vec![ids(), Reply::HangUp]);
    let run = TestEnv::new().run(&["submit", "--kind", "k", "--task", "1", "--entry", &url]);
    assert_eq!(run.code, 12, "{run:?}");
    assert!(run.stderr.contains("may have arrived; send the same again with --id id-1"), "{run:?}");
    assert!(run.stderr.contains(&url), "{run:?}");
    assert_eq!(seen.join().unwrap().len(), 2);
}

#[test]
fn unreachable_entry() {
    let url = closed_address();
    let run = TestEnv::new().run(&["submit", "--kind", "k", "--task", "1", "--entry", &url]);
    assert_eq!(run.code, 17, "{run:?}");
    assert!(run.stderr.contains("nothing was sent"), "{run:?}");
    assert!(run.stderr.contains(&url), "{run:?}");
}

#[test]
fn fetch_waits() {
    let (url, seen) =
        fake_entry(vec![answer(202, "in_doubt", "running"), answer(200, "complete", "done")]);
    let run = TestEnv::new().run(&["fetch", "id-1", "--wait-ms", "600000", "--entry", &url]);
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(seen.join().unwrap().len(), 2);
}

#[test]
fn tame_output() {
    let body = r#"{"outcome":"failed","reason":"task_failed","detail":"\u001b[2J\nfake line"}"#;
    let (url, seen) = fake_entry(vec![Reply::Answer(200, "", body.to_owned())]);
    let run = TestEnv::new().run(&["cancel", "id-1", "--entry", &url]);
    assert_eq!((run.code, run.stderr.lines().count()), (10, 1), "{run:?}");
    assert!(!run.stderr.contains('\u{1b}'), "{run:?}");
    assert_eq!(seen.join().unwrap()[0].line, "DELETE /v1/jobs/id-1 HTTP/1.1");
}
