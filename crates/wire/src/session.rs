//! QUIC sessions with mutual authentication. Each stream carries one request and one reply.
//!
//! 0-RTT is disabled, because a replayed first packet could deliver a placement twice.

use {
    crate::{
        codec::{self, CodecError, MAX_MESSAGE_BYTES},
        keys::{KeyError, ProcessKeys, Role, proves_role},
    },
    ::ring::hmac,
    quinn::{
        ClientConfig, Connection, ConnectionError, Endpoint, EndpointConfig, IdleTimeout,
        RecvStream, SendStream, ServerConfig, TransportConfig, VarInt,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    quinn_proto::HashedConnectionIdGenerator,
    rustls::{crypto::ring, pki_types::CertificateDer, server::WebPkiClientVerifier},
    serde::{Serialize, de::DeserializeOwned},
    std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration},
};

const ALPN: &[u8] = b"sycamorerail/1";
/// Streams that a peer may have open at once, unless [`allow_streams`] sets another limit.
/// The QUIC library keeps about 90 bytes for each allowed stream, used or not.
const MAX_STREAMS: u32 = 64;
/// Concurrent streams that an agent allows an entry, for placements.
pub const PLACEMENT_STREAMS: u32 = 1_024;
/// Concurrent streams that an entry allows another entry, for forwarded calls.
pub const FORWARD_STREAMS: u32 = 4_096;

/// Key derivation context that separates the reset keys from other uses of the private key.
const RESET_CONTEXT: &str = "sycamorerail 2026-12 stateless reset";
/// Short enough that the sessions of more than a thousand agents are reset within seconds.
const MIN_RESET_INTERVAL: Duration = Duration::from_millis(1);

/// Application error code with which an agent closes its sessions after a planned stop that
/// interrupted no task.
pub const CLOSE_DRAINED: u32 = 1;

/// Timeouts of sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionTiming {
    /// Time without a packet after which a session counts as broken, in milliseconds.
    pub idle_timeout_ms: u32,
    /// Interval at which an idle session sends a packet, in milliseconds. These packets count
    /// as control traffic.
    pub keep_alive_ms: u32,
}

impl Default for SessionTiming {
    fn default() -> Self {
        Self { idle_timeout_ms: 30_000, keep_alive_ms: 15_000 }
    }
}

/// Failure of a session.
#[derive(Debug)]
pub enum SessionError {
    /// The endpoint could not be opened on the address.
    Open(SocketAddr, io::Error),
    /// The keys were rejected.
    Keys(KeyError),
    /// No connection could be made, so the request was not sent.
    Connect(SocketAddr, String),
    /// The peer's certificate does not prove the expected role.
    Role(SocketAddr),
    /// The connection ended before a reply; the request may have arrived.
    Broken(SocketAddr, String),
    /// No reply came in time; the request may have arrived.
    Timeout(SocketAddr),
    /// A message could not be encoded, or the peer's bytes could not be decoded.
    Codec(SocketAddr, CodecError),
}

impl SessionError {
    /// Whether the request certainly did not reach the peer.
    #[must_use]
    pub fn nothing_sent(&self) -> bool {
        matches!(self, Self::Open(..) | Self::Keys(_) | Self::Connect(..) | Self::Role(_))
    }
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Open(addr, err) => write!(f, "cannot open {addr}: {err}"),
            Self::Keys(err) => err.fmt(f),
            Self::Connect(peer, why) => write!(f, "cannot connect to {peer}: {why}"),
            Self::Role(peer) => {
                write!(f, "the certificate of {peer} does not prove the expected role")
            }
            Self::Broken(peer, why) => write!(f, "connection to {peer} broke: {why}"),
            Self::Timeout(peer) => write!(f, "no reply from {peer} in time"),
            Self::Codec(peer, err) => write!(f, "from {peer}: {err}"),
        }
    }
}

impl std::error::Error for SessionError {}

