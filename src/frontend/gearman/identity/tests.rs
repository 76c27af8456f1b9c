//! Tests of `identity`.

use super::domain;

#[test]
fn only_valid_ids_are_ids() {
    assert_eq!(domain("spiffe://cedarline.example/desk/1"), Ok("cedarline.example"));
    assert_eq!(domain("spiffe://cedarline.example"), Ok("cedarline.example"));
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
        assert!(domain(bad).is_err(), "{bad}");
    }
    assert!(domain(&format!("spiffe://{}/a", "a".repeat(256))).is_err());
}
