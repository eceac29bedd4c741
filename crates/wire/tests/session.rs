//! Sessions: both ends must prove their role, a request gets one reply, and a restarted peer
//! resets old sessions.

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

const TIMEOUT: Duration = Duration::from_secs(5);

fn open_with_new_key(authority: &PemPair, role: Role) -> quinn::Endpoint {
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
async fn request_gets_reply() {
    let authority = generate_authority("test").unwrap();
    let server = open_with_new_key(&authority, Role::Entry);
    let address = server.local_addr().unwrap();
    let incarnation = Incarnation(rand::rng().random());
    let serving = tokio::spawn(answer_one(server, incarnation));
    let client = open_with_new_key(&authority, Role::Agent);
    let connection = session::connect(&client, address, Role::Entry, TIMEOUT).await.unwrap();
    let reply: EntryReply = session::call(&connection, &ToEntry::Status, TIMEOUT).await.unwrap();
    assert_eq!(reply.entry, incarnation);
    connection.close(0u32.into(), b"done");
    assert_eq!(serving.await.unwrap(), Some(Role::Agent));
}

#[tokio::test]
async fn wrong_role_is_refused() {
    let authority = generate_authority("test").unwrap();
    let server = open_with_new_key(&authority, Role::Agent);
    let address = server.local_addr().unwrap();
    let _serving = tokio::spawn(answer_one(server, Incarnation(1)));
    let client = open_with_new_key(&authority, Role::Agent);
    let refused = session::connect(&client, address, Role::Entry, TIMEOUT).await.unwrap_err();
    assert!(refused.nothing_sent(), "{refused}");
}

#[tokio::test]
async fn other_cluster_is_refused() {
    let server = open_with_new_key(&generate_authority("ours").unwrap(), Role::Entry);
    let address = server.local_addr().unwrap();
    let serving = tokio::spawn(answer_one(server, Incarnation(1)));
    let client = open_with_new_key(&generate_authority("theirs").unwrap(), Role::Agent);
    let refused = session::connect(&client, address, Role::Entry, TIMEOUT).await.unwrap_err();
    assert!(refused.nothing_sent(), "{refused}");
    assert_eq!(serving.await.unwrap(), None);
}

/// Starts a server that accepts one connection. Its runtime is shut down when the returned value
/// is dropped, so that the server does not close the connection.
fn start_killable_server(authority: PemPair, own: PemPair) -> (SocketAddr, KilledOnDrop) {
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
    (address, KilledOnDrop(Some(runtime)))
}

struct KilledOnDrop(Option<Runtime>);

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

#[tokio::test]
async fn restarted_server_resets_sessions() {
    let authority = generate_authority("test").unwrap();
    let own = issue_certificate(&authority, Role::Entry, "test").unwrap();
    let (address, server) = start_killable_server(authority.clone(), own.clone());
    let client = open_with_new_key(&authority, Role::Agent);
    let connection = session::connect(&client, address, Role::Entry, TIMEOUT).await.unwrap();
    drop(server);

    let keys = ProcessKeys::read(&authority.certificate_pem, &own).unwrap();
    let restarted = loop {
        // The old server's socket is closed shortly after its runtime is shut down.
        match session::open(address, &keys, SessionTiming::default()) {
            Ok(endpoint) => break endpoint,
            Err(SessionError::Open(..)) => tokio::time::sleep(Duration::from_millis(5)).await,
            Err(err) => panic!("{err}"),
        }
    };
    let _accepting = tokio::spawn(async move { restarted.accept().await.is_some() });
    session::call::<_, EntryReply>(&connection, &ToEntry::Status, TIMEOUT).await.unwrap_err();
    let ended = connection.close_reason();
    assert_eq!(
        ended,
        Some(quinn::ConnectionError::Reset),
        "the session must end by a reset, not by a timeout"
    );
}
