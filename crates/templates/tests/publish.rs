//! One change after another at a calm platform.

mod site;

use {
    site::{Entry, change, put, standin, yaml},
    sycamorerail_templates::{Action, Base, ChangeError, ChangeState, Envelope, envelope},
};

async fn stored(entry: &Entry, organisation: &str) -> Envelope {
    let item = entry.platform.get(&envelope::key(organisation)).await.unwrap().unwrap();
    Envelope::decode(&item.value).unwrap()
}

#[tokio::test]
async fn create_and_replace() {
    let standin = standin(1).await;
    let (one, two) = (Entry::start(&standin.url()), Entry::start(&standin.url()));
    let created = one.publisher.publish(&put("alpenfunk", Base::Absent, 100)).await.unwrap();
    assert_eq!(created.revision, 1);
    assert_eq!(one.revision("alpenfunk"), 1, "in force where it was published");
    let replaced = two.publisher.publish(&put("alpenfunk", Base::Revision(1), 200)).await.unwrap();
    assert_eq!(replaced.revision, 2);
    assert!(replaced.mark > created.mark);
    one.until_revision("alpenfunk", 2).await;
    let set = one.in_force.load();
    let (revision, template) = set.templates().next().unwrap();
    assert_eq!((revision, template.kinds[0].deadline_ms), (2, 200));
    assert_eq!(set.mark, replaced.mark);
}

#[tokio::test]
async fn conflict_names_winner() {
    let standin = standin(1).await;
    let entry = Entry::start(&standin.url());
    let winner = put("alpenfunk", Base::Absent, 100);
    entry.publisher.publish(&winner).await.unwrap();
    for base in [Base::Absent, Base::Revision(7)] {
        match entry.publisher.publish(&put("alpenfunk", base, 200)).await {
            Err(ChangeError::Conflict(Some(found))) => {
                assert_eq!((found.revision, found.stamp), (1, winner.stamp.clone()));
            }
            other => panic!("{other:?}"),
        }
    }
    let absent = entry.publisher.publish(&put("rangmancha", Base::Revision(1), 200)).await;
    assert!(matches!(absent, Err(ChangeError::Conflict(None))), "{absent:?}");
}

#[tokio::test]
async fn same_change_again() {
    let standin = standin(1).await;
    let entry = Entry::start(&standin.url());
    let first = put("alpenfunk", Base::Absent, 100);
    let accepted = entry.publisher.publish(&first).await.unwrap();
    entry.publisher.publish(&put("alpenfunk", Base::Revision(1), 200)).await.unwrap();
    let again = entry.publisher.publish(&first).await.unwrap();
    assert_eq!(again.revision, accepted.revision);
    assert_eq!(stored(&entry, "alpenfunk").await.revision, 2);
}

#[tokio::test]
async fn delete_and_recreate() {
    let standin = standin(1).await;
    let entry = Entry::start(&standin.url());
    entry.publisher.publish(&put("alpenfunk", Base::Absent, 100)).await.unwrap();
    let delete = change("alpenfunk", Base::Revision(1), Action::Delete, "ops");
    assert_eq!(entry.publisher.publish(&delete).await.unwrap().revision, 2);
    assert_eq!(entry.in_force.load().templates().count(), 0);
    let delete = change("alpenfunk", Base::Revision(2), Action::Delete, "ops");
    let again = entry.publisher.publish(&delete).await;
    assert!(matches!(again, Err(ChangeError::NoOrganisation)), "{again:?}");
    let created = entry.publisher.publish(&put("alpenfunk", Base::Absent, 200)).await.unwrap();
    assert_eq!(created.revision, 3);
    assert_eq!(entry.revision("alpenfunk"), 3);
}

#[tokio::test]
async fn rollback_is_new() {
    let standin = standin(1).await;
    let entry = Entry::start(&standin.url());
    entry.publisher.publish(&put("alpenfunk", Base::Absent, 100)).await.unwrap();
    entry.publisher.publish(&put("alpenfunk", Base::Revision(1), 200)).await.unwrap();
    let missing = change("alpenfunk", Base::Revision(2), Action::Rollback(9), "ops");
    let missing = entry.publisher.publish(&missing).await;
    assert!(matches!(missing, Err(ChangeError::NoRevision(9))), "{missing:?}");
    let back = change("alpenfunk", Base::Revision(2), Action::Rollback(1), "ops");
    assert_eq!(entry.publisher.publish(&back).await.unwrap().revision, 3);
    let stored = stored(&entry, "alpenfunk").await;
    assert_eq!(stored.yaml, yaml("alpenfunk", 100));
    let history: Vec<_> = stored.history.iter().map(|past| past.revision).collect();
    assert_eq!(history, [2, 1]);
}

#[tokio::test]
async fn invalid_refused() {
    let standin = standin(1).await;
    let entry = Entry::start(&standin.url());
    let text = "organisation: other\nkinds:\n  - name: a\n    deadline_ms: 0\n    colour: red\n";
    let invalid = change("alpenfunk", Base::Absent, Action::Put(text.to_owned()), "ops");
    match entry.publisher.publish(&invalid).await {
        Err(ChangeError::Invalid(errors)) => {
            let paths: Vec<_> = errors.errors.iter().map(|error| error.path.as_str()).collect();
            assert_eq!(paths, ["kinds[0].deadline_ms", "kinds[0].colour"]);
        }
        other => panic!("{other:?}"),
    }
    let misnamed = change("alpenfunk", Base::Absent, Action::Put(yaml("other", 1)), "ops");
    let misnamed = entry.publisher.publish(&misnamed).await;
    assert!(matches!(misnamed, Err(ChangeError::Invalid(_))), "{misnamed:?}");
    assert_eq!(standin.calls().txn, 0);
}

#[tokio::test]
async fn look_up_by_id() {
    let standin = standin(1).await;
    let entry = Entry::start(&standin.url());
    let id = site::foreign_id();
    let state = entry.publisher.look_up("alpenfunk", id, Some(1)).await.unwrap();
    assert_eq!(state, ChangeState::InDoubt);
    let first = put("alpenfunk", Base::Absent, 100);
    let accepted = entry.publisher.publish(&first).await.unwrap();
    let own = first.stamp.change_id;
    let state = entry.publisher.look_up("alpenfunk", own, None).await.unwrap();
    assert_eq!(state, ChangeState::Accepted(accepted));
    for (revision, expected) in [
        (Some(1), ChangeState::NotRun),
        (Some(2), ChangeState::InDoubt),
        (None, ChangeState::Unknown),
    ] {
        let state = entry.publisher.look_up("alpenfunk", id, revision).await.unwrap();
        assert_eq!(state, expected);
    }
}
