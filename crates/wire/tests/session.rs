//! Sessions: both ends prove their role, one reply a request.

use {
    rand::Rng,
    std::{net::SocketAddr, time::Duration},
    sycamorerail_wire::{
        ids::Incarnation,
        keys::{PemPair, ProcessKeys, Role, generate_authority, issue_certificate},
        message::{EntryReply, EntryReplyBody, ToEntry},
        session::{self, SessionError, SessionTiming},
    },
    tokio::runtime::Runtime,
};

const WITHIN: Duration = Duration::from_secs(5);

fn endpoint(authority: &PemPair, role: Role) -> quinn::Endpoint {
    let own = issue_certificate(authority, role, "test").unwrap();
    open_at("127.0.0.1:0".parse().unwrap(), authority, &own)
}

fn open_at(address: SocketAddr, authority: &PemPair, own: &PemPair) -> quinn::Endpoint {
    let keys = ProcessKeys::read(&authority.certificate_pem, own).unwrap();
    session::open(address, &keys, SessionTiming::default()).unwrap()
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
        body: EntryReplyBody::Acknowledged,
    };
    session::write_reply(peer, &mut send, &reply).await.ok()?;
    connection.closed().await;
    role
}

#[tokio::test]
async fn reply_arrives() {
    let authority = generate_authority("test").unwrap();
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
    let authority = generate_authority("test").unwrap();
    let server = endpoint(&authority, Role::Agent);
    let address = server.local_addr().unwrap();
    let _serving = tokio::spawn(answer_one(server, Incarnation(1)));
    let client = endpoint(&authority, Role::Agent);
    let refused = session::connect(&client, address, Role::Entry, WITHIN).await.unwrap_err();
    assert!(refused.nothing_sent(), "{refused}");
}

#[tokio::test]
async fn other_cluster() {
    let server = endpoint(&generate_authority("ours").unwrap(), Role::Entry);
    let address = server.local_addr().unwrap();
    let serving = tokio::spawn(answer_one(server, Incarnation(1)));
    let client = endpoint(&generate_authority("theirs").unwrap(), Role::Agent);
    let refused = session::connect(&client, address, Role::Entry, WITHIN).await.unwrap_err();
    assert!(refused.nothing_sent(), "{refused}");
    assert_eq!(serving.await.unwrap(), None);
}

/// A server that accepts one connection and dies with its runtime, so that it
/// sends no word of its end.
fn dies_with_one_connection(authority: PemPair, own: PemPair) -> (SocketAddr, DeadOnDrop) {
    let runtime = Runtime::new().unwrap();
    let server = {
        let _inside = runtime.enter();
        open_at("127.0.0.1:0".parse().unwrap(), &authority, &own)
    };
    let address = server.local_addr().unwrap();
    runtime.spawn(async move {
        let connection = server.accept().await.unwrap().await.unwrap();
        connection.closed().await;
    });
    (address, DeadOnDrop(Some(runtime)))
}

struct DeadOnDrop(Option<Runtime>);

impl Drop for DeadOnDrop {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

#[tokio::test]
async fn restart_resets() {
    let authority = generate_authority("test").unwrap();
    let own = issue_certificate(&authority, Role::Entry, "test").unwrap();
    let (address, server) = dies_with_one_connection(authority.clone(), own.clone());
    let client = endpoint(&authority, Role::Agent);
    let connection = session::connect(&client, address, Role::Entry, WITHIN).await.unwrap();
    drop(server);

    let keys = ProcessKeys::read(&authority.certificate_pem, &own).unwrap();
    let next = loop {
        // Its socket is closed a moment later.
        match session::open(address, &keys, SessionTiming::default()) {
            Ok(next) => break next,
            Err(SessionError::Open(..)) => tokio::time::sleep(Duration::from_millis(5)).await,
            Err(err) => panic!("{err}"),
        }
    };
    let _accepting = tokio::spawn(async move { next.accept().await.is_some() });
    session::call::<_, EntryReply>(&connection, &ToEntry::Status, WITHIN).await.unwrap_err();
    let ended = connection.close_reason();
    assert_eq!(ended, Some(quinn::ConnectionError::Reset), "not by a timeout");
}
