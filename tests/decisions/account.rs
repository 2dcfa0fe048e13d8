//! Keys of client accounts: who is served, refused or rejected, by how recent the configuration is.

use std::sync::Arc;
use std::time::Duration;

use pistachiohall::catalog::Account;
use pistachiohall::catalog::Catalog;
use pistachiohall::catalog::KeyDigest;
use pistachiohall::catalog::Route;
use pistachiohall::gateway::account;
use pistachiohall::gateway::account::Freshness;
use pistachiohall::gateway::account::MAX_RECENT_AGE;
use pistachiohall::gateway::account::Refusal;
use pistachiohall::gateway::heaviest::Heaviest;
use pistachiohall::gateway::keys;
use pistachiohall::gossip::ConfigProof;
use pistachiohall::gossip::DatagramId;
use pistachiohall::placement::Plan;
use pistachiohall::placement::URGENCY_LATE;
use pistachiohall::platform::config;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// Maximum time after a key was taken away for which requests with it may still run.
const MAX_REVOCATION: Duration = Duration::from_secs(5);

fn document(accounts: Value) -> Value {
    let route = |prefix: &str, is_public: bool| {
        json!({
            "host": "a.example", "path_prefix": prefix, "type": "safe", "service": "desk",
            "timeout_ms": 1000, "target_latency_ms": 150, "priority": 4, "public": is_public,
        })
    };
    json!({
        "version": 7, "services": [{"name": "desk"}],
        "routes": [route("/x/", false), route("/open/", true)], "tenants": accounts,
    })
}

fn decode(accounts: Value) -> Catalog {
    config::decode(document(accounts).to_string().as_bytes()).unwrap()
}

fn catalog() -> Catalog {
    decode(json!([
        {"name": "desk", "api_keys": ["k1", "k2"], "priority": 1},
        {"name": "stall", "api_keys": ["k3"]},
    ]))
}

fn route(catalog: &Catalog, path: &str) -> Arc<Route> {
    Arc::clone(catalog.route("a.example", path).unwrap())
}

fn aged(age: Duration) -> Freshness {
    Freshness {
        age: Some(age),
        max_revocation: Some(MAX_REVOCATION),
    }
}

fn unproved() -> Freshness {
    Freshness {
        age: None,
        max_revocation: Some(MAX_REVOCATION),
    }
}

fn identify(path: &str, key: Option<&str>, freshness: Freshness) -> Result<String, Refusal> {
    let catalog = catalog();
    let key = key.map(KeyDigest::of);
    let route = route(&catalog, path);
    let account = account::identify(&catalog, &route, key.as_ref(), freshness)?;
    Ok(account.map_or_else(String::new, |account| account.name.to_string()))
}

/// Guards against a caller of whom a host with an old configuration says that its key is wrong, and
/// against service by a key that may have been taken away.
#[rstest]
#[case::held(Some("k1"), aged(Duration::ZERO), Ok("desk"))]
#[case::held_and_old(Some("k1"), aged(MAX_RECENT_AGE * 2), Ok("desk"))]
#[case::held_and_too_old(Some("k1"), aged(MAX_REVOCATION), Err(Refusal::Unproved))]
#[case::held_and_never_proved(Some("k1"), unproved(), Err(Refusal::Unproved))]
#[case::unknown(Some("k9"), aged(MAX_RECENT_AGE), Err(Refusal::UnknownKey))]
#[case::unknown_and_old(Some("k9"), aged(MAX_RECENT_AGE * 2), Err(Refusal::Unproved))]
#[case::unknown_and_never_proved(Some("k9"), unproved(), Err(Refusal::Unproved))]
#[case::missing(None, aged(Duration::ZERO), Err(Refusal::NoKey))]
#[case::missing_and_old(None, aged(MAX_RECENT_AGE * 2), Err(Refusal::Unproved))]
fn a_key_is_judged_by_a_configuration_that_is_recent_enough(
    #[case] key: Option<&str>,
    #[case] freshness: Freshness,
    #[case] expected: Result<&str, Refusal>,
) {
    assert_eq!(
        identify("/x/1", key, freshness),
        expected.map(str::to_owned)
    );
}

/// Guards against public routes that go away with the store.
#[rstest]
#[case::with_a_key(Some("k1"), "desk")]
#[case::with_an_unknown_key(Some("k9"), "")]
#[case::without_a_key(None, "")]
fn a_public_route_is_served_however_old_the_configuration_is(
    #[case] key: Option<&str>,
    #[case] account: &str,
) {
    assert_eq!(identify("/open/1", key, unproved()), Ok(account.into()));
}

/// Guards against hosts that refuse callers where the operator wants no bound.
#[test]
fn without_a_bound_keys_are_served_on_what_is_known() {
    let freshness = Freshness::default();
    assert_eq!(identify("/x/1", Some("k1"), freshness), Ok("desk".into()));
    let unknown = identify("/x/1", Some("k9"), freshness);
    assert_eq!(unknown, Err(Refusal::Unproved));
}

