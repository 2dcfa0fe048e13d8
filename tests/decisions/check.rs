//! Findings about configurations before they are sent.

use std::fs;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::catalog::Finding;
use pistachiohall::catalog::Level;
use pistachiohall::check;
use pistachiohall::check::Context;
use pistachiohall::platform::config;
use pistachiohall::retry::window::Bounds;
use proptest::prelude::any;
use proptest::proptest;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// Maximum time of a check, for the largest configurations.
const MAX_DURATION: Duration = Duration::from_secs(1);

fn sound() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "tag", "host": "a.example", "path_prefix": "/tag/", "type": "stream",
             "service": "engines", "timeout_ms": 2000, "target_latency_ms": 500, "target_gap_ms": 200,
             "priority": 2, "max_attempts": 2, "sticky": true, "resumable": true},
            {"name": "read", "host": "a.example", "path_prefix": "/read/", "type": "safe",
             "split": [{"service": "desk", "weight": 9}, {"service": "spare", "weight": 1}],
             "timeout_ms": 1500, "target_latency_ms": 120, "public": true}
        ],
        "services": [
            {"name": "engines", "max_connections": 810,
             "engine": {"slots": 64, "kv_capacity_tokens": 1_104_513},
             "scale": {"min": 1, "max": 30, "boot_s": 4.0, "spot_price": 0.15,
                       "zone_prices": {"derby": 1.0}}},
            {"name": "desk", "max_connections": 550},
            {"name": "spare", "max_connections": 550}
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304, "idle_timeout_ms": 15000},
        "tenants": [
            {"name": "north", "api_keys": ["k1", "k2"], "priority": 1},
            {"name": "south", "api_keys": ["k3"]}
        ]
    })
}

fn findings(in_force: Option<&Value>, document: &Value) -> Vec<Finding> {
    let draft = |document: &Value| config::draft(document.to_string().as_bytes()).unwrap();
    let context = Context {
        retries: Some(Bounds {
            ratio: 0.0,
            slack: 0.0,
            window: Duration::from_secs(10),
        }),
    };
    check::report(in_force.map(draft).as_ref(), &draft(document), context)
}

fn changed(pointer: &str, value: Value) -> Value {
    let mut document = sound();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let parent = document.pointer_mut(parent).unwrap();
    match parent {
        Value::Array(entries) => match key.parse::<usize>() {
            Ok(index) => entries[index] = value,
            Err(_) => entries.push(value),
        },
        Value::Object(fields) => {
            fields.insert(key.to_owned(), value);
        }
        _ => panic!("expected a list or an object at {pointer}"),
    }
    document
}

#[test]
fn a_sound_configuration_has_no_findings() {
    let draft = config::draft(sound().to_string().as_bytes()).unwrap();
    assert_eq!(check::report(None, &draft, Context::default()), []);
    let unchanged = check::report(Some(&draft), &draft, Context::default());
    assert_eq!(unchanged.len(), 1, "{unchanged:?}");
    assert!(unchanged[0].text.contains("version 7 is ignored"));
}

#[rstest]
#[case::unknown_service("/routes/0/service", json!("none"), Level::Error, "does not exist")]
#[case::no_service("/routes/1/split", json!([]), Level::Error, "leads to no service")]
#[case::no_weight("/routes/1/split/1/weight", json!(0), Level::Warning, "its weight is 0")]
#[case::same_match("/routes/1/path_prefix", json!("/tag/"), Level::Error, "of route `tag`")]
#[case::no_slash("/routes/0/path_prefix", json!("/tag"), Level::Error, "can never match")]
#[case::query("/routes/0/path_prefix", json!("/tag?x/"), Level::Warning, "can never match")]
#[case::port("/routes/0/host", json!("a.example:80"), Level::Warning, "can never match")]
#[case::no_time("/routes/0/timeout_ms", json!(0), Level::Error, "timeout of 0")]
#[case::late_target("/routes/0/target_latency_ms", json!(3000), Level::Warning, "above the timeout")]
#[case::late_gap("/routes/0/target_gap_ms", json!(3000), Level::Warning, "above the timeout")]
#[case::resumable("/routes/1/resumable", json!(true), Level::Warning, "only streams")]
#[case::no_retries("/routes/0/max_attempts", json!(3), Level::Warning, "pays for no retry")]
#[case::twice("/services/2/name", json!("desk"), Level::Error, "listed twice")]
#[case::no_route("/services/-", json!({"name": "idle"}), Level::Warning, "gets no requests")]
#[case::no_connections("/services/1/max_connections", json!(0), Level::Error, "no connections")]
#[case::empty_range("/services/0/scale/min", json!(31), Level::Error, "range from 31 to 30")]
#[case::no_price("/services/0/scale/spot_price", json!(0), Level::Error, "expected a positive")]
#[case::bad_price("/services/0/scale/zone_prices/derby", json!(-1), Level::Error, "in `derby`")]
#[case::no_keys("/tenants/1/api_keys", json!([]), Level::Warning, "has no keys")]
#[case::shared_key("/tenants/1/api_keys", json!(["k1"]), Level::Error, "a key of account `north`")]
#[case::same_account("/tenants/1/name", json!("north"), Level::Error, "listed twice")]
#[case::no_accounts("/tenants", json!([]), Level::Error, "no account has a key")]
#[case::no_body("/limits/max_body_bytes", json!(0), Level::Error, "maximum size")]
#[case::no_idle_time("/limits/idle_timeout_ms", json!(0), Level::Warning, "idle timeout")]
fn a_mistake_is_found(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] level: Level,
    #[case] text: &str,
) {
    let findings = findings(None, &changed(pointer, value));
    let is_found = |finding: &Finding| finding.level == level && finding.text.contains(text);
    assert!(findings.iter().any(is_found), "{findings:?}");
}

