//! Sessions: both ends prove their role, one reply a request.

use {
    rand::Rng,
    std::{net::SocketAddr, time::Duration},
    sycamorerail_wire::{
        ids::Incarnation,
        keys::{PemPair, ProcessKeys, Role, issue, make_authority},
        message::{EntryReply, EntryReplyBody, ToEntry},
        session::{self, SessionTiming},
    },
};

const WITHIN: Duration = Duration::from_secs(5);

fn endpoint(authority: &PemPair, role: Role) -> quinn::Endpoint {
    let own = issue(authority, role, "test").unwrap();
    let keys = ProcessKeys::read(&authority.certificate_pem, &own).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    session::open(any, &keys, SessionTiming::default()).unwrap()
}

async fn answer_one(server: quinn::Endpoint, incarnation: Incarnation) -> Option<Role> {
    let connection = server.accept().await?.await.ok()?;
    let peer = connection.remote_address();
    let role = session::peer_role(&connection);
    let (mut send, mut recv) = connection.accept_bi().await.ok()?;
    let request: ToEntry = session::read_request(peer, &mut recv).await.ok()?;
    assert_eq!(request, ToEntry::Status);
    let reply = EntryReply {
        entry: incarnation,
        config_mark: Default::default(),
        body: EntryReplyBody::Noted,
    };
    session::write_reply(peer, &mut send, &reply).await.ok()?;
    connection.closed().await;
    role
}

#[tokio::test]
async fn reply_arrives() {
    let authority = make_authority("test").unwrap();
    let server = endpoint(&authority, Role::Entry);
    let address = server.local_addr().unwrap();
    let incarnation = Incarnation(rand::rng().random());
    let serving = tokio::spawn(answer_one(server, incarnation));
    let client = endpoint(&authority, Role::Agent);
    let connection = session::connect(&client, address, Role::Entry, WITHIN).await.unwrap();
    let reply: EntryReply = session::call(&connection, &ToEntry::Status, WITHIN).await.unwrap();
    assert_eq!(reply.entry, incarnation);
    connection.close(0u32.into(), b"done");
    assert_eq!(serving.await.unwrap(), Some(Role::Agent));
}

#[tokio::test]
async fn wrong_role() {
    let authority = make_authority("test").unwrap();
    let server = endpoint(&authority, Role::Agent);
    let address = server.local_addr().unwrap();
    let _serving = tokio::spawn(answer_one(server, Incarnation(1)));
    let client = endpoint(&authority, Role::Agent);
    let refused = session::connect(&client, address, Role::Entry, WITHIN).await.unwrap_err();
    assert!(refused.nothing_sent(), "{refused}");
}

#[tokio::test]
async fn other_cluster() {
    let server = endpoint(&make_authority("ours").unwrap(), Role::Entry);
    let address = server.local_addr().unwrap();
    let serving = tokio::spawn(answer_one(server, Incarnation(1)));
    let client = endpoint(&make_authority("theirs").unwrap(), Role::Agent);
    let refused = session::connect(&client, address, Role::Entry, WITHIN).await.unwrap_err();
    assert!(refused.nothing_sent(), "{refused}");
    assert_eq!(serving.await.unwrap(), None);
}
