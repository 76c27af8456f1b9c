//! Cost of matching a request against a policy of 200 rules, of which only the last applies.
#![allow(missing_docs, reason = "the macros of criterion make functions without any")]

use std::fmt::Write;
use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use micabeam::ingest::{Policy, RequestAttributes};
use micabeam::settings::Site;

fn match_last_rule(c: &mut Criterion) {
    let site = Site::parse(include_bytes!("../examples/settings.json")).expect("the example reads");
    let mut text = "version = 1\n[[partition]]\nname = \"p\"\n".to_string();
    for number in 0..199 {
        let _ = write!(
            text,
            "[[rule]]\nname = \"r{number}\"\nclasses = [\"site-hold\"]\nkey = {{ prefix = \"van-{number:03}\" }}\npartition = \"p\"\n"
        );
    }
    text += "[[rule]]\nname = \"all else\"\npartition = \"p\"\n";
    let policy = Policy::read(&text, &site).expect("it fits");
    let header = |_: &str| None;
    let event =
        RequestAttributes { class: 2, zone: 0, tenant: None, key: Some("van-999"), size: 3, header: &header };
    c.bench_function("the last of 200 rules", |b| b.iter(|| policy.rule(black_box(&event))));
}

criterion_group!(benches, match_last_rule);
criterion_main!(benches);
