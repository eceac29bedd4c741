//! A relay before a TCP address, so that connections can be delayed, held up in
//! one direction, slowed down together, silenced for good, or reset. Those of single
//! peers are told from others by their first bytes.

use {
    parking_lot::Mutex,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, Interest},
        net::{
            TcpListener, TcpStream,
            tcp::{ReadHalf, WriteHalf},
        },
        sync::watch,
        task::{JoinHandle, JoinSet},
        time::{Instant, sleep, sleep_until},
    },
};

const BUFFER_BYTES: usize = 16 * 1024;

/// What happens to bytes on their way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Passage {
    /// They pass at once.
    #[default]
    Open,
    /// They pass after so many milliseconds.
    Delayed(u64),
    /// Those to the target are held up until it opens again.
    HeldToTarget,
    /// Those from the target are held up until it opens again.
    HeldFromTarget,
    /// All are held up; new connections are taken and lead nowhere until then. That of a
    /// single peer is not carried on at all where the peer has given it up by then.
    Held,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    ToTarget,
    FromTarget,
}

impl Passage {
    fn holds(self, way: Way) -> bool {
        match self {
            Self::Open | Self::Delayed(_) => false,
            Self::HeldToTarget => way == Way::ToTarget,
            Self::HeldFromTarget => way == Way::FromTarget,
            Self::Held => true,
        }
    }
}

/// What happens to bytes of one connection.
#[derive(Clone, Copy, Debug)]
struct ConnectionPassage {
    all: Passage,
    peer: Option<Passage>,
}

impl ConnectionPassage {
    fn holds(self, way: Way) -> bool {
        self.all.holds(way) || self.peer.is_some_and(|passage| passage.holds(way))
    }

    fn delay_ms(self) -> Option<u64> {
        let delay = |passage| match passage {
            Passage::Delayed(ms) => Some(ms),
            _ => None,
        };
        delay(self.all).or_else(|| self.peer.and_then(delay))
    }

    fn is_held(self) -> bool {
        [Some(self.all), self.peer].contains(&Some(Passage::Held))
    }
}

/// What happens to bytes of all connections, and of those of single peers.
#[derive(Clone, Debug, Default)]
struct Passages {
    all: Passage,
    /// By bytes that a peer's first bytes contain, as its name.
    peers: Vec<(Vec<u8>, Passage)>,
}

impl Passages {
    fn of(&self, opening: &[u8]) -> ConnectionPassage {
        let is_of = |name: &[u8]| opening.windows(name.len()).any(|window| window == name);
        let peer = self.peers.iter().find(|(name, _)| is_of(name));
        ConnectionPassage { all: self.all, peer: peer.map(|(_, passage)| *passage) }
    }

    fn is_a_peer_held(&self) -> bool {
        self.peers.iter().any(|(_, passage)| *passage == Passage::Held)
    }
}

/// A link that all connections share, each way by itself.
#[derive(Debug, Default)]
struct SharedLink {
    /// Bytes that pass a second; none for as many as come.
    bytes_per_s: Option<u32>,
    /// When the bytes before have passed, to the target and from it.
    free_at: [Option<Instant>; 2],
}

impl SharedLink {
    /// Takes the next place of so many bytes; returns when they have passed.
    fn pass(&mut self, way: Way, bytes: usize) -> Option<Instant> {
        let bytes_per_s = f64::from(self.bytes_per_s?);
        let free_at = &mut self.free_at[way as usize];
        let now = Instant::now();
        let begins = free_at.map_or(now, |free_at| free_at.max(now));
        let ends = begins + Duration::from_secs_f64(bytes as f64 / bytes_per_s);
        *free_at = Some(ends);
        Some(ends)
    }
}

/// What becomes of connections that are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Carried,
    Silenced,
    Reset,
}

/// A relay; it ends with all its connections when dropped.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    passages: watch::Sender<Passages>,
    link: Arc<Mutex<SharedLink>>,
    open: Arc<Mutex<Vec<watch::Sender<Fate>>>>,
    accepting: JoinHandle<()>,
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl TcpRelay {
    /// Listens at an address and carries connections on to another.
    ///
    /// # Errors
    ///
    /// When the address is taken.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let passages = watch::Sender::new(Passages::default());
        let link = Arc::<Mutex<SharedLink>>::default();
        let open = Arc::<Mutex<Vec<_>>>::default();
        let carrier = Carrier { target, passages: passages.subscribe(), link: Arc::clone(&link) };
        let accepting = tokio::spawn(accept(listener, carrier, Arc::clone(&open)));
        Ok(Self { address, passages, link, open, accepting })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to bytes from now on.
    pub fn set(&self, passage: Passage) {
        self.passages.send_modify(|passages| passages.all = passage);
    }

    /// The same for connections of one peer: those whose first bytes contain its name.
    pub fn set_for(&self, peer: &str, passage: Passage) {
        self.set_for_each(&[peer], passage);
    }

    /// The same for several peers at one moment, whose names need not be texts.
    pub fn set_for_each(&self, peers: &[impl AsRef<[u8]>], passage: Passage) {
        self.passages.send_modify(|passages| {
            for peer in peers.iter().map(AsRef::as_ref) {
                passages.peers.retain(|(name, _)| name != peer);
                if passage != Passage::Open {
                    passages.peers.push((peer.to_vec(), passage));
                }
            }
        });
    }

    /// Lets so many bytes a second pass each way, of all connections together.
    pub fn limit(&self, bytes_per_s: u32) {
        self.link.lock().bytes_per_s = Some(bytes_per_s);
    }

    /// Resets all connections that are open.
    pub fn reset(&self) {
        self.decide(Fate::Reset);
    }

    /// Connections that are open carry nothing any more, without being closed.
    pub fn silence(&self) {
        self.decide(Fate::Silenced);
    }

    fn decide(&self, fate: Fate) {
        let mut open = self.open.lock();
        open.retain(|connection| connection.receiver_count() > 0);
        for connection in open.iter() {
            connection.send_replace(fate);
        }
    }
}