/// Guards against a request that is sent after its key was taken away, while it waited or was sent
/// elsewhere.
#[rstest]
#[case::still_held(json!([{"name": "desk", "api_keys": ["k1"]}]), Duration::ZERO, Ok(()))]
#[case::taken_away(json!([{"name": "desk", "api_keys": ["k2"]}]), Duration::ZERO, Err(Refusal::Withdrawn))]
#[case::moved(json!([{"name": "stall", "api_keys": ["k1"]}]), Duration::ZERO, Err(Refusal::Withdrawn))]
#[case::no_accounts_left(Value::Null, Duration::ZERO, Err(Refusal::Withdrawn))]
#[case::too_old(json!([{"name": "desk", "api_keys": ["k1"]}]), MAX_REVOCATION, Err(Refusal::Unproved))]
fn a_key_is_checked_again_by_the_newest_configuration(
    #[case] accounts: Value,
    #[case] age: Duration,
    #[case] expected: Result<(), Refusal>,
) {
    let newest = decode(accounts);
    let desk = Account {
        name: "desk".into(),
        priority: None,
    };
    let key = KeyDigest::of("k1");
    let check = |path: &str| {
        let route = route(&newest, path);
        account::recheck(&newest, &route, Some(&desk), Some(&key), aged(age))
    };
    assert_eq!(check("/x/1"), expected);
    assert_eq!(check("/open/1"), Ok(()));
}

/// The bound counts from the acknowledgement to the run, so a request that is sent at the last moment
/// has to arrive within it.
#[test]
fn requests_under_way_arrive_within_the_bound() {
    let transit = Duration::from_millis(400);
    let mut last_sent = Duration::ZERO;
    while aged(last_sent).permits_keys() {
        last_sent += Duration::from_millis(1);
    }
    assert!(last_sent + transit < MAX_REVOCATION);
    let shortest = Freshness {
        age: Some(Duration::ZERO),
        max_revocation: Some(Duration::from_millis(300)),
    };
    assert!(shortest.permits_keys());
}

/// Guards against a peer that counts the age of a proof from a time at which it may have been older:
/// a host that stood still between the receipt of a datagram and its own.
#[test]
fn a_proof_names_the_datagrams_that_were_received_before_its_age_was_determined() {
    let id = DatagramId {
        incarnation: 1,
        sequence: 7,
    };
    let age = |ms| Some(Some(Duration::from_millis(ms)));
    let proof = keys::config_proof(vec![id], || age(1200)).unwrap();
    assert_eq!(proof.received, [id]);
    // It is rounded up.
    let sent_at = Duration::from_secs(10);
    assert!(proof.proved_at(sent_at).unwrap() < sent_at - Duration::from_millis(1200));
    let old = keys::config_proof(vec![id], || age(9000)).unwrap();
    assert!(old.received.is_empty());
    let never = keys::config_proof(vec![id], || Some(None)).unwrap();
    assert_eq!(never.proved_at(sent_at), None);
    assert_eq!(keys::config_proof(vec![id], || None), None);
}

/// A proof that goes from host to host gets older on the way, never younger.
#[test]
fn a_proof_that_is_passed_on_gets_no_younger() {
    let first = Duration::from_secs(100);
    let mut proved_at = first;
    for hop in 1..=5 {
        // Each host determines the age 300 ms after the next one has sent what it names.
        let sent_at = first + Duration::from_millis(400 * hop);
        let age = sent_at + Duration::from_millis(300) - proved_at;
        let proof = ConfigProof {
            age_ms: age.as_millis() as u32,
            received: Vec::new(),
        };
        let next = proof.proved_at(sent_at).unwrap();
        assert!(next <= proved_at);
        proved_at = next;
    }
}

/// Guards against a configuration that is refused as a whole, with the keys that it takes away, for
/// a fault that concerns one account or service.
#[rstest]
#[case::no_keys(json!([{"name": "desk", "api_keys": []}]), "`desk` has no keys")]
#[case::keys_missing(json!([{"name": "desk"}]), "`desk` has no keys")]
#[case::empty_key(json!([{"name": "desk", "api_keys": [""]}]), "`desk` has no keys")]
#[case::listed_twice(
    json!([{"name": "desk", "api_keys": ["k1"]}, {"name": "desk", "api_keys": ["k2"]}]),
    "`desk` is listed twice"
)]
#[case::key_of_two(
    json!([{"name": "desk", "api_keys": ["secret"]}, {"name": "stall", "api_keys": ["secret", "k3"]}]),
    "`stall` lists a key of account `desk`"
)]
fn faults_of_accounts_are_named_without_keys(#[case] accounts: Value, #[case] fault: &str) {
    let catalog = decode(accounts);
    assert_eq!(catalog.faults().len(), 1, "{:?}", catalog.faults());
    assert!(
        catalog.faults()[0].text.contains(fault),
        "{:?}",
        catalog.faults()
    );
    assert!(!catalog.faults()[0].text.contains("secret"));
}

