//! Relays before the entries' inner addresses, so that links can be cut: all
//! datagrams to an entry go through its relay, and so do the answers.

use {
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, HashMap},
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
    },
    tokio::{net::UdpSocket, task::JoinSet},
};

/// Larger than any datagram of the loopback interface.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Which datagrams are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// All.
    Both,
    /// Those to the entry.
    ToEntry,
    /// Those from the entry.
    FromEntry,
}

impl Direction {
    fn loses(self, other: Self) -> bool {
        self == Self::Both || self == other
    }
}

/// One cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Cut {
    /// Inner address of the process cut off from the entry; `None` for all.
    from: Option<SocketAddr>,
    direction: Direction,
}

type Cuts = Arc<Mutex<Vec<Cut>>>;

/// Carries datagrams between one entry and all others.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    cuts: Cuts,
    _carrying: JoinSet<()>,
}

impl Relay {
    async fn start(entry: SocketAddr) -> io::Result<Self> {
        let outer = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let (address, cuts) = (outer.local_addr()?, Cuts::default());
        let mut carrying = JoinSet::new();
        carrying.spawn(carry(outer, entry, Arc::clone(&cuts)));
        Ok(Self { address, cuts, _carrying: carrying })
    }
}

/// Relays of all entries, and who is at which inner address.
#[derive(Debug)]
pub struct Links {
    relays: BTreeMap<String, Relay>,
    inner: BTreeMap<String, SocketAddr>,
}

impl Links {
    /// Starts a relay before each entry; `inner` are the inner addresses of
    /// entries and agents.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn start(
        entries: &[String],
        inner: BTreeMap<String, SocketAddr>,
    ) -> io::Result<Self> {
        let mut relays = BTreeMap::new();
        for (name, address) in inner.iter().filter(|(name, _)| entries.contains(name)) {
            relays.insert(name.clone(), Relay::start(*address).await?);
        }
        Ok(Self { relays, inner })
    }

    /// Where others reach an entry.
    #[must_use]
    pub fn address(&self, entry: &str) -> Option<SocketAddr> {
        self.relays.get(entry).map(|relay| relay.address)
    }

    /// Cuts an entry off from one other process, or from all, until healed.
    pub fn cut(&self, entry: &str, other: Option<&str>, direction: Direction) {
        let from = other.and_then(|other| self.inner.get(other).copied());
        if let Some(relay) = self.relays.get(entry) {
            relay.cuts.lock().push(Cut { from, direction });
        }
    }

    /// Heals all cuts of an entry's own relay.
    pub fn heal(&self, entry: &str) {
        if let Some(relay) = self.relays.get(entry) {
            relay.cuts.lock().clear();
        }
    }
}

/// Takes datagrams from others, one socket towards the entry for each of them.
async fn carry(outer: Arc<UdpSocket>, entry: SocketAddr, cuts: Cuts) {
    let mut sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut answering = JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error is of an earlier datagram whose receiver is gone.
        let Ok((length, from)) = outer.recv_from(&mut buffer).await else { continue };
        if is_lost(&cuts, from, Direction::ToEntry) {
            continue;
        }
        let socket = match sockets.get(&from) {
            Some(socket) => Arc::clone(socket),
            None => {
                let Ok(socket) = connected(entry).await else { continue };
                let socket = Arc::new(socket);
                let (outer, cuts) = (Arc::clone(&outer), Arc::clone(&cuts));
                answering.spawn(carry_back(Arc::clone(&socket), outer, from, cuts));
                sockets.insert(from, Arc::clone(&socket));
                socket
            }
        };
        let _ = socket.send(&buffer[..length]).await;
    }
}

async fn connected(entry: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    socket.connect(entry).await?;
    Ok(socket)
}

async fn carry_back(socket: Arc<UdpSocket>, outer: Arc<UdpSocket>, to: SocketAddr, cuts: Cuts) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(length) = socket.recv(&mut buffer).await else { continue };
        if !is_lost(&cuts, to, Direction::FromEntry) {
            let _ = outer.send_to(&buffer[..length], to).await;
        }
    }
}

fn is_lost(cuts: &Cuts, other: SocketAddr, direction: Direction) -> bool {
    let concerns = |cut: &Cut| cut.from.is_none_or(|from| from == other);
    cuts.lock().iter().any(|cut| concerns(cut) && cut.direction.loses(direction))
}
