//! Tests for `identity`.

use super::trust_domain_of;

#[test]
fn invalid_spiffe_ids_are_rejected() {
    assert_eq!(trust_domain_of("spiffe://cedarline.example/desk/1"), Ok("cedarline.example"));
    assert_eq!(trust_domain_of("spiffe://cedarline.example"), Ok("cedarline.example"));
    for bad in [
        "spiffe://",
        "spiffe:///desk",
        "https://cedarline.example/desk",
        "SPIFFE://cedarline.example/desk",
        "spiffe://Cedarline.example/desk",
        "spiffe://cedarline.example/",
        "spiffe://cedarline.example/desk/",
        "spiffe://cedarline.example//desk",
        "spiffe://cedarline.example/../desk",
        "spiffe://cedarline.example/desk?x=1",
        "spiffe://cedarline.example/desk#x",
        "spiffe://cedarline.example:80/desk",
        "spiffe://user@cedarline.example/desk",
        "spiffe://cedarline.example/d%65sk",
    ] {
        assert!(trust_domain_of(bad).is_err(), "{bad}");
    }
    assert!(trust_domain_of(&format!("spiffe://{}/a", "a".repeat(256))).is_err());
}
