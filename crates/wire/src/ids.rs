//! Identities of processes, organisations, jobs and tasks.

use {
    base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD},
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        net::{IpAddr, Ipv6Addr, SocketAddr},
        str::FromStr,
    },
};

/// Maximum number of tasks in a job.
pub const MAX_JOB_TASKS: usize = 170;

const TAG_BYTES: usize = 16;
const TAGGED_BYTES: usize = 16 + 2 + 8 + 8 + 8 + 8;
const ID_BYTES: usize = TAGGED_BYTES + TAG_BYTES;

/// Identity of one run of a process: a random number chosen at start and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| IdError::Malformed)
    }
}

/// Hash of an organisation's name, for use in ids and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrganisationKey(pub u64);

impl OrganisationKey {
    /// Derives the key of the organisation called `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(leading_u64(blake3::hash(name.as_bytes()).as_bytes()))
    }
}

/// Hash of a submission's content, by which a second submission with the same id and another
/// body is recognised as a conflict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ContentHash(pub [u8; 16]);

impl ContentHash {
    /// Hashes the canonical bytes of a submission.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        let mut hash = [0; 16];
        hash.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
        Self(hash)
    }
}

/// Identity of a job. It names the home entry, the only process that may start its tasks.
///
/// A keyed tag prevents forgery and binds the id to one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId {
    /// Address at which other entries reach the home entry.
    pub home: SocketAddr,
    /// Incarnation of the home entry that minted the id.
    pub incarnation: Incarnation,
    /// Unix time of minting by the home entry's clock, in milliseconds.
    pub minted_unix_ms: u64,
    /// Number of the id within the home entry's incarnation.
    pub sequence: u64,
    /// Organisation that the id was minted for.
    pub organisation: OrganisationKey,
    tag: [u8; TAG_BYTES],
}

/// Key for the tags of ids, shared by all entries of a cluster.
#[derive(Clone)]
pub struct IdKey([u8; 32]);

impl fmt::Debug for IdKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("IdKey(..)")
    }
}

impl IdKey {
    /// Derives the key from the cluster's secret.
    #[must_use]
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key("sycamorerail 2026 job id tag", secret.as_bytes()))
    }
}

/// Why an id was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdError {
    /// The text is not the text form of an id.
    Malformed,
    /// The tag is wrong: the id is forged, altered or of another cluster.
    Forged,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "not an id: expected the text that reserving ids returned",
            Self::Forged => "not an id of this cluster: its tag is wrong",
        })
    }
}

impl std::error::Error for IdError {}

impl JobId {
    /// Creates an id and tags it with the cluster's key.
    #[must_use]
    pub fn mint(
        key: &IdKey,
        home: SocketAddr,
        incarnation: Incarnation,
        minted_unix_ms: u64,
        sequence: u64,
        organisation: OrganisationKey,
    ) -> Self {
        let mut id =
            Self { home, incarnation, minted_unix_ms, sequence, organisation, tag: [0; TAG_BYTES] };
        id.tag = id.expected_tag(key);
        id
    }

    /// Parses the text form of an id and checks its tag.
    ///
    /// # Errors
    ///
    /// When the text is not an id, or its tag was not made with `key`.
    pub fn parse(key: &IdKey, text: &str) -> Result<Self, IdError> {
        let id = Self::decode(text)?;
        id.verify(key)?;
        Ok(id)
    }

    /// Checks the tag of an id received from another process.
    ///
    /// # Errors
    ///
    /// When the tag was not made with `key`.
    pub fn verify(&self, key: &IdKey) -> Result<(), IdError> {
        let expected = blake3::Hash::from_bytes(zero_padded(self.expected_tag(key)));
        let found = blake3::Hash::from_bytes(zero_padded(self.tag));
        // `blake3::Hash` compares in constant time, so that timing does not reveal the tag.
        if expected == found { Ok(()) } else { Err(IdError::Forged) }
    }

    fn expected_tag(&self, key: &IdKey) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        let hash = blake3::keyed_hash(&key.0, &self.tagged_bytes());
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }

    /// The fields that the tag covers, in the order of the text form.
    fn tagged_bytes(&self) -> [u8; TAGGED_BYTES] {
        let address = match self.home.ip() {
            IpAddr::V4(v4) => v4.to_ipv6_mapped(),
            IpAddr::V6(v6) => v6,
        };
        let mut bytes = [0; TAGGED_BYTES];
        bytes[..16].copy_from_slice(&address.octets());
        bytes[16..18].copy_from_slice(&self.home.port().to_be_bytes());
        bytes[18..26].copy_from_slice(&self.incarnation.0.to_be_bytes());
        bytes[26..34].copy_from_slice(&self.minted_unix_ms.to_be_bytes());
        bytes[34..42].copy_from_slice(&self.sequence.to_be_bytes());
        bytes[42..50].copy_from_slice(&self.organisation.0.to_be_bytes());
        bytes
    }

    fn decode(text: &str) -> Result<Self, IdError> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| IdError::Malformed)?;
        let bytes: [u8; ID_BYTES] = bytes.try_into().map_err(|_| IdError::Malformed)?;
        let mut address = [0; 16];
        address.copy_from_slice(&bytes[..16]);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&bytes[TAGGED_BYTES..]);
        let ip = Ipv6Addr::from(address);
        let ip = ip.to_ipv4_mapped().map_or(IpAddr::V6(ip), IpAddr::V4);
        let port = u16::from_be_bytes([bytes[16], bytes[17]]);
        Ok(Self {
            home: SocketAddr::new(ip, port),
            incarnation: Incarnation(leading_u64(&bytes[18..])),
            minted_unix_ms: leading_u64(&bytes[26..]),
            sequence: leading_u64(&bytes[34..]),
            organisation: OrganisationKey(leading_u64(&bytes[42..])),
            tag,
        })
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut bytes = [0; ID_BYTES];
        bytes[..TAGGED_BYTES].copy_from_slice(&self.tagged_bytes());
        bytes[TAGGED_BYTES..].copy_from_slice(&self.tag);
        f.write_str(&URL_SAFE_NO_PAD.encode(bytes))
    }
}

/// Identity of one attempt at a task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// Job the task belongs to.
    pub job: JobId,
    /// Position of the task within the job, below [`MAX_JOB_TASKS`].
    pub index: u16,
    /// Number of the attempt, above 0 only for requests of a repeatable kind.
    pub attempt: u8,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.index, self.attempt)
    }
}

fn leading_u64(bytes: &[u8]) -> u64 {
    let mut leading = [0; 8];
    leading.copy_from_slice(&bytes[..8]);
    u64::from_be_bytes(leading)
}

fn zero_padded(tag: [u8; TAG_BYTES]) -> [u8; 32] {
    let mut padded = [0; 32];
    padded[..TAG_BYTES].copy_from_slice(&tag);
    padded
}
