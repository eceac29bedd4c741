//! Changes while the platform is out: not run, or in doubt until it tells.

mod site;

use {
    site::{Entry, SETTLE_MS, TIMEOUT_MS, put, standin},
    sycamorerail_standin::platform::PlatformFaults,
    sycamorerail_templates::{Base, ChangeError, ChangeState},
    tokio::time::{Duration, sleep},
};

#[tokio::test]
async fn refused_is_not_run() {
    let standin = standin(1).await;
    let entry = Entry::start(&standin.url());
    entry.until_ready().await;
    standin.refuse().await.unwrap();
    let first = put("alpenfunk", Base::Absent, 100);
    match entry.publisher.publish(&first).await {
        Err(ChangeError::NotRun { retry_after_ms, .. }) => assert!(retry_after_ms > 0),
        other => panic!("{other:?}"),
    }
    standin.heal().await.unwrap();
    let revision = standin.revision();
    sleep(Duration::from_millis(u64::from(TIMEOUT_MS))).await;
    assert_eq!(standin.revision(), revision, "it truly was not run");
    assert_eq!(entry.publisher.publish(&first).await.unwrap().revision, 1);
}

#[tokio::test]
async fn lost_answers_resolved() {
    let standin = standin(1).await;
    let entry = Entry::start(&standin.url());
    let losing = PlatformFaults { lose_answers: 1.0, ..PlatformFaults::default() };
    standin.set_faults(losing).await.unwrap();
    for revision in 1..=10 {
        let change = put("alpenfunk", site::base_of(revision - 1), 100);
        let accepted = entry.publisher.publish(&change).await.unwrap();
        assert_eq!((accepted.revision, accepted.stamp), (revision, change.stamp));
    }
    assert_eq!(standin.calls().lost, 10);
}

#[tokio::test]
async fn frozen_is_in_doubt() {
    let standin = standin(1).await;
    let entry = Entry::start(&standin.url());
    entry.publisher.publish(&put("alpenfunk", Base::Absent, 100)).await.unwrap();
    let frozen = PlatformFaults { freeze: true, ..PlatformFaults::default() };
    standin.set_faults(frozen).await.unwrap();
    let change = put("alpenfunk", Base::Revision(1), 200);
    let id = match entry.publisher.publish(&change).await {
        Err(ChangeError::InDoubt { change_id, revision: 2, .. }) => change_id,
        other => panic!("{other:?}"),
    };
    let look_up = entry.publisher.look_up("alpenfunk", id, Some(2)).await;
    assert!(matches!(look_up, Err(ChangeError::NotRun { .. })), "{look_up:?}");
    assert_eq!(entry.revision("alpenfunk"), 1, "not in force before it is known");
    standin.heal().await.unwrap();
    entry.until_revision("alpenfunk", 2).await;
    match entry.publisher.look_up("alpenfunk", id, Some(2)).await.unwrap() {
        ChangeState::Accepted(accepted) => assert_eq!(accepted.revision, 2),
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn hung_is_repeated() {
    let standin = standin(1).await;
    let entry = Entry::start(&standin.url());
    entry.publisher.publish(&put("alpenfunk", Base::Absent, 100)).await.unwrap();
    let hung = PlatformFaults { hang: true, ..PlatformFaults::default() };
    standin.set_faults(hung).await.unwrap();
    let change = put("alpenfunk", Base::Revision(1), 200);
    let ended = entry.publisher.publish(&change).await;
    assert!(matches!(ended, Err(ChangeError::InDoubt { .. })), "{ended:?}");
    standin.heal().await.unwrap();
    let id = change.stamp.change_id;
    let state = entry.publisher.look_up("alpenfunk", id, Some(2)).await.unwrap();
    assert_eq!(state, ChangeState::InDoubt);
    assert_eq!(entry.publisher.publish(&change).await.unwrap().revision, 2);
}

#[tokio::test]
async fn short_outage_bridged() {
    let standin = standin(1).await;
    let entry = Entry::start(&standin.url());
    entry.until_ready().await;
    standin.refuse().await.unwrap();
    let change = put("alpenfunk", Base::Absent, 100);
    let publish = entry.publisher.publish(&change);
    let heal = async {
        sleep(Duration::from_millis(u64::from(SETTLE_MS / 4))).await;
        standin.heal().await.unwrap();
    };
    let (accepted, ()) = tokio::join!(publish, heal);
    assert_eq!(accepted.unwrap().revision, 1);
}
