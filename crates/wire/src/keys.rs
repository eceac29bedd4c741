//! Keys of the internal protocol: each cluster has a certificate authority and each process
//! a key and certificate.
//!
//! Both ends of a session prove their role with a certificate issued by the cluster's
//! authority, and accept no other certificates.

use {
    rcgen::{
        BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, KeyPair,
        KeyUsagePurpose,
    },
    rustls::{
        RootCertStore,
        pki_types::{CertificateDer, PrivateKeyDer, ServerName},
    },
    std::fmt,
};

/// Role of a process in the internal protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Process that accepts calls and is home to jobs.
    Entry,
    /// Process that runs beside an upstream and starts tasks on it.
    Agent,
}

impl Role {
    /// DNS name in the certificates of the role.
    #[must_use]
    pub fn server_name(self) -> &'static str {
        match self {
            Self::Entry => "entry.sycamorerail.internal",
            Self::Agent => "agent.sycamorerail.internal",
        }
    }
}

/// A certificate and its private key, as PEM text.
#[derive(Clone, PartialEq, Eq)]
pub struct PemPair {
    /// Certificate as PEM text.
    pub certificate_pem: String,
    /// Private key as PEM text.
    pub key_pem: String,
}

impl fmt::Debug for PemPair {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PemPair(..)")
    }
}

/// A key or certificate could not be created or read.
#[derive(Debug)]
pub enum KeyError {
    /// The PEM text of the named field does not hold an item of the expected type.
    Pem(&'static str),
    /// Creating or reading a certificate failed.
    Certificate(rcgen::Error),
    /// The TLS library rejected the keys.
    Tls(rustls::Error),
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pem(field) => write!(f, "{field}: no PEM of the expected type found"),
            Self::Certificate(err) => write!(f, "certificate: {err}"),
            Self::Tls(err) => write!(f, "TLS keys: {err}"),
        }
    }
}

impl std::error::Error for KeyError {}

impl From<rcgen::Error> for KeyError {
    fn from(err: rcgen::Error) -> Self {
        Self::Certificate(err)
    }
}

impl From<rustls::Error> for KeyError {
    fn from(err: rustls::Error) -> Self {
        Self::Tls(err)
    }
}

/// Creates the certificate authority of a new cluster.
///
/// # Errors
///
/// When the key or certificate cannot be created.
pub fn generate_authority(cluster: &str) -> Result<PemPair, KeyError> {
    let key = KeyPair::generate()?;
    let certificate = authority_params(cluster)?.self_signed(&key)?;
    Ok(PemPair { certificate_pem: certificate.pem(), key_pem: key.serialize_pem() })
}

/// Creates the key of a process and issues its certificate.
///
/// # Errors
///
/// When the authority's PEM text cannot be read, or the certificate cannot be created.
pub fn issue_certificate(
    authority: &PemPair,
    role: Role,
    process: &str,
) -> Result<PemPair, KeyError> {
    let authority_key = KeyPair::from_pem(&authority.key_pem)?;
    let issuer = rcgen::Issuer::from_ca_cert_pem(&authority.certificate_pem, authority_key)?;
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::new(vec![role.server_name().to_owned()])?;
    params.distinguished_name.push(DnType::CommonName, process);
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let certificate = params.signed_by(&key, &issuer)?;
    Ok(PemPair { certificate_pem: certificate.pem(), key_pem: key.serialize_pem() })
}

fn authority_params(cluster: &str) -> Result<CertificateParams, KeyError> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.distinguished_name.push(DnType::CommonName, cluster);
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}

/// Keys of one process, parsed for use in sessions.
pub struct ProcessKeys {
    pub(crate) roots: RootCertStore,
    pub(crate) chain: Vec<CertificateDer<'static>>,
    pub(crate) key: PrivateKeyDer<'static>,
}

impl ProcessKeys {
    /// Parses the authority's certificate and the process's own certificate and key.
    ///
    /// # Errors
    ///
    /// When a PEM text holds no item of the expected type.
    pub fn read(authority_pem: &str, own: &PemPair) -> Result<Self, KeyError> {
        let mut roots = RootCertStore::empty();
        for certificate in certificates(authority_pem, "authority certificate")? {
            roots.add(certificate)?;
        }
        let key = rustls_pemfile::private_key(&mut own.key_pem.as_bytes())
            .ok()
            .flatten()
            .ok_or(KeyError::Pem("private key"))?;
        Ok(Self { roots, chain: certificates(&own.certificate_pem, "certificate")?, key })
    }
}

fn certificates(pem: &str, field: &'static str) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let found: Result<Vec<_>, _> = rustls_pemfile::certs(&mut pem.as_bytes()).collect();
    match found {
        Ok(list) if !list.is_empty() => Ok(list),
        _ => Err(KeyError::Pem(field)),
    }
}

/// Whether a peer's certificate, already verified, proves the role.
#[must_use]
pub fn proves_role(certificate: &CertificateDer<'_>, role: Role) -> bool {
    let Ok(parsed) = webpki::EndEntityCert::try_from(certificate) else {
        return false;
    };
    let Ok(name) = ServerName::try_from(role.server_name()) else {
        return false;
    };
    parsed.verify_is_valid_for_subject_name(&name).is_ok()
}
