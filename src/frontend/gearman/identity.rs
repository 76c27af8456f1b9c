//! Identities: X.509-SVIDs of SPIFFE over mutual TLS, and what each identity may do.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::SystemTime;

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig, ServerConnection};
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

use crate::json::{JsonValue, field, text, texts};

/// Time between two looks at the files, in milliseconds.
const RELOAD_INTERVAL_MS: f64 = 1000.0;

/// The operator's part on identities.
#[derive(Clone, Debug)]
pub struct IdentityFiles {
    /// Own X.509-SVID with its chain, its key, and the trust bundle, all PEM.
    pub files: [PathBuf; 3],
    /// The trust domain.
    pub trust_domain: String,
    /// IDs of clients, each with its tenant.
    pub clients: Vec<(String, String)>,
    /// IDs of workers.
    pub workers: Vec<String>,
}

impl IdentityFiles {
    /// Reads the operator's part.
    ///
    /// # Errors
    /// Where a part is missing, or the trust domain or an identity is not valid.
    pub fn read(part: &JsonValue) -> Result<IdentityFiles, String> {
        let need = |name| text(part, name).ok_or_else(|| format!("identity: no `{name}`"));
        let trust_domain = need("trust_domain")?.to_string();
        if !is_trust_domain(&trust_domain) {
            return Err(format!("identity: no trust domain: {trust_domain}"));
        }
        let pairs = field(part, "clients").and_then(JsonValue::get);
        let pairs: Option<&std::collections::HashMap<String, JsonValue>> = pairs;
        let mut clients = Vec::new();
        for (id, tenant) in pairs.into_iter().flatten() {
            let tenant: Option<&String> = tenant.get();
            clients.push((id.clone(), tenant.ok_or_else(|| format!("identity {id}: no tenant"))?.clone()));
        }
        let workers = texts(part, "workers");
        if let Some(id) = clients.iter().map(|c| &c.0).chain(&workers).find(|id| domain(id).is_err()) {
            return Err(format!("identity: no SPIFFE ID: {id}"));
        }
        Ok(IdentityFiles {
            files: [need("certificate")?.into(), need("key")?.into(), need("bundle")?.into()],
            trust_domain,
            clients,
            workers,
        })
    }
}

/// What a peer may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Role {
    /// The tenant whose functions it may submit; none: any.
    tenant: Option<String>,
    client: bool,
    worker: bool,
}

impl Default for Role {
    /// Where identities are off, all peers may do all.
    fn default() -> Role {
        Role { tenant: None, client: true, worker: true }
    }
}

impl Role {
    /// Whether it may submit jobs of a function that carries a tenant's jobs.
    pub fn may_submit(&self, tenant: &str) -> bool {
        self.client && self.tenant.as_ref().is_none_or(|own| own == tenant)
    }

    /// Whether it may take jobs.
    pub fn may_work(&self) -> bool {
        self.worker
    }
}

type Stamp = Option<(SystemTime, u64)>;

/// Own identity, as last read.
pub struct Identity {
    files: IdentityFiles,
    config: Arc<ServerConfig>,
    stamps: [Stamp; 3],
    look: f64,
}

impl Identity {
    /// Reads the files.
    ///
    /// # Errors
    /// Where a file cannot be read, or the certificate is not of the trust domain or not a leaf's.
    pub fn load(files: IdentityFiles) -> Result<Identity, String> {
        let stamps = stamps(&files);
        let config = config(&files)?;
        Ok(Identity { files, config, stamps, look: 0.0 })
    }

    /// Reads the files again if they have changed. Files that do not read, as when only some of them are
    /// replaced yet, leave the old ones in force.
    pub fn reread(&mut self, now: f64) {
        if now < self.look {
            return;
        }
        self.look = now + RELOAD_INTERVAL_MS;
        let stamps = stamps(&self.files);
        if stamps == self.stamps {
            return;
        }
        self.stamps = stamps;
        match config(&self.files) {
            Ok(config) => {
                self.config = config;
                crate::say("the identity files were read again");
            }
            Err(e) => crate::say(format_args!("the old identity stays in force: {e}")),
        }
    }

    /// A new TLS session of the server's side.
    pub fn session(&self) -> Option<ServerConnection> {
        ServerConnection::new(Arc::clone(&self.config)).ok()
    }

