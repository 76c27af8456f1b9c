//! Integration tests of mutual TLS with X.509-SVIDs at the Gearman frontend. All certificates are issued by the tests.

#[path = "common/gear.rs"]
mod gear;
#[path = "common/net.rs"]
mod net;

use std::io::{BufRead, Read};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gear::*;
use micabeam::frontend::gearman::packets::kind;
use net::{Program, TEST_TIMEOUT, file};
use rcgen::{
    BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair, KeyUsagePurpose,
    SanType,
};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName, UnixTime};
use rustls::{ClientConfig, ClientConnection, DigitallySignedStruct, SignatureScheme, StreamOwned};

const DESK: &str = "spiffe://cedarline.example/desk";
const WORKER: &str = "spiffe://cedarline.example/worker";

/// A certificate authority of a trust domain, with its certificate in PEM.
struct Authority(Issuer<'static, KeyPair>, String);

impl Authority {
    fn new() -> Authority {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let pem = params.self_signed(&key).unwrap().pem();
        Authority(Issuer::new(params, key), pem)
    }

    /// Issues a leaf certificate with these URIs.
    fn issue(&self, uris: &[&str]) -> Leaf {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::default();
        params.subject_alt_names = uris.iter().map(|uri| SanType::URI((*uri).try_into().unwrap())).collect();
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let certificate = params.signed_by(&key, &self.0).unwrap();
        Leaf { der: certificate.der().clone(), pem: certificate.pem(), key }
    }
}

struct Leaf {
    der: CertificateDer<'static>,
    pem: String,
    key: KeyPair,
}

/// Accepts every server certificate: the tests are about which clients the program accepts.
#[derive(Debug)]
struct AcceptAnyServer;

impl ServerCertVerifier for AcceptAnyServer {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Ok(HandshakeSignatureValid::assertion())
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verify_tls12_signature(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        vec![SignatureScheme::ECDSA_NISTP256_SHA256, SignatureScheme::ED25519]
    }
}

/// Connects over TLS, with a client certificate or without one.
fn connect(address: SocketAddr, leaf: Option<&Leaf>) -> Gear {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions().unwrap();
    let config = config.dangerous().with_custom_certificate_verifier(Arc::new(AcceptAnyServer));
    let config = match leaf {
        Some(leaf) => {
            let key = PrivateKeyDer::from(PrivatePkcs8KeyDer::from(leaf.key.serialize_der()));
            config.with_client_auth_cert(vec![leaf.der.clone()], key).unwrap()
        }
        None => config.with_no_client_auth(),
    };
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let name = ServerName::try_from("micabeam").unwrap();
    let tls = ClientConnection::new(Arc::new(config), name).unwrap();
    Gear(Box::new(StreamOwned::new(tls, stream)))
}

/// Returns whether the program accepts a peer: it answers a request instead of closing the connection.
fn accepts(address: SocketAddr, leaf: Option<&Leaf>) -> bool {
    let mut peer = connect(address, leaf);
    peer.send(kind::ECHO_REQ, &["accepted?"]);
    peer.read().is_some()
}

fn start(own: &Leaf, bundle: &str) -> (Program, SocketAddr, [std::path::PathBuf; 3]) {
    let paths =
        [file("svid.pem", &own.pem), file("key.pem", &own.key.serialize_pem()), file("bundle.pem", bundle)];
    let [svid, key, bundle] = paths.each_ref().map(|p: &std::path::PathBuf| p.display().to_string());
    let (program, address) = gearman(&format!(
        r#", "identity": {{"certificate": "{svid}", "key": "{key}", "bundle": "{bundle}",
            "trust_domain": "cedarline.example", "clients": {{"{DESK}": "fraser-parks"}},
            "workers": ["{WORKER}"]}}"#
    ));
    (program, address, paths)
}

