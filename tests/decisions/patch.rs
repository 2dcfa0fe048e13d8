//! Differences between configurations that hosts of a failure domain send each other.

use pistachiohall::follow::patch::Part;
use pistachiohall::follow::patch::Patch;
use pistachiohall::follow::share;
use pistachiohall::gossip;
use pistachiohall::log::keyed::Record;
use pistachiohall::standin::fleet;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;
use prost::Message;
use serde_json::Value;
use serde_json::json;

/// Client accounts in the plan that the system is designed for.
const ACCOUNTS: usize = 8400;
/// Hosts of one of 31 failure domains with 410 hosts.
const DOMAIN_HOSTS: usize = 14;
/// Changes of the configuration in a day.
const CHANGES_PER_DAY: f64 = 34_000.0;
/// Bytes per second that control may cost a host.
const MAX_CONTROL_BYTES_PER_S: f64 = 4000.0;

fn record(text: &[u8]) -> Record {
    Record {
        key: "config".into(),
        value: Some(text.to_vec()),
    }
}

/// Returns a configuration with 8,400 accounts, about 470 KB, and the key of one of them.
fn with_accounts(version: u64, key: &str) -> Value {
    let mut config = fleet::config(version);
    let accounts = (0..ACCOUNTS).map(|number| {
        let digits = (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        json!({"name": format!("account-{number}"), "api_keys": [format!("{digits:016x}")]})
    });
    config["tenants"] = accounts.collect();
    config["tenants"][ACCOUNTS / 2]["api_keys"] = json!([key]);
    config
}

fn encoded_len(patch: &Patch) -> usize {
    gossip::Patch::from(patch.clone()).encoded_len()
}

/// Guards against changes that a host which reads for its failure domain cannot send to the others: each
/// has to fit into a datagram, and all of a day into what control may cost.
#[test]
fn a_day_of_changes_fits_into_what_control_may_cost() {
    let (before, after) = (with_accounts(7, "old"), with_accounts(8, "new"));
    let (before, after) = (before.to_string(), after.to_string());
    let patch = Patch::between(before.as_bytes(), &record(after.as_bytes())).unwrap();
    assert_eq!(
        patch.apply(before.as_bytes()),
        Some(record(after.as_bytes()))
    );
    let bytes = encoded_len(&patch);
    assert!(bytes <= share::MAX_RECORD_BYTES);
    let sent_per_s = (bytes * DOMAIN_HOSTS) as f64 * CHANGES_PER_DAY / 86_400.0;
    assert!(sent_per_s < MAX_CONTROL_BYTES_PER_S, "{sent_per_s} B/s");
}

/// Guards against a configuration joined from two versions: a host that has another base must not use
/// a patch.
#[test]
fn a_patch_applies_to_its_own_base_alone() {
    let [before, other, after] = [7, 9, 8].map(|version| with_accounts(version, "k").to_string());
    let patch = Patch::between(before.as_bytes(), &record(after.as_bytes())).unwrap();
    assert_eq!(patch.apply(other.as_bytes()), None);
    assert_eq!(patch.apply(b""), None);
}

/// Guards against a datagram that ends a host or takes its memory.
#[test]
fn a_patch_that_names_bytes_outside_its_base_is_ignored() {
    let base = vec![b'a'; 1 << 20];
    let own = Patch::between(&base, &record(b"b")).unwrap();
    let outside = |from, length| Patch {
        parts: vec![Part::Copy { from, length }],
        ..own.clone()
    };
    assert_eq!(outside(1, 1 << 20).apply(&base), None);
    assert_eq!(outside(usize::MAX, 2).apply(&base), None);
    let repeated = Patch {
        parts: vec![outside(0, 1 << 20).parts[0].clone(); 100],
        ..own.clone()
    };
    assert_eq!(repeated.apply(&base), None);
}

fn text() -> impl Strategy<Value = Vec<u8>> {
    proptest::collection::vec(proptest::sample::select(b"ab{},".to_vec()), 0..60)
}

proptest! {
    #[test]
    fn a_patch_results_in_the_other_text(before in text(), after in text(), common in any::<bool>()) {
        let after = if common { [&before[..], &after].concat() } else { after };
        let patch = Patch::between(&before, &record(&after)).unwrap();
        let sent: Patch = gossip::Patch::decode(&*gossip::Patch::from(patch).encode_to_vec())
            .unwrap()
            .into();
        prop_assert_eq!(sent.apply(&before), Some(record(&after)));
    }
}