#[rstest]
#[case::moved("/routes/0/service", json!("desk"), "moves from engines (1) to desk (1)")]
#[case::shortened("/routes/0/timeout_ms", json!(900), "timeout shortened from 2s to 900ms")]
#[case::extended("/routes/0/timeout_ms", json!(9000), "timeout extended")]
#[case::target("/routes/0/target_latency_ms", json!(400), "target changed")]
#[case::kind("/routes/1/type", json!("unsafe"), "which requests may be repeated")]
#[case::public("/routes/1/public", json!(false), "no longer public")]
#[case::attempts("/routes/0/max_attempts", json!(1), "allows 1 attempts, 2 before")]
#[case::priority("/routes/0/priority", json!(0), "has priority 0, 2 before")]
#[case::renamed("/routes/0/path_prefix", json!("/label/"), "is dropped")]
#[case::added("/routes/0/path_prefix", json!("/label/"), "is added")]
#[case::service("/services/1/max_connections", json!(9), "`desk` has other properties")]
#[case::new_service("/services/-", json!({"name": "new"}), "`new` is added")]
#[case::old_service("/services/2/name", json!("new"), "`spare` is dropped")]
#[case::keys_taken("/tenants/0/api_keys", json!(["k2"]), "has 1 of its 2 keys taken away")]
#[case::keys_added("/tenants/1/api_keys", json!(["k3", "k9"]), "`south` gets 1 keys")]
#[case::account("/tenants/1/name", json!("west"), "`south` is dropped with 1 keys")]
#[case::limits("/limits/max_body_bytes", json!(9), "limits for callers change")]
fn a_difference_from_the_version_in_force_is_told(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] text: &str,
) {
    let mut document = changed(pointer, value);
    document["version"] = json!(8);
    let findings = findings(Some(&sound()), &document);
    let is_told = |finding: &Finding| finding.level == Level::Change && finding.text.contains(text);
    assert!(findings.iter().any(is_told), "{findings:?}");
    assert!(findings.iter().all(|finding| !finding.text.contains("k1")));
}

#[test]
fn the_largest_configurations_are_checked_in_a_second() {
    let mut document = sound();
    let route = document["routes"][0].clone();
    document["routes"] = (0..3000)
        .map(|index| {
            let mut route = route.clone();
            route["path_prefix"] = json!(format!("/r{index}/"));
            route
        })
        .collect();
    document["tenants"] = (0..8400)
        .map(|index| json!({"name": format!("a{index}"), "api_keys": [format!("key-{index}")]}))
        .collect();
    let text = document.to_string();
    let started_at = Instant::now();
    let draft = config::draft(text.as_bytes()).unwrap();
    check::report(Some(&draft), &draft, Context::default());
    let took = started_at.elapsed();
    assert!(took < MAX_DURATION, "{took:?}");
}

#[rstest]
#[case::brackets(b"[")]
#[case::quotes(b"\"")]
#[case::nothing(b" ")]
#[case::list(b"{},")]
fn four_mebibytes_of_anything_are_checked_in_a_second(#[case] part: &[u8]) {
    let text = part.repeat((4 << 20) / part.len());
    let started_at = Instant::now();
    assert!(config::draft(&text).is_err());
    let took = started_at.elapsed();
    assert!(took < MAX_DURATION, "{took:?}");
}

proptest! {
    /// No bytes make the check panic, at whatever place of a configuration they stand.
    #[test]
    fn no_bytes_make_the_check_panic(noise in any::<Vec<u8>>(), at in any::<usize>()) {
        let mut text = sound().to_string().into_bytes();
        let at = at % text.len();
        text.splice(at..(at + noise.len() / 2).min(text.len()), noise);
        if let Ok(draft) = config::draft(&text) {
            check::report(Some(&draft), &draft, Context::default());
        }
    }
}

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pistachiohall"));
    command.arg("check").args(arguments).output().unwrap()
}

#[test]
fn the_command_tells_mistakes_with_their_place_and_its_exit_code() {
    let folder = std::env::temp_dir().join(format!("check-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let write = |name: &str, document: &Value| {
        let path = folder.join(name);
        fs::write(&path, serde_json::to_string_pretty(document).unwrap()).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let in_force = write("in-force.json", &sound());
    let mut next = changed("/routes/0/service", json!("none"));
    next["version"] = json!(8);
    let next = write("next.json", &next);
    let warned = write("warned.json", &changed("/tenants/1/api_keys", json!([])));
    let errors = run(&["--in-force", &in_force, &next]);
    let printed = String::from_utf8(errors.stdout).unwrap();
    assert_eq!(errors.status.code(), Some(2), "{printed}");
    assert!(printed.contains("next.json:"), "{printed}");
    assert!(
        printed.contains(": error: route `tag` leads to a service"),
        "{printed}"
    );
    assert!(printed.contains(": change: route `tag` moves"), "{printed}");
    assert_eq!(run(&[&in_force]).status.code(), Some(0));
    assert_eq!(run(&[&warned]).status.code(), Some(0));
    assert_eq!(run(&["--strict", &warned]).status.code(), Some(1));
    let json = run(&["--json", &warned]).stdout;
    let report: Value = serde_json::from_slice(&json).unwrap();
    assert_eq!(report["warnings"], 1);
    fs::remove_dir_all(&folder).unwrap();
}