impl From<KeyError> for SessionError {
    fn from(err: KeyError) -> Self {
        Self::Keys(err)
    }
}

impl From<rustls::Error> for SessionError {
    fn from(err: rustls::Error) -> Self {
        Self::Keys(KeyError::Tls(err))
    }
}

/// Opens the process's UDP socket for sessions in both directions.
///
/// # Errors
///
/// When the address is in use or the keys are rejected.
pub fn open(
    listen: SocketAddr,
    keys: &ProcessKeys,
    timing: SessionTiming,
) -> Result<Endpoint, SessionError> {
    let transport = Arc::new(transport(timing));
    let mut server = server_config(keys)?;
    server.transport_config(Arc::clone(&transport));
    let mut client = client_config(keys)?;
    client.transport_config(transport);
    let socket =
        std::net::UdpSocket::bind(listen).map_err(|err| SessionError::Open(listen, err))?;
    let runtime = Arc::new(quinn::TokioRuntime);
    let bound = socket.local_addr().map_err(|err| SessionError::Open(listen, err))?;
    let mut endpoint = Endpoint::new(endpoint_config(bound, keys), Some(server), socket, runtime)
        .map_err(|err| SessionError::Open(listen, err))?;
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

/// Lets a restarted process end the sessions of its previous run at their next packet, by
/// stateless resets (RFC 9000, section 10.3). To this end the keys for resets and connection
/// ids are derived from the private key and the address.
fn endpoint_config(bound: SocketAddr, keys: &ProcessKeys) -> EndpointConfig {
    let mut hasher = blake3::Hasher::new_derive_key(RESET_CONTEXT);
    hasher.update(keys.key.secret_der());
    hasher.update(bound.to_string().as_bytes());
    let mut derived = hasher.finalize_xof();
    let (mut reset_key, mut id_key) = ([0; 64], [0; 8]);
    derived.fill(&mut reset_key);
    derived.fill(&mut id_key);
    let id_key = u64::from_le_bytes(id_key);
    let mut config = EndpointConfig::new(Arc::new(hmac::Key::new(hmac::HMAC_SHA256, &reset_key)));
    config.cid_generator(move || Box::new(HashedConnectionIdGenerator::from_key(id_key)));
    config.min_reset_interval(MIN_RESET_INTERVAL);
    config
}

fn transport(timing: SessionTiming) -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(timing.idle_timeout_ms))));
    transport.keep_alive_interval(Some(Duration::from_millis(timing.keep_alive_ms.into())));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    transport
}

fn server_config(keys: &ProcessKeys) -> Result<ServerConfig, SessionError> {
    let provider = Arc::new(ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(
        Arc::new(keys.roots.clone()),
        Arc::clone(&provider),
    )
    .build()
    .map_err(|err| rustls::Error::General(err.to_string()))?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(keys.chain.clone(), keys.key.clone_key())?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    tls.max_early_data_size = 0;
    let quic =
        QuicServerConfig::try_from(tls).map_err(|err| rustls::Error::General(err.to_string()))?;
    Ok(ServerConfig::with_crypto(Arc::new(quic)))
}

fn client_config(keys: &ProcessKeys) -> Result<ClientConfig, SessionError> {
    let mut tls = rustls::ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(keys.roots.clone())
        .with_client_auth_cert(keys.chain.clone(), keys.key.clone_key())?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    tls.enable_early_data = false;
    let quic =
        QuicClientConfig::try_from(tls).map_err(|err| rustls::Error::General(err.to_string()))?;
    Ok(ClientConfig::new(Arc::new(quic)))
}

/// Connects to an entry or agent, whose certificate must prove `role`.
///
/// # Errors
///
/// When the peer cannot be reached in time or does not prove the role.
pub async fn connect(
    endpoint: &Endpoint,
    peer: SocketAddr,
    role: Role,
    within: Duration,
) -> Result<Connection, SessionError> {
    let connecting = endpoint
        .connect(peer, role.server_name())
        .map_err(|err| SessionError::Connect(peer, err.to_string()))?;
    match tokio::time::timeout(within, connecting).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(err)) => Err(SessionError::Connect(peer, err.to_string())),
        Err(_) => Err(SessionError::Connect(peer, "timed out".to_owned())),
    }
}