/// What each connection is carried by.
#[derive(Clone)]
struct Carrier {
    target: SocketAddr,
    passages: watch::Receiver<Passages>,
    link: Arc<Mutex<SharedLink>>,
}

async fn accept(
    listener: TcpListener,
    carrier: Carrier,
    open: Arc<Mutex<Vec<watch::Sender<Fate>>>>,
) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        // Out of descriptors for a moment; the caller's connection waits.
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let fate = watch::Sender::new(Fate::Carried);
        connections.spawn(carry(stream, carrier.clone(), fate.subscribe()));
        let mut open = open.lock();
        open.retain(|connection| connection.receiver_count() > 0);
        open.push(fate);
    }
}

async fn carry(mut near: TcpStream, carrier: Carrier, mut fate: watch::Receiver<Fate>) {
    let Carrier { target, mut passages, link } = carrier;
    let _ = near.set_nodelay(true);
    let connected = async {
        // The sender lives as long as the relay.
        let _ = passages.wait_for(|passages| passages.all != Passage::Held).await;
        until_carried_on(&near, &mut passages).await?;
        TcpStream::connect(target).await
    };
    let far = tokio::select! {
        far = connected => far,
        _ = fate.wait_for(|fate| *fate == Fate::Reset) => return reset(&near),
    };
    let Ok(mut far) = far else { return reset(&near) };
    let _ = far.set_nodelay(true);
    let opening = Arc::<OnceLock<Vec<u8>>>::default();
    let to = Pump {
        way: Way::ToTarget,
        passages: passages.clone(),
        link: Arc::clone(&link),
        fate: fate.clone(),
        opening: Arc::clone(&opening),
        passage: None,
    };
    let from =
        Pump { way: Way::FromTarget, passages, link, fate: fate.clone(), opening, passage: None };
    let was_reset = {
        let (near_reader, near_writer) = near.split();
        let (far_reader, far_writer) = far.split();
        let both_ways = async {
            tokio::join!(to.run(near_reader, far_writer), from.run(far_reader, near_writer))
        };
        tokio::select! {
            _ = both_ways => false,
            _ = fate.wait_for(|fate| *fate == Fate::Reset) => true,
        }
    };
    if was_reset {
        reset(&near);
        reset(&far);
    }
}

/// Waits until a new connection is not that of a held peer. While any peer is held, its
/// first bytes tell whose it is.
async fn until_carried_on(
    near: &TcpStream,
    passages: &mut watch::Receiver<Passages>,
) -> io::Result<()> {
    let mut opening = vec![0; BUFFER_BYTES];
    let length = tokio::select! {
        biased;
        _ = passages.wait_for(|passages| !passages.is_a_peer_held()) => return Ok(()),
        length = near.peek(&mut opening) => length?,
    };
    let opening = &opening[..length];
    if !passages.borrow().of(opening).is_held() {
        return Ok(());
    }
    let _ = passages.wait_for(|passages| !passages.of(opening).is_held()).await;
    if near.ready(Interest::READABLE).await?.is_read_closed() {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    Ok(())
}

fn reset(stream: &TcpStream) {
    // With a linger of zero the end is a reset.
    let _ = stream.set_zero_linger();
}

/// Carries bytes one way.
struct Pump {
    way: Way,
    passages: watch::Receiver<Passages>,
    link: Arc<Mutex<SharedLink>>,
    fate: watch::Receiver<Fate>,
    /// First bytes to the target.
    opening: Arc<OnceLock<Vec<u8>>>,
    /// What happens to bytes since the last change, once the first bytes are known.
    passage: Option<ConnectionPassage>,
}

impl Pump {
    async fn run(mut self, mut reader: ReadHalf<'_>, mut writer: WriteHalf<'_>) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = reader.read(&mut buffer).await;
            if self.way == Way::ToTarget {
                let length = read.as_ref().map_or(0, |length| *length);
                self.opening.get_or_init(|| buffer[..length].to_vec());
            }
            self.until_passable().await;
            let Ok(length) = read else { break };
            let passed_at = self.link.lock().pass(self.way, length);
            if let Some(passed_at) = passed_at {
                sleep_until(passed_at).await;
            }
            if length == 0 || writer.write_all(&buffer[..length]).await.is_err() {
                break;
            }
        }
        // The peer may be gone already.
        let _ = writer.shutdown().await;
    }

    async fn until_passable(&mut self) {
        let (way, silenced) = (self.way, *self.fate.borrow() == Fate::Silenced);
        if silenced {
            return std::future::pending().await;
        }
        if let Some(ms) = self.passage().delay_ms() {
            sleep(Duration::from_millis(ms)).await;
        }
        // The sender lives as long as the relay.
        while self.passage().holds(way) && self.passages.changed().await.is_ok() {
            self.passage = None;
        }
        if *self.fate.borrow() == Fate::Silenced {
            std::future::pending::<()>().await;
        }
    }

    fn passage(&mut self) -> ConnectionPassage {
        let has_changed = self.passages.has_changed().unwrap_or(true);
        if let Some(passage) = self.passage.filter(|_| !has_changed) {
            return passage;
        }
        let opening = self.opening.get();
        let passage = self.passages.borrow_and_update().of(opening.map_or(&[], Vec::as_slice));
        self.passage = opening.is_some().then_some(passage);
        passage
    }
}
