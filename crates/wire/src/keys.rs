//! Keys of the inner protocol: one authority a cluster, one key a process.
//!
//! Both ends of a session prove their role by a certificate which the
//! cluster's authority issued; no verifier accepts anything else.

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

/// What a process may do on the inner protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Home of jobs.
    Entry,
    /// Beside an upstream.
    Agent,
}

impl Role {
    /// The name in the role's certificates.
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
    /// Certificate.
    pub certificate_pem: String,
    /// Private key.
    pub key_pem: String,
}

impl fmt::Debug for PemPair {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PemPair(..)")
    }
}

/// A key could not be made or read.
#[derive(Debug)]
pub enum KeyError {
    /// The PEM text of this field is not what it should be.
    Pem(&'static str),
    /// Making or reading a certificate failed.
    Certificate(rcgen::Error),
    /// The TLS library refused the keys.
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

/// Makes the authority of a new cluster.
///
/// # Errors
///
/// When the library cannot make a key.
pub fn generate_authority(cluster: &str) -> Result<PemPair, KeyError> {
    let key = KeyPair::generate()?;
    let certificate = authority_params(cluster)?.self_signed(&key)?;
    Ok(PemPair { certificate_pem: certificate.pem(), key_pem: key.serialize_pem() })
}

/// Issues the certificate of one process.
///
/// # Errors
///
/// When the authority's PEM cannot be read or the library refuses.
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

/// Keys of one process, ready for sessions.
pub struct ProcessKeys {
    pub(crate) roots: RootCertStore,
    pub(crate) chain: Vec<CertificateDer<'static>>,
    pub(crate) key: PrivateKeyDer<'static>,
}

impl ProcessKeys {
    /// Reads the authority's certificate and the process's own pair.
    ///
    /// # Errors
    ///
    /// When a PEM text holds nothing of the expected type.
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

/// Tells whether a peer's verified certificate proves the role.
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