    /// What the holder of a verified chain may do.
    ///
    /// # Errors
    /// Where the certificate is not a valid X.509-SVID of the trust domain, or its identity is not listed.
    pub fn role(&self, chain: &[CertificateDer<'_>]) -> Result<Role, String> {
        let id = spiffe_id(chain.first().ok_or("no certificate")?)?;
        if domain(&id)? != self.files.trust_domain {
            return Err(format!("{id} is of another trust domain"));
        }
        let tenant = self.files.clients.iter().find(|(client, _)| *client == id).map(|(_, t)| t.clone());
        let worker = self.files.workers.contains(&id);
        if tenant.is_none() && !worker {
            return Err(format!("{id} is neither a client nor a worker here"));
        }
        Ok(Role { client: tenant.is_some(), tenant, worker })
    }
}

fn stamps(files: &IdentityFiles) -> [Stamp; 3] {
    files.files.each_ref().map(|path| {
        let meta = std::fs::metadata(path).ok()?;
        Some((meta.modified().ok()?, meta.len()))
    })
}

fn config(files: &IdentityFiles) -> Result<Arc<ServerConfig>, String> {
    let [certificate, key, bundle] = &files.files;
    let read = |path: &PathBuf| {
        let certs = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
        match certs {
            Ok(certs) if !certs.is_empty() => Ok(certs),
            Ok(_) => Err(format!("{}: no certificate", path.display())),
            Err(e) => Err(format!("{}: {e}", path.display())),
        }
    };
    let chain = read(certificate)?;
    let own = spiffe_id(&chain[0]).map_err(|e| format!("{}: {e}", certificate.display()))?;
    if domain(&own)? != files.trust_domain {
        return Err(format!("{}: {own} is of another trust domain", certificate.display()));
    }
    let private = PrivateKeyDer::from_pem_file(key).map_err(|e| format!("{}: {e}", key.display()))?;
    let mut roots = RootCertStore::empty();
    for root in read(bundle)? {
        roots.add(root).map_err(|e| format!("{}: {e}", bundle.display()))?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), Arc::clone(&provider))
        .build()
        .map_err(|e| format!("{}: {e}", bundle.display()))?;
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| e.to_string())?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, private)
        .map_err(|e| format!("{}: {e}", certificate.display()))?;
    Ok(Arc::new(config))
}

/// The SPIFFE ID of an X.509-SVID: its one URI SAN. The certificate is a leaf's, which signs no others.
fn spiffe_id(certificate: &CertificateDer<'_>) -> Result<String, String> {
    let (_, parsed) = X509Certificate::from_der(certificate).map_err(|e| format!("certificate: {e}"))?;
    let names = parsed.subject_alternative_name().map_err(|e| format!("certificate: {e}"))?;
    let names = names.map(|names| names.value.general_names.as_slice()).unwrap_or_default();
    let uris: Vec<&str> = names
        .iter()
        .filter_map(|name| if let GeneralName::URI(uri) = name { Some(*uri) } else { None })
        .collect();
    let [uri] = uris[..] else { return Err(format!("{} URI SANs in place of one", uris.len())) };
    if domain(uri)?.len() + "spiffe://".len() == uri.len() {
        return Err(format!("{uri} has no path"));
    }
    if parsed.is_ca() {
        return Err(format!("{uri} is a signing certificate's"));
    }
    let usage = parsed.key_usage().map_err(|e| format!("certificate: {e}"))?;
    if usage.is_none_or(|u| !u.value.digital_signature() || u.value.key_cert_sign() || u.value.crl_sign()) {
        return Err(format!("{uri}: the key usage is no leaf's"));
    }
    Ok(uri.to_string())
}

fn is_trust_domain(name: &str) -> bool {
    let fits = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'-' | b'_');
    (1..=255).contains(&name.len()) && name.bytes().all(fits)
}

/// The trust domain of a valid SPIFFE ID.
fn domain(id: &str) -> Result<&str, String> {
    let bad = || format!("no SPIFFE ID: {id}");
    let rest = id.strip_prefix("spiffe://").filter(|_| id.len() <= 2048).ok_or_else(bad)?;
    let (domain, path) = rest.split_once('/').map_or((rest, None), |(domain, path)| (domain, Some(path)));
    let fits = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
    let segment = |s: &str| !s.is_empty() && s != "." && s != ".." && s.bytes().all(fits);
    let whole = is_trust_domain(domain) && path.is_none_or(|path| path.split('/').all(segment));
    if whole { Ok(domain) } else { Err(bad()) }
}

#[cfg(test)]
mod tests;
