//! Errors of identities: in the operator's file, in the identity files, and in a peer's certificate.

use std::path::PathBuf;

use rustls::pki_types::pem;
use rustls::server::VerifierBuilderError;
use thiserror::Error;
use x509_parser::error::X509Error;
use x509_parser::nom;

/// An error in the table `identity` of the operator's file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IdentityFilesError {
    /// A field is missing.
    #[error("identity: no `{0}`")]
    NoField(&'static str),
    /// The trust domain is not valid.
    #[error("identity: not a valid trust domain: {0}")]
    TrustDomain(String),
    /// The tenant of a client is missing.
    #[error("identity {0}: no tenant")]
    NoTenant(String),
    /// The SPIFFE ID of a client or a worker is not valid.
    #[error("identity: not a valid SPIFFE ID: {0}")]
    SpiffeId(String),
}

/// A text is not a valid SPIFFE ID.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a valid SPIFFE ID: {0}")]
pub struct InvalidSpiffeId(pub String);

/// The reason why a certificate is not a leaf X.509-SVID.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SvidError {
    /// The certificate cannot be parsed.
    #[error("certificate: {0}")]
    Parse(nom::Err<X509Error>),
    /// An extension of the certificate cannot be parsed.
    #[error("certificate: {0}")]
    Extension(X509Error),
    /// The certificate has this number of URI SANs instead of one.
    #[error("the certificate has {0} URI SANs, and must have exactly one")]
    UriNames(usize),
    /// The URI SAN is not a valid SPIFFE ID.
    #[error(transparent)]
    SpiffeId(#[from] InvalidSpiffeId),
    /// The SPIFFE ID has no path.
    #[error("the SPIFFE ID {0} has no path")]
    NoPath(String),
    /// The certificate is a CA certificate.
    #[error("{0}: the certificate is a signing certificate, not a leaf certificate")]
    SigningCertificate(String),
    /// The key usage is not that of a leaf certificate.
    #[error("{0}: the key usage is not that of a leaf certificate")]
    KeyUsage(String),
}

/// The reason why the identity files are unusable.
#[derive(Debug, Error)]
pub enum IdentityError {
    /// A file cannot be read or is not PEM.
    #[error("{}: {cause}", path.display())]
    Pem {
        /// The file.
        path: PathBuf,
        /// The underlying error.
        cause: pem::Error,
    },
    /// A file contains no certificate.
    #[error("{}: no certificate", .0.display())]
    NoCertificate(PathBuf),
    /// The certificate is not a valid X.509-SVID.
    #[error("{}: {cause}", path.display())]
    Svid {
        /// The certificate's file.
        path: PathBuf,
        /// The underlying error.
        cause: SvidError,
    },
    /// The SPIFFE ID of the certificate is not valid.
    #[error(transparent)]
    SpiffeId(#[from] InvalidSpiffeId),
    /// The certificate is of another trust domain than the one in the operator's file.
    #[error("{}: {id} is of another trust domain", path.display())]
    TrustDomain {
        /// The certificate's file.
        path: PathBuf,
        /// The certificate's SPIFFE ID.
        id: String,
    },
    /// TLS does not accept the certificate with its key, or a root of the bundle.
    #[error("{}: {cause}", path.display())]
    Rejected {
        /// The file.
        path: PathBuf,
        /// The underlying error.
        cause: rustls::Error,
    },
    /// The verifier of client certificates cannot be built from the bundle.
    #[error("{}: {cause}", path.display())]
    Verifier {
        /// The bundle's file.
        path: PathBuf,
        /// The underlying error.
        cause: VerifierBuilderError,
    },
    /// The TLS server cannot be set up.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
}

/// The reason why a peer has no role.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum RoleError {
    /// The peer sent no certificate.
    #[error("no certificate")]
    NoCertificate,
    /// The certificate is not a valid X.509-SVID.
    #[error(transparent)]
    Svid(#[from] SvidError),
    /// The SPIFFE ID of the certificate is not valid.
    #[error(transparent)]
    SpiffeId(#[from] InvalidSpiffeId),
    /// The certificate is of another trust domain.
    #[error("{0} is of another trust domain")]
    TrustDomain(String),
    /// The operator's file does not list the SPIFFE ID.
    #[error("{0} is not listed in `clients` or `workers`")]
    NotListed(String),
}
