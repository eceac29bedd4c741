//! Keys that the command line makes are taken by settings and sessions.

mod testenv;

use {
    std::os::unix::fs::PermissionsExt,
    sycamorerail_settings::token::token_sha256,
    sycamorerail_wire::keys::{PemPair, ProcessKeys},
    testenv::TestEnv,
};

const AUTHORITY: &[&str] = &["keys", "authority", "--cluster", "test", "--dir", "keys"];
const ISSUE: &[&str] = &["keys", "issue", "--role", "agent", "--name", "agent-1", "--dir", "keys"];

#[test]
fn usable_keys() {
    let env = TestEnv::new();
    assert_eq!(env.run(AUTHORITY).code, 0);
    assert_eq!(env.run(ISSUE).code, 0);
    let own = PemPair {
        certificate_pem: env.read("keys/agent-1.pem"),
        key_pem: env.read("keys/agent-1.key.pem"),
    };
    assert!(ProcessKeys::read(&env.read("keys/authority.pem"), &own).is_ok());
    let mode = env.path().join("keys/agent-1.key.pem").metadata().unwrap().permissions().mode();
    assert_eq!(mode & 0o077, 0);
}

#[test]
fn nothing_overwritten() {
    let env = TestEnv::new();
    assert_eq!(env.run(AUTHORITY).code, 0);
    let before = env.read("keys/authority.pem");
    let run = env.run(AUTHORITY);
    assert_eq!(run.code, 1);
    assert!(run.stderr.contains("authority.key.pem"), "{run:?}");
    assert_eq!(env.read("keys/authority.pem"), before);
}

#[test]
fn missing_authority() {
    let run = TestEnv::new().run(ISSUE);
    assert_eq!(run.code, 1);
    assert!(run.stderr.contains("keys/authority.pem"), "{run:?}");
}

#[test]
fn token_hash() {
    let env = TestEnv::new();
    let run = env.run(&["keys", "token", "--output", "json"]);
    let made: serde_json::Value = serde_json::from_str(&run.stdout).unwrap();
    let token = made["token"].as_str().unwrap();
    assert_eq!(made["token_sha256"], token_sha256(token));
    assert_ne!(run.stdout, env.run(&["keys", "token", "--output", "json"]).stdout);
}
