//! What can be wrong with identities: with the operator's part on them, with the files, and with a peer's certificate.

use std::path::PathBuf;

use rustls::pki_types::pem;
use rustls::server::VerifierBuilderError;
use thiserror::Error;
use x509_parser::error::X509Error;
use x509_parser::nom;

/// What is wrong with the operator's part on identities.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IdentityFilesError {
    /// A field is missing.
    #[error("identity: no `{0}`")]
    NoField(&'static str),
    /// The trust domain is not valid.
    #[error("identity: no trust domain: {0}")]
    TrustDomain(String),
    /// A client's tenant is missing.
    #[error("identity {0}: no tenant")]
    NoTenant(String),
    /// The identity of a client or a worker is not valid.
    #[error("identity: no SPIFFE ID: {0}")]
    SpiffeId(String),
}

/// A text that is no valid SPIFFE ID.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no SPIFFE ID: {0}")]
pub struct InvalidSpiffeId(pub String);

/// Why a certificate is no X.509-SVID of a leaf.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SvidError {
    /// It does not read.
    #[error("certificate: {0}")]
    Parse(nom::Err<X509Error>),
    /// An extension does not read.
    #[error("certificate: {0}")]
    Extension(X509Error),
    /// It has so many URI SANs, and must have one.
    #[error("{0} URI SANs in place of one")]
    UriNames(usize),
    /// Its URI SAN is no valid SPIFFE ID.
    #[error(transparent)]
    SpiffeId(#[from] InvalidSpiffeId),
    /// Its SPIFFE ID has no path.
    #[error("{0} has no path")]
    NoPath(String),
    /// It is an authority's.
    #[error("{0} is a signing certificate's")]
    SigningCertificate(String),
    /// Its key usage is not a leaf's.
    #[error("{0}: the key usage is no leaf's")]
    KeyUsage(String),
}

/// Why the identity files cannot be used.
#[derive(Debug, Error)]
pub enum IdentityError {
    /// A file cannot be read, or is no PEM.
    #[error("{}: {cause}", path.display())]
    Pem {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: pem::Error,
    },
    /// A file has no certificate.
    #[error("{}: no certificate", .0.display())]
    NoCertificate(PathBuf),
    /// The certificate is no X.509-SVID.
    #[error("{}: {cause}", path.display())]
    Svid {
        /// Its file.
        path: PathBuf,
        /// Why.
        cause: SvidError,
    },
    /// The certificate's SPIFFE ID is not valid.
    #[error(transparent)]
    SpiffeId(#[from] InvalidSpiffeId),
    /// The certificate is of another trust domain than the operator's file names.
    #[error("{}: {id} is of another trust domain", path.display())]
    TrustDomain {
        /// Its file.
        path: PathBuf,
        /// Its SPIFFE ID.
        id: String,
    },
    /// The certificate with its key, or a root of the bundle, is not accepted by TLS.
    #[error("{}: {cause}", path.display())]
    Rejected {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: rustls::Error,
    },
    /// No verifier of peers can be made of the bundle.
    #[error("{}: {cause}", path.display())]
    Verifier {
        /// The bundle's file.
        path: PathBuf,
        /// Why.
        cause: VerifierBuilderError,
    },
    /// TLS cannot be set up.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
}

/// Why a peer has no role here.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum RoleError {
    /// It showed no certificate.
    #[error("no certificate")]
    NoCertificate,
    /// Its certificate is no X.509-SVID.
    #[error(transparent)]
    Svid(#[from] SvidError),
    /// Its SPIFFE ID is not valid.
    #[error(transparent)]
    SpiffeId(#[from] InvalidSpiffeId),
    /// It is of another trust domain.
    #[error("{0} is of another trust domain")]
    TrustDomain(String),
    /// The operator's file does not list it.
    #[error("{0} is neither a client nor a worker here")]
    NotListed(String),
}