/// Sets how many streams the peer may have open at once. Further ones wait.
pub fn allow_streams(connection: &Connection, count: u32) {
    connection.set_max_concurrent_bi_streams(VarInt::from_u32(count));
}

/// The role that the peer's certificate on an accepted connection proves, if any.
#[must_use]
pub fn peer_role(connection: &Connection) -> Option<Role> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    let certificate = chain.first()?;
    [Role::Entry, Role::Agent].into_iter().find(|&role| proves_role(certificate, role))
}

/// Whether the peer, an agent, closed the connection with [`CLOSE_DRAINED`]. If it did, a task
/// whose first placement went over this connection and got no reply has not been started
/// there and never will be.
#[must_use]
pub fn peer_drained(connection: &Connection) -> bool {
    let drained = VarInt::from_u32(CLOSE_DRAINED);
    matches!(
        connection.close_reason(),
        Some(ConnectionError::ApplicationClosed(close)) if close.error_code == drained
    )
}

/// Sends one request and reads its reply.
///
/// # Errors
///
/// When the connection ends, the time runs out, or the reply is malformed. Unless
/// [`SessionError::nothing_sent`] holds, the request may have arrived.
pub async fn call<Q: Serialize, R: DeserializeOwned>(
    connection: &Connection,
    request: &Q,
    within: Duration,
) -> Result<R, SessionError> {
    let peer = connection.remote_address();
    match tokio::time::timeout(within, exchange(connection, request)).await {
        Ok(reply) => reply,
        Err(_) => Err(SessionError::Timeout(peer)),
    }
}

async fn exchange<Q: Serialize, R: DeserializeOwned>(
    connection: &Connection,
    request: &Q,
) -> Result<R, SessionError> {
    let peer = connection.remote_address();
    let broken = |why: String| SessionError::Broken(peer, why);
    let bytes = codec::encode(request).map_err(|err| SessionError::Codec(peer, err))?;
    let (mut send, mut recv) = connection.open_bi().await.map_err(|err| broken(err.to_string()))?;
    send.write_all(&bytes).await.map_err(|err| broken(err.to_string()))?;
    send.finish().map_err(|err| broken(err.to_string()))?;
    let reply = recv.read_to_end(MAX_MESSAGE_BYTES).await.map_err(|err| broken(err.to_string()))?;
    codec::decode(&reply).map_err(|err| SessionError::Codec(peer, err))
}

/// Reads the request of an accepted stream.
///
/// # Errors
///
/// When the connection ends first, or the bytes are not a message.
pub async fn read_request<Q: DeserializeOwned>(
    peer: SocketAddr,
    recv: &mut RecvStream,
) -> Result<Q, SessionError> {
    let bytes = recv
        .read_to_end(MAX_MESSAGE_BYTES)
        .await
        .map_err(|err| SessionError::Broken(peer, err.to_string()))?;
    codec::decode(&bytes).map_err(|err| SessionError::Codec(peer, err))
}

/// Writes the reply of an accepted stream.
///
/// # Errors
///
/// When the connection has ended.
pub async fn write_reply<R: Serialize>(
    peer: SocketAddr,
    send: &mut SendStream,
    reply: &R,
) -> Result<(), SessionError> {
    let bytes = codec::encode(reply).map_err(|err| SessionError::Codec(peer, err))?;
    send.write_all(&bytes).await.map_err(|err| SessionError::Broken(peer, err.to_string()))?;
    send.finish().map_err(|err| SessionError::Broken(peer, err.to_string()))
}
