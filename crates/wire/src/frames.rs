//! Messages over TCP: each is a length of four bytes followed by the postcard encoding.
//!
//! Used inside a private network where the processes are not provided with keys.
//! `docs/PLATFORM.md` compares this transport with QUIC.

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

/// Buffer space reserved for each read from the socket.
const READ_BYTES: usize = 8 * 1024;

/// Failure of a connection.
#[derive(Debug)]
pub enum FrameError {
    /// The connection could not be made in time.
    Connect(SocketAddr, io::Error),
    /// Reading from or writing to the connection failed.
    Broken(SocketAddr, io::Error),
    /// The peer closed the connection.
    Closed(SocketAddr),
    /// A message could not be encoded, or the peer's bytes could not be decoded.
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

/// Reads messages from a TCP connection.
#[derive(Debug)]
pub struct FrameReader {
    peer: SocketAddr,
    read_half: OwnedReadHalf,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

/// Writes messages to a TCP connection, all pushed since the last flush in one write.
#[derive(Debug)]
pub struct FrameWriter {
    peer: SocketAddr,
    write_half: OwnedWriteHalf,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

/// Connects to a peer.
///
/// # Errors
///
/// When the connection is refused, or not made in time.
pub async fn connect(
    peer: SocketAddr,
    within: Duration,
) -> Result<(FrameReader, FrameWriter), FrameError> {
    let failed = |err| FrameError::Connect(peer, err);
    let connecting = tokio::time::timeout(within, TcpStream::connect(peer)).await;
    let stream = connecting.map_err(|_| failed(io::ErrorKind::TimedOut.into()))?;
    Ok(split(stream.map_err(failed)?, peer))
}

/// Splits a TCP connection into a reader and a writer of messages.
#[must_use]
pub fn split(stream: TcpStream, peer: SocketAddr) -> (FrameReader, FrameWriter) {
    // Without TCP_NODELAY a small message waits until earlier ones are acknowledged. If setting
    // it fails, messages are only slower.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let reader =
        FrameReader { peer, read_half: read, codec: frame_codec(), buffer: BytesMut::new() };
    let writer =
        FrameWriter { peer, write_half: write, codec: frame_codec(), buffer: BytesMut::new() };
    (reader, writer)
}

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec()
}

impl FrameReader {
    /// Waits for the next message. Cancel safe: no bytes are lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// When the connection has ended, or its bytes are not a message.
    pub async fn next<M: DeserializeOwned>(&mut self) -> Result<M, FrameError> {
        let broken = |peer, err| FrameError::Broken(peer, err);
        loop {
            let frame = self.codec.decode(&mut self.buffer);
            if let Some(frame) = frame.map_err(|err| broken(self.peer, err))? {
                return codec::decode(&frame).map_err(|err| FrameError::Codec(self.peer, err));
            }
            self.buffer.reserve(READ_BYTES);
            let read = self.read_half.read_buf(&mut self.buffer).await;
            if read.map_err(|err| broken(self.peer, err))? == 0 {
                return Err(FrameError::Closed(self.peer));
            }
        }
    }
}

impl FrameWriter {
    /// Appends a message to the buffer that [`Self::flush`] sends.
    ///
    /// # Errors
    ///
    /// When the message cannot be encoded or is longer than [`MAX_MESSAGE_BYTES`].
    pub fn push<M: Serialize>(&mut self, message: &M) -> Result<(), FrameError> {
        let bytes = codec::encode(message).map_err(|err| FrameError::Codec(self.peer, err))?;
        let encoded = self.codec.encode(Bytes::from(bytes), &mut self.buffer);
        encoded.map_err(|err| FrameError::Broken(self.peer, err))
    }

    /// Sends the messages in the buffer. Cancel safe: the next call sends what is left.
    ///
    /// # Errors
    ///
    /// When writing to the connection fails.
    pub async fn flush(&mut self) -> Result<(), FrameError> {
        let written = self.write_half.write_all_buf(&mut self.buffer).await;
        written.map_err(|err| FrameError::Broken(self.peer, err))
    }
}
