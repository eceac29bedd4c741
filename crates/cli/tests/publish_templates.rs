//! Templates: conditions of changes, conflicts, differences, rollout.

mod testenv;

use testenv::{Reply, TestEnv, fake_entry};

const TEMPLATE: &str = include_str!("../../../examples/rangmancha/template.yaml");

fn env() -> TestEnv {
    let env = TestEnv::new();
    env.write("t.yaml", TEMPLATE);
    env
}

fn accepted() -> Reply {
    let body = r#"{"organisation":"rangmancha","revision":5,"mark":9,"published_by":"anna","published_unix_ms":1}"#;
    Reply::Answer(200, "", body.to_owned())
}

#[test]
fn conditions_sent() {
    let cases: &[(&[&str], &str, &str, &str)] = &[
        (&["publish", "--create", "t.yaml"], "PUT ", "if-none-match", "*"),
        (&["publish", "--revision", "4", "t.yaml"], "PUT ", "if-match", "\"4\""),
        (&["rollback", "rangmancha", "--to", "2", "--revision", "4"], "POST ", "if-match", "\"4\""),
        (&["delete", "rangmancha", "--revision", "4"], "DELETE ", "if-match", "\"4\""),
    ];
    for (args, method, header, value) in cases {
        let (url, seen) = fake_entry(vec![accepted()]);
        let run = env().run(&[*args, &["--entry", &url]].concat());
        assert_eq!(
            (run.code, run.stdout.as_str()),
            (0, "rangmancha: revision 5, published by anna\n")
        );
        let seen = seen.join().unwrap();
        assert!(seen[0].line.starts_with(method), "{seen:?}");
        assert!(seen[0].line.contains("/v1/admin/organisations/rangmancha"), "{seen:?}");
        assert_eq!(seen[0].header(header), Some(*value), "{seen:?}");
    }
}

#[test]
fn text_sent_unchanged() {
    let (url, seen) = fake_entry(vec![accepted()]);
    assert_eq!(env().run(&["publish", "--create", "t.yaml", "--entry", &url]).code, 0);
    let seen = seen.join().unwrap();
    assert_eq!(seen[0].body, TEMPLATE);
    assert_eq!(seen[0].header("content-type"), Some("application/yaml"));
}

#[test]
fn conflict_named() {
    let body = r#"{"reason":"conflict","revision":7,"published_by":"bela"}"#;
    let (url, seen) = fake_entry(vec![Reply::Answer(412, "", body.to_owned())]);
    let run = env().run(&["publish", "--revision", "6", "t.yaml", "--entry", &url]);
    assert_eq!(run.code, 14, "{run:?}");
    assert!(run.stderr.contains("revision 7, published by bela, is in force"), "{run:?}");
    seen.join().unwrap();
}

#[test]
fn refused_fields() {
    let body = r#"{"errors":[{"path":"quota.burst","problem":"found 0","allowed":"1 to 9"}]}"#;
    let (url, seen) = fake_entry(vec![Reply::Answer(422, "", body.to_owned())]);
    let run = env().run(&["publish", "--create", "t.yaml", "--entry", &url]);
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.stderr.contains("quota.burst: found 0; allowed: 1 to 9"), "{run:?}");
    seen.join().unwrap();
}

#[test]
fn lost_publish() {
    let (url, seen) = fake_entry(vec![Reply::HangUp]);
    let run = env().run(&["publish", "--create", "t.yaml", "--entry", &url]);
    assert_eq!(run.code, 12, "{run:?}");
    assert!(run.stderr.contains("sycamorerail history rangmancha"), "{run:?}");
    seen.join().unwrap();
}

#[test]
fn differences_shown() {
    let published = TEMPLATE.replace("starts_per_s: 400", "starts_per_s: 300");
    let replies = vec![
        Reply::Answer(200, "etag: \"3\"\r\n", published),
        Reply::Answer(200, "etag: \"4\"\r\n", TEMPLATE.to_owned()),
    ];
    let (url, seen) = fake_entry(replies);
    let env = env();
    let run = env.run(&["diff", "t.yaml", "--entry", &url]);
    assert_eq!(run.code, 4, "{run:?}");
    assert!(run.stdout.starts_with("--- revision 3\n+++ t.yaml\n"), "{run:?}");
    assert!(run.stdout.contains("\n-  starts_per_s: 300\n+  starts_per_s: 400\n"), "{run:?}");
    let run = env.run(&["diff", "t.yaml", "--entry", &url]);
    assert_eq!((run.code, run.stdout.as_str()), (0, "same as revision 4\n"));
    seen.join().unwrap();
}

#[test]
fn tables_shown() {
    let rollout = r#"{"entries":[
        {"name":"entry-1","data_centre":"north","ready":true,"revisions":{"alpenfunk":12,"b":1}},
        {"name":"e2","data_centre":"south","ready":false,"revisions":{"alpenfunk":11}}]}"#;
    let history = r#"{"revisions":[
        {"revision":2,"published_by":"anna","published_unix_ms":17,"deleted":true}]}"#;
    let (url, seen) = fake_entry(vec![
        Reply::Answer(200, "", rollout.to_owned()),
        Reply::Answer(200, "", history.to_owned()),
    ]);
    let env = env();
    insta::assert_snapshot!(env.run(&["rollout", "--entry", &url]).stdout, @r"
    entry    data_centre  ready  alpenfunk  b
    entry-1  north        true   12         1
    e2       south        false  11         -
    ");
    insta::assert_snapshot!(env.run(&["history", "alpenfunk", "--entry", &url]).stdout, @r"
    revision  published_by  published_unix_ms  state
    2         anna          17                 deleted
    ");
    seen.join().unwrap();
}

#[test]
fn gateway_page() {
    let (url, seen) = fake_entry(vec![Reply::Answer(502, "", "<html>bad</html>".to_owned())]);
    let run = env().run(&["drain", "--entry", &url]);
    assert_eq!(run.code, 12, "{run:?}");
    assert!(run.stderr.contains("HTTP 502: <html>bad</html>"), "{run:?}");
    seen.join().unwrap();
}
