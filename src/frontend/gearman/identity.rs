//! Authentication with SPIFFE X.509-SVIDs over mutual TLS, and the roles of the identities.
//!
//! Owns the identity files, which it reloads when they change, and the roles of the identities that the
//! operator lists. The frontend owns the connections and packets, and must call `reload_if_changed` in each
//! tick.

mod errors;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::SystemTime;

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig, ServerConnection};
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

use crate::json::{JsonValue, field, text, texts};

pub use errors::{IdentityError, IdentityFilesError, InvalidSpiffeId, RoleError, SvidError};

/// Interval between two checks whether the files have changed, in milliseconds.
const RELOAD_INTERVAL_MS: f64 = 1000.0;

/// The table `identity` of the operator's file.
#[derive(Clone, Debug)]
pub struct IdentityFiles {
    /// PEM files of the program's X.509-SVID with its chain, of its private key, and of the trust bundle.
    pub files: [PathBuf; 3],
    /// Trust domain of the program and of all peers.
    pub trust_domain: String,
    /// SPIFFE IDs of clients, each with its tenant.
    pub clients: Vec<(String, String)>,
    /// SPIFFE IDs of workers.
    pub workers: Vec<String>,
}

impl IdentityFiles {
    /// Parses and validates the table.
    ///
    /// # Errors
    /// If a field is missing, or the trust domain or a SPIFFE ID is not valid.
    pub fn read(part: &JsonValue) -> Result<IdentityFiles, IdentityFilesError> {
        let required = |name| text(part, name).ok_or(IdentityFilesError::NoField(name));
        let trust_domain = required("trust_domain")?.to_string();
        if !is_trust_domain(&trust_domain) {
            return Err(IdentityFilesError::TrustDomain(trust_domain));
        }
        let pairs = field(part, "clients").and_then(JsonValue::get);
        let pairs: Option<&std::collections::HashMap<String, JsonValue>> = pairs;
        let mut clients = Vec::new();
        for (id, tenant) in pairs.into_iter().flatten() {
            let tenant: Option<&String> = tenant.get();
            let tenant = tenant.ok_or_else(|| IdentityFilesError::NoTenant(id.clone()))?;
            clients.push((id.clone(), tenant.clone()));
        }
        let workers = texts(part, "workers");
        if let Some(id) = clients.iter().map(|c| &c.0).chain(&workers).find(|id| trust_domain_of(id).is_err())
        {
            return Err(IdentityFilesError::SpiffeId(id.clone()));
        }
        Ok(IdentityFiles {
            files: [required("certificate")?.into(), required("key")?.into(), required("bundle")?.into()],
            trust_domain,
            clients,
            workers,
        })
    }
}

/// The permissions of a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Role {
    /// The tenant whose functions the peer may submit; with `None`, any function.
    tenant: Option<String>,
    client: bool,
    worker: bool,
}

impl Default for Role {
    /// Returns the role of all peers if identities are not configured: every permission.
    fn default() -> Role {
        Role { tenant: None, client: true, worker: true }
    }
}

impl Role {
    /// Whether the peer may submit jobs of a function that belongs to a tenant.
    pub fn may_submit(&self, tenant: &str) -> bool {
        self.client && self.tenant.as_ref().is_none_or(|own| own == tenant)
    }

    /// Whether the peer may act as a worker.
    pub fn may_work(&self) -> bool {
        self.worker
    }
}

/// Modification time and size of a file, by which changes are detected. `None` if the file cannot be read.
type Fingerprint = Option<(SystemTime, u64)>;

/// The program's identity, as last loaded successfully.
pub struct Identity {
    files: IdentityFiles,
    config: Arc<ServerConfig>,
    fingerprints: [Fingerprint; 3],
    /// Time of the next check for changed files, in milliseconds of the clock.
    next_check: f64,
}

impl Identity {
    /// Loads the identity files.
    ///
    /// # Errors
    /// If a file cannot be read, or the certificate is not of the trust domain or is not a leaf certificate.
    pub fn load(files: IdentityFiles) -> Result<Identity, IdentityError> {
        let fingerprints = fingerprints(&files);
        let config = load_tls_config(&files)?;
        Ok(Identity { files, config, fingerprints, next_check: 0.0 })
    }

    /// Reloads the files if they have changed. If they are not valid, for example because only some of them
    /// are replaced yet, the previous identity stays in force.
    pub fn reload_if_changed(&mut self, now: f64) {
        if now < self.next_check {
            return;
        }
        self.next_check = now + RELOAD_INTERVAL_MS;
        let fingerprints = fingerprints(&self.files);
        if fingerprints == self.fingerprints {
            return;
        }
        self.fingerprints = fingerprints;
        match load_tls_config(&self.files) {
            Ok(config) => {
                self.config = config;
                crate::say("the identity files were read again");
            }
            Err(e) => crate::say(format_args!("the old identity stays in force: {e}")),
        }
    }

    /// Returns a new server-side TLS session, or `None` if TLS cannot create one.
    pub fn new_tls_session(&self) -> Option<ServerConnection> {
        ServerConnection::new(Arc::clone(&self.config)).ok()
    }

