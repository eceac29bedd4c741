//! Messages over TCP: each a length of four bytes and a postcard encoding.
//!
//! Used where nothing hands the processes keys, inside of a private network;
//! `docs/PLATFORM.md` has the comparison with QUIC.

use {
    crate::codec::{self, CodecError, MAX_MESSAGE_BYTES},
    bytes::{Bytes, BytesMut},
    serde::{Serialize, de::DeserializeOwned},
    std::{fmt, io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
    },
    tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec},
};

/// Bytes asked for at once from the socket.
const READ_BYTES: usize = 8 * 1024;

/// What went wrong on a connection.
#[derive(Debug)]
pub enum FrameError {
    /// It could not be made in time.
    Connect(SocketAddr, io::Error),
    /// It broke.
    Broken(SocketAddr, io::Error),
    /// The peer closed it.
    Closed(SocketAddr),
    /// The peer's bytes are no message.
    Codec(SocketAddr, CodecError),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(peer, err) => write!(f, "cannot connect to {peer}: {err}"),
            Self::Broken(peer, err) => write!(f, "connection to {peer} broke: {err}"),
            Self::Closed(peer) => write!(f, "{peer} closed the connection"),
            Self::Codec(peer, err) => write!(f, "from {peer}: {err}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Reads messages.
#[derive(Debug)]
pub struct FrameReader {
    peer: SocketAddr,
    half: OwnedReadHalf,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

/// Writes messages; those pushed together leave together.
#[derive(Debug)]
pub struct FrameWriter {
    peer: SocketAddr,
    half: OwnedWriteHalf,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

/// Connects to a peer.
///
/// # Errors
///
/// When no connection is made in time.
pub async fn connect(
    peer: SocketAddr,
    within: Duration,
) -> Result<(FrameReader, FrameWriter), FrameError> {
    let failed = |err| FrameError::Connect(peer, err);
    let connecting = tokio::time::timeout(within, TcpStream::connect(peer)).await;
    let stream = connecting.map_err(|_| failed(io::ErrorKind::TimedOut.into()))?;
    Ok(split(stream.map_err(failed)?, peer))
}

/// Prepares a connection for messages.
#[must_use]
pub fn split(stream: TcpStream, peer: SocketAddr) -> (FrameReader, FrameWriter) {
    // Without it small messages wait for the acknowledgement of those before;
    // a refusal only costs that time.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let reader = FrameReader { peer, half: read, codec: new_codec(), buffer: BytesMut::new() };
    let writer = FrameWriter { peer, half: write, codec: new_codec(), buffer: BytesMut::new() };
    (reader, writer)
}

fn new_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec()
}

impl FrameReader {
    /// Waits for the next message. Safe to drop and call again.
    ///
    /// # Errors
    ///
    /// When the connection ended or brought no message.
    pub async fn next<M: DeserializeOwned>(&mut self) -> Result<M, FrameError> {
        let broken = |peer, err| FrameError::Broken(peer, err);
        loop {
            let frame = self.codec.decode(&mut self.buffer);
            if let Some(frame) = frame.map_err(|err| broken(self.peer, err))? {
                return codec::decode(&frame).map_err(|err| FrameError::Codec(self.peer, err));
            }
            self.buffer.reserve(READ_BYTES);
            let read = self.half.read_buf(&mut self.buffer).await;
            if read.map_err(|err| broken(self.peer, err))? == 0 {
                return Err(FrameError::Closed(self.peer));
            }
        }
    }
}

impl FrameWriter {
    /// Adds a message to what [`Self::flush`] sends.
    ///
    /// # Errors
    ///
    /// When the message cannot be encoded or is too long.
    pub fn push<M: Serialize>(&mut self, message: &M) -> Result<(), FrameError> {
        let bytes = codec::encode(message).map_err(|err| FrameError::Codec(self.peer, err))?;
        let encoded = self.codec.encode(Bytes::from(bytes), &mut self.buffer);
        encoded.map_err(|err| FrameError::Broken(self.peer, err))
    }

    /// Sends what was pushed. Safe to drop and call again.
    ///
    /// # Errors
    ///
    /// When the connection broke.
    pub async fn flush(&mut self) -> Result<(), FrameError> {
        let written = self.half.write_all_buf(&mut self.buffer).await;
        written.map_err(|err| FrameError::Broken(self.peer, err))
    }
}