#[test]
fn a_key_of_two_accounts_stays_with_the_first() {
    let catalog = decode(json!([
        {"name": "desk", "api_keys": ["k1"]}, {"name": "stall", "api_keys": ["k1", "k3"]},
    ]));
    let holder = |key: &str| {
        let accounts = catalog.accounts().unwrap();
        accounts.holder(&KeyDigest::of(key)).unwrap().name.clone()
    };
    assert_eq!(
        (holder("k1"), holder("k3")),
        ("desk".into(), "stall".into())
    );
}

/// Guards against keys in the log lines that tell the operator what is wrong.
#[rstest]
#[case::keys_are_no_list(json!([{"name": "desk", "api_keys": "secret"}]), "`desk`")]
#[case::keys_are_no_text(json!([{"name": "desk", "api_keys": [["secret"]]}]), "`desk`")]
#[case::key_in_place_of_a_priority(json!([{"name": "desk", "priority": "secret"}]), "`desk`")]
#[case::priority_out_of_range(json!([{"name": "desk", "priority": 300}]), "`desk`")]
#[case::account_is_a_key(json!(["secret"]), "account 0")]
#[case::accounts_are_no_list(json!({"secret": "desk"}), "no list")]
fn an_unreadable_account_is_named_without_keys(#[case] accounts: Value, #[case] text: &str) {
    let decoded = config::decode(document(accounts).to_string().as_bytes());
    let cause = decoded.unwrap_err().to_string();
    assert!(cause.contains(text), "{cause}");
    assert!(!cause.contains("secret"), "{cause}");
}

#[test]
fn unknown_fields_of_accounts_are_ignored() {
    let catalog = decode(json!([{"name": "desk", "api_keys": ["k1"], "tier": {"a": 1}}]));
    assert!(catalog.faults().is_empty());
}

/// Guards against orders by a range or prices that make no sense.
#[rstest]
#[case::min_above_max(json!({"min": 5, "max": 2}), None, "range from 5 to 2")]
#[case::price_zero(json!({"min": 1, "max": 2, "zone_prices": {"derby": 0.0}}), Some(0), "`derby`")]
#[case::price_negative(json!({"min": 1, "max": 2, "zone_prices": {"derby": -1, "stoke": 1}}), Some(1), "`derby`")]
#[case::spot_price_zero(json!({"min": 1, "max": 2, "spot_price": 0}), Some(0), "withdrawn")]
fn faults_of_ranges_are_named(
    #[case] scale: Value,
    #[case] prices: Option<usize>,
    #[case] fault: &str,
) {
    let mut document = document(json!([]));
    document["services"][0]["scale"] = scale;
    let catalog = config::decode(document.to_string().as_bytes()).unwrap();
    let scale = catalog.service("desk").unwrap().scale.clone();
    assert_eq!(scale.map(|scale| scale.domain_prices.len()), prices);
    assert_eq!(catalog.faults().len(), 1);
    assert!(
        catalog.faults()[0].text.contains(fault),
        "{:?}",
        catalog.faults()
    );
}

/// Guards against metrics that grow with the number of accounts, and against heavy accounts that are
/// lost among many light ones.
#[test]
fn eight_thousand_accounts_are_counted_in_bounded_memory() {
    const LIGHT_ACCOUNTS: usize = 8400;
    const HEAVY_ACCOUNTS: usize = 8;
    let mut heaviest = Heaviest::new(64);
    let mut requests = 0;
    for number in 0..LIGHT_ACCOUNTS {
        heaviest.record(&format!("light-{number}").as_str().into(), true);
        for heavy in 0..HEAVY_ACCOUNTS {
            heaviest.record(&format!("heavy-{heavy}").as_str().into(), false);
        }
        requests += 1 + HEAVY_ACCOUNTS as u64;
    }
    assert_eq!(heaviest.iter().count(), 64);
    let counted: u64 = heaviest.iter().map(|(_, count)| count.requests).sum();
    assert_eq!(counted + heaviest.others().requests, requests);
    let heavy = heaviest
        .iter()
        .filter(|(name, _)| name.starts_with("heavy"));
    let heavy: Vec<u64> = heavy.map(|(_, count)| count.unserved).collect();
    assert_eq!(heavy, [LIGHT_ACCOUNTS as u64; HEAVY_ACCOUNTS]);
}

/// Guards against a less urgent account that goes first, and against late requests that delay those
/// which can still be on time.
#[test]
fn ranks_are_told_apart_within_a_class_of_urgency() {
    let urgency = |urgency: u8, rank: u8| {
        let plan = Plan::Split {
            prefill_engine: "p1".into(),
            decode_engine: "d1".into(),
            fallback: None,
            urgency,
        };
        match plan.ranked(rank) {
            Plan::Split { urgency, .. } => urgency,
            other => panic!("{other:?}"),
        }
    };
    for class in [1, 3, URGENCY_LATE] {
        assert!(urgency(class, 0) < urgency(class, 1));
        assert!(urgency(class, 1) < urgency(class, 2));
    }
    assert!(urgency(1, u8::MAX) < urgency(3, 0));
    assert!(urgency(3, u8::MAX) < urgency(URGENCY_LATE, 0));
    assert!(urgency(URGENCY_LATE, u8::MAX) <= 9);
}