    /// Returns the role of a peer with a verified certificate chain.
    ///
    /// # Errors
    /// If the certificate is not a valid X.509-SVID of the trust domain, or its identity is not listed.
    pub fn role(&self, chain: &[CertificateDer<'_>]) -> Result<Role, RoleError> {
        let id = spiffe_id(chain.first().ok_or(RoleError::NoCertificate)?)?;
        if trust_domain_of(&id)? != self.files.trust_domain {
            return Err(RoleError::TrustDomain(id));
        }
        let tenant = self.files.clients.iter().find(|(client, _)| *client == id).map(|(_, t)| t.clone());
        let worker = self.files.workers.contains(&id);
        if tenant.is_none() && !worker {
            return Err(RoleError::NotListed(id));
        }
        Ok(Role { client: tenant.is_some(), tenant, worker })
    }
}

fn fingerprints(files: &IdentityFiles) -> [Fingerprint; 3] {
    files.files.each_ref().map(|path| {
        let meta = std::fs::metadata(path).ok()?;
        Some((meta.modified().ok()?, meta.len()))
    })
}

/// Reads all certificates of a PEM file, which must have at least one.
fn read_certificates(path: &PathBuf) -> Result<Vec<CertificateDer<'static>>, IdentityError> {
    let certificates = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
    match certificates {
        Ok(certificates) if !certificates.is_empty() => Ok(certificates),
        Ok(_) => Err(IdentityError::NoCertificate(path.clone())),
        Err(cause) => Err(IdentityError::Pem { path: path.clone(), cause }),
    }
}

fn load_tls_config(files: &IdentityFiles) -> Result<Arc<ServerConfig>, IdentityError> {
    let [certificate, key, bundle] = &files.files;
    let rejected = |path: &PathBuf, cause| IdentityError::Rejected { path: path.clone(), cause };
    let chain = read_certificates(certificate)?;
    let id =
        spiffe_id(&chain[0]).map_err(|cause| IdentityError::Svid { path: certificate.clone(), cause })?;
    if trust_domain_of(&id)? != files.trust_domain {
        return Err(IdentityError::TrustDomain { path: certificate.clone(), id });
    }
    let private =
        PrivateKeyDer::from_pem_file(key).map_err(|cause| IdentityError::Pem { path: key.clone(), cause })?;
    let mut roots = RootCertStore::empty();
    for root in read_certificates(bundle)? {
        roots.add(root).map_err(|cause| rejected(bundle, cause))?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), Arc::clone(&provider))
        .build()
        .map_err(|cause| IdentityError::Verifier { path: bundle.clone(), cause })?;
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, private)
        .map_err(|cause| rejected(certificate, cause))?;
    Ok(Arc::new(config))
}

/// Returns the SPIFFE ID of an X.509-SVID, which is its only URI SAN. The certificate must be a leaf
/// certificate, which cannot sign others.
fn spiffe_id(certificate: &CertificateDer<'_>) -> Result<String, SvidError> {
    let (_, parsed) = X509Certificate::from_der(certificate).map_err(SvidError::Parse)?;
    let names = parsed.subject_alternative_name().map_err(SvidError::Extension)?;
    let names = names.map(|names| names.value.general_names.as_slice()).unwrap_or_default();
    let uris: Vec<&str> = names
        .iter()
        .filter_map(|name| if let GeneralName::URI(uri) = name { Some(*uri) } else { None })
        .collect();
    let [uri] = uris[..] else { return Err(SvidError::UriNames(uris.len())) };
    if trust_domain_of(uri)?.len() + "spiffe://".len() == uri.len() {
        return Err(SvidError::NoPath(uri.to_string()));
    }
    if parsed.is_ca() {
        return Err(SvidError::SigningCertificate(uri.to_string()));
    }
    let usage = parsed.key_usage().map_err(SvidError::Extension)?;
    if usage.is_none_or(|u| !u.value.digital_signature() || u.value.key_cert_sign() || u.value.crl_sign()) {
        return Err(SvidError::KeyUsage(uri.to_string()));
    }
    Ok(uri.to_string())
}

fn is_trust_domain(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'-' | b'_');
    (1..=255).contains(&name.len()) && name.bytes().all(allowed)
}

/// Returns the trust domain of a SPIFFE ID.
///
/// # Errors
/// If the SPIFFE ID is not valid.
fn trust_domain_of(id: &str) -> Result<&str, InvalidSpiffeId> {
    let bad = || InvalidSpiffeId(id.to_string());
    let rest = id.strip_prefix("spiffe://").filter(|_| id.len() <= 2048).ok_or_else(bad)?;
    let (domain, path) = rest.split_once('/').map_or((rest, None), |(domain, path)| (domain, Some(path)));
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
    let segment = |s: &str| !s.is_empty() && s != "." && s != ".." && s.bytes().all(allowed);
    let is_valid = is_trust_domain(domain) && path.is_none_or(|path| path.split('/').all(segment));
    if is_valid { Ok(domain) } else { Err(bad()) }
}

#[cfg(test)]
mod tests;