/// Guards against a job that fails between authenticated peers, and against a peer that does more than its identity permits.
#[test]
fn authenticated_peers_can_run_a_job_and_only_what_their_identity_permits() {
    let authority = Authority::new();
    let own = authority.issue(&["spiffe://cedarline.example/gateway"]);
    let (_program, address, _) = start(&own, &authority.1);
    let (desk, worker) = (authority.issue(&[DESK]), authority.issue(&[WORKER]));
    let mut worker = connect(address, Some(&worker));
    worker.can_do(&["confirm"]);
    let mut client = connect(address, Some(&desk));
    let large = "x".repeat(60_000);
    let handle = client.submit("confirm", "u1", &large);
    let (fetched, data) = worker.fetch().unwrap();
    assert!(fetched == handle && data == large);
    worker.send(kind::WORK_COMPLETE, &[&handle, &large]);
    assert_eq!(client.expect(kind::WORK_COMPLETE), [handle.as_str(), large.as_str()]);
    // Forbidden: a function of another tenant, a client acting as a worker, and a worker submitting a job.
    client.send(kind::SUBMIT_JOB, &["hold", "", ""]);
    assert_eq!(client.expect(kind::ERROR)[0], "forbidden");
    client.send(kind::CAN_DO, &["confirm"]);
    assert_eq!(client.expect(kind::ERROR)[0], "forbidden");
    worker.send(kind::SUBMIT_JOB, &["confirm", "", ""]);
    assert_eq!(worker.expect(kind::ERROR)[0], "forbidden");
}

/// Guards against a peer that is accepted without a certificate, or with one that is not allowed.
#[test]
fn peers_without_an_allowed_certificate_are_refused() {
    let (authority, other_authority) = (Authority::new(), Authority::new());
    let own = authority.issue(&["spiffe://cedarline.example/gateway"]);
    let (_program, address, _) = start(&own, &authority.1);
    assert!(accepts(address, Some(&authority.issue(&[DESK]))));
    for (what, leaf) in [
        ("another authority", other_authority.issue(&[DESK])),
        ("an ID that is not allowed", authority.issue(&["spiffe://cedarline.example/other"])),
        ("another trust domain", authority.issue(&["spiffe://elsewhere.example/desk"])),
        ("two URIs", authority.issue(&[DESK, WORKER])),
        ("no URI", authority.issue(&[])),
        ("no SPIFFE ID", authority.issue(&["https://cedarline.example/desk"])),
    ] {
        assert!(!accepts(address, Some(&leaf)), "{what} was accepted");
    }
    assert!(!accepts(address, None), "a peer without a certificate was accepted");
    assert!(accepts(address, Some(&authority.issue(&[DESK]))));
}

/// Guards against changed certificate files that are not read again, and against invalid ones that replace the valid identity.
#[test]
fn changed_identity_files_are_reloaded_and_invalid_ones_ignored() {
    let (old_authority, new_authority) = (Authority::new(), Authority::new());
    let own = old_authority.issue(&["spiffe://cedarline.example/gateway"]);
    let (mut program, address, [_, _, bundle]) = start(&own, &old_authority.1);
    let (old_desk, new_desk) = (old_authority.issue(&[DESK]), new_authority.issue(&[DESK]));
    assert!(accepts(address, Some(&old_desk)) && !accepts(address, Some(&new_desk)));
    let write_until_accepted = |text: &str, path: &Path, leaf: &Leaf| {
        std::fs::write(path, text).unwrap();
        let end = Instant::now() + TEST_TIMEOUT;
        while !accepts(address, Some(leaf)) {
            assert!(Instant::now() < end, "the changed bundle was not reloaded");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    write_until_accepted(&format!("{}{}", old_authority.1, new_authority.1), &bundle, &new_desk);
    write_until_accepted(&new_authority.1, &bundle, &new_desk);
    std::fs::write(&bundle, "no certificate").unwrap();
    assert!(
        program
            .stderr
            .by_ref()
            .lines()
            .map(Result::unwrap)
            .any(|line| line.contains("the old identity stays in force"))
    );
    assert!(accepts(address, Some(&new_desk)), "the last valid files must stay in force");
}

/// Guards against a start with a certificate of another trust domain.
#[test]
fn certificate_of_another_trust_domain_prevents_the_start() {
    let authority = Authority::new();
    let own = authority.issue(&["spiffe://elsewhere.example/gateway"]);
    let [svid, key, bundle] =
        [&own.pem, &own.key.serialize_pem(), &authority.1].map(|pem| file("x.pem", pem));
    let text = format!(
        r#"{{"listen": "127.0.0.1:0", "settings": {}, "functions": {{"f": {{"class": "short-hold"}}}},
            "identity": {{"certificate": {svid:?}, "key": {key:?}, "bundle": {bundle:?},
            "trust_domain": "cedarline.example"}}}}"#,
        net::SETTINGS
    );
    let (succeeded, log) = Program::start(None, Some(&text)).wait();
    assert!(!succeeded && log.lines().count() == 1 && log.contains("another trust domain"), "{log}");
}
