//! Stories of identities on Gearman's front: mutual TLS with X.509-SVIDs, all minted here.

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

/// An authority of a trust domain.
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

    /// A leaf with these URIs.
    fn mint(&self, uris: &[&str]) -> Leaf {
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

/// Takes any server: whom the program takes is what these stories are about.
#[derive(Debug)]
struct Anyone;

impl ServerCertVerifier for Anyone {
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

/// Connects over TLS, with a certificate or none.
fn connect(address: SocketAddr, leaf: Option<&Leaf>) -> Gear {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions().unwrap();
    let config = config.dangerous().with_custom_certificate_verifier(Arc::new(Anyone));
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

/// Whether the program takes a peer: it answers, and so is true, or ends the connection.
fn takes(address: SocketAddr, leaf: Option<&Leaf>) -> bool {
    let mut peer = connect(address, leaf);
    peer.send(kind::ECHO_REQ, &["taken?"]);
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

#[test]
fn a_job_goes_all_the_way_between_peers_that_proved_who_they_are() {
    let authority = Authority::new();
    let own = authority.mint(&["spiffe://cedarline.example/gateway"]);
    let (_program, address, _) = start(&own, &authority.1);
    let (desk, worker) = (authority.mint(&[DESK]), authority.mint(&[WORKER]));
    let mut worker = connect(address, Some(&worker));
    worker.can_do(&["confirm"]);
    let mut client = connect(address, Some(&desk));
    let large = "x".repeat(60_000);
    let handle = client.submit("confirm", "u1", &large);
    let (fetched, data) = worker.fetch().unwrap();
    assert!(fetched == handle && data == large);
    worker.send(kind::WORK_COMPLETE, &[&handle, &large]);
    assert_eq!(client.expect(kind::WORK_COMPLETE), [handle.as_str(), large.as_str()]);
    // Each does no more than it may: another tenant's function, a client's work, a worker's job.
    client.send(kind::SUBMIT_JOB, &["hold", "", ""]);
    assert_eq!(client.expect(kind::ERROR)[0], "forbidden");
    client.send(kind::CAN_DO, &["confirm"]);
    assert_eq!(client.expect(kind::ERROR)[0], "forbidden");
    worker.send(kind::SUBMIT_JOB, &["confirm", "", ""]);
    assert_eq!(worker.expect(kind::ERROR)[0], "forbidden");
}

#[test]
fn all_others_are_refused_before_any_job() {
    let (authority, stranger) = (Authority::new(), Authority::new());
    let own = authority.mint(&["spiffe://cedarline.example/gateway"]);
    let (_program, address, _) = start(&own, &authority.1);
    assert!(takes(address, Some(&authority.mint(&[DESK]))));
    for (what, leaf) in [
        ("another authority", stranger.mint(&[DESK])),
        ("an ID that is not allowed", authority.mint(&["spiffe://cedarline.example/other"])),
        ("another trust domain", authority.mint(&["spiffe://elsewhere.example/desk"])),
        ("two URIs", authority.mint(&[DESK, WORKER])),
        ("no URI", authority.mint(&[])),
        ("no SPIFFE ID", authority.mint(&["https://cedarline.example/desk"])),
    ] {
        assert!(!takes(address, Some(&leaf)), "{what} was taken");
    }
    assert!(!takes(address, None), "one without a certificate was taken");
    assert!(takes(address, Some(&authority.mint(&[DESK]))));
}

#[test]
fn files_that_change_are_read_again_and_bad_ones_are_not_put_in_force() {
    let (old, new) = (Authority::new(), Authority::new());
    let own = old.mint(&["spiffe://cedarline.example/gateway"]);
    let (mut program, address, [_, _, bundle]) = start(&own, &old.1);
    let (old_desk, new_desk) = (old.mint(&[DESK]), new.mint(&[DESK]));
    assert!(takes(address, Some(&old_desk)) && !takes(address, Some(&new_desk)));
    let until = |text: &str, path: &Path, leaf: &Leaf| {
        std::fs::write(path, text).unwrap();
        let end = Instant::now() + TEST_TIMEOUT;
        while !takes(address, Some(leaf)) {
            assert!(Instant::now() < end, "the files were not read again");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    until(&format!("{}{}", old.1, new.1), &bundle, &new_desk);
    until(&new.1, &bundle, &new_desk);
    std::fs::write(&bundle, "no certificate").unwrap();
    assert!(
        program
            .stderr
            .by_ref()
            .lines()
            .map(Result::unwrap)
            .any(|line| line.contains("the old identity stays in force"))
    );
    assert!(takes(address, Some(&new_desk)), "the last good files stay in force");
}

#[test]
fn an_identity_that_does_not_read_ends_the_program_at_start() {
    let authority = Authority::new();
    let own = authority.mint(&["spiffe://elsewhere.example/gateway"]);
    let [svid, key, bundle] =
        [&own.pem, &own.key.serialize_pem(), &authority.1].map(|pem| file("x.pem", pem));
    let text = format!(
        r#"{{"listen": "127.0.0.1:0", "settings": {}, "functions": {{"f": {{"class": "short-hold"}}}},
            "identity": {{"certificate": {svid:?}, "key": {key:?}, "bundle": {bundle:?},
            "trust_domain": "cedarline.example"}}}}"#,
        net::SETTINGS
    );
    let (well, said) = Program::start(None, Some(&text)).wait();
    assert!(!well && said.lines().count() == 1 && said.contains("another trust domain"), "{said}");
}
