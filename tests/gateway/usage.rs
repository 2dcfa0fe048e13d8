//! Tests of usage reports: what upstreams ran is reported once, whichever host is lost.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use pistachiohall::platform::store as topics;
use pistachiohall::standin::fleet;
use serde_json::Value;
use serde_json::json;

use super::site::Gateway;
use super::site::LONG_PROMPT;
use super::site::NO_ORDERS;
use super::site::Site;
use super::site::wait_for;

/// A report as the platform got it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Report {
    holder: String,
    fencing_token: u64,
    window: u64,
    counts: BTreeMap<String, u64>,
}

/// Stand-in for the platform: takes reports, and answers those that `is_silent` doesn't stop.
struct Platform {
    address: SocketAddr,
    reports: Arc<Mutex<Vec<Report>>>,
    is_silent: Arc<Mutex<bool>>,
}

impl Platform {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let reports: Arc<Mutex<Vec<Report>>> = Arc::default();
        let is_silent: Arc<Mutex<bool>> = Arc::default();
        let (taken, silent) = (Arc::clone(&reports), Arc::clone(&is_silent));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut fields = BTreeMap::new();
                let mut line = String::new();
                while reader.read_line(&mut line).is_ok_and(|length| length > 2) {
                    if let Some((name, value)) = line.trim().split_once(": ") {
                        fields.insert(name.to_lowercase(), value.to_owned());
                    }
                    line.clear();
                }
                let length = fields["content-length"].parse().unwrap();
                let mut body = vec![0; length];
                reader.read_exact(&mut body).unwrap();
                let body: Value = serde_json::from_slice(&body).unwrap();
                taken.lock().unwrap().push(Report {
                    holder: fields["pistachiohall-lease-holder"].clone(),
                    fencing_token: fields["pistachiohall-fencing-token"].parse().unwrap(),
                    window: body["window_id"].as_u64().unwrap(),
                    counts: serde_json::from_value(body["counts"].clone()).unwrap(),
                });
                if !*silent.lock().unwrap() {
                    // A gateway that was killed doesn't read it.
                    let _sent = stream.write_all(
                        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
                    );
                }
            }
        });
        Platform {
            address,
            reports,
            is_silent,
        }
    }

    fn settings(&self) -> String {
        format!(
            "[orders]\nread_share = 0\nlease = 600ms\n[repeats]\nratio = 1000\n[duties]\n\
             address = {}\nperform = usage_report\nusage_window = 1s\nusage_due = 5s\n",
            self.address
        )
    }

    fn reports(&self) -> Vec<Report> {
        self.reports.lock().unwrap().clone()
    }

    /// Returns the counts of all windows together.
    fn totals(&self) -> BTreeMap<String, u64> {
        let reports = self.reports();
        let windows: BTreeMap<u64, &BTreeMap<String, u64>> = reports
            .iter()
            .map(|report| (report.window, &report.counts))
            .collect();
        let mut totals = BTreeMap::new();
        for (account, count) in windows.into_values().flatten() {
            *totals.entry(account.clone()).or_default() += count;
        }
        totals
    }

    /// Checks that no two reports of a window differ and that fencing tokens never fall.
    fn check(&self) {
        let reports = self.reports();
        let mut windows: BTreeMap<u64, &Report> = BTreeMap::new();
        for report in &reports {
            let first = windows.entry(report.window).or_insert(report);
            assert_eq!(first.counts, report.counts, "{first:?}");
        }
        let tokens: Vec<u64> = reports.iter().map(|report| report.fencing_token).collect();
        assert!(tokens.is_sorted(), "{tokens:?}");
    }
}

/// Returns a configuration with two accounts.
fn config() -> Value {
    let mut config = fleet::config(4);
    config["tenants"] = json!([
        {"name": "desk", "api_keys": ["k1"]},
        {"name": "stage", "api_keys": ["k2"]},
    ]);
    config
}

fn site(platform: &Platform) -> Site {
    let engines = [("e1", "prefill"), ("e2", "decode")];
    let site = Site::start(&["c1"], &engines, &platform.settings());
    site.store.put_config(&config());
    site.gateway.wait_line(&["config=4", "outcome=in-force"]);
    site
}

fn expected(desk: u64, stage: u64) -> BTreeMap<String, u64> {
    [("desk".to_owned(), desk), ("stage".to_owned(), stage)].into()
}

#[test]
fn what_upstreams_ran_is_reported_by_account() {
    let platform = Platform::start();
    let site = site(&platform);
    let desk = ("Authorization", "Token k1");
    for number in 0..12 {
        let id = format!("r{number}");
        assert_eq!(
            site.gateway.call("GET", "/read/a", &id, &[desk]).status,
            200
        );
    }
    // A prompt that is prefilled at one engine and decoded at another counts once.
    for number in 0..3 {
        let fields = [desk, LONG_PROMPT[0], LONG_PROMPT[1]];
        let answer = site
            .gateway
            .call("POST", "/ask/a", &format!("s{number}"), &fields);
        assert_eq!(answer.status, 200);
    }
    for number in 0..5 {
        let stage = ("Authorization", "Token k2");
        let answer = site
            .gateway
            .call("POST", "/act/a", &format!("w{number}"), &[stage]);
        assert_eq!(answer.status, 200);
    }
    let unknown = ("Authorization", "Token k3");
    assert_eq!(
        site.gateway.call("GET", "/read/a", "u", &[unknown]).status,
        401
    );
    wait_for("reports", || platform.totals() == expected(15, 5));
    platform.check();
    site.gateway
        .wait_line(&["part=usage::duty", "outcome=Accepted", "requests="]);
    assert!(
        site.gateway
            .metrics()
            .contains("usage_windows_reported_total")
    );
}

#[test]
fn a_successor_goes_on_where_a_killed_holder_was_not_answered() {
    let platform = Platform::start();
    let site = site(&platform);
    let start = |name: &str| Gateway::start(name, site.store.address(), &platform.settings());
    let others = [start("h2"), start("h3")];
    for other in &others {
        other.wait_ready();
        other.wait_line(&["config=4"]);
        other.wait_line(&["peers=2"]);
    }
    site.gateway.wait_line(&["peers=2"]);
    let mut gateways: BTreeMap<String, Gateway> = BTreeMap::new();
    let Site {
        gateway,
        store,
        replicas: _replicas,
    } = site;
    gateways.insert("h1".into(), gateway);
    for (name, gateway) in ["h2", "h3"].into_iter().zip(others) {
        gateways.insert(name.into(), gateway);
    }
    wait_for("a first report", || !platform.reports().is_empty());
    for (name, gateway) in &gateways {
        for number in 0..4 {
            let fields = [("Authorization", "Token k2")];
            let answer = gateway.call("GET", "/read/a", &format!("{name}{number}"), &fields);
            assert_eq!(answer.status, 200);
        }
    }
    *platform.is_silent.lock().unwrap() = true;
    let before = platform.reports().len();
    wait_for("an unanswered report", || platform.reports().len() > before);
    let last = platform.reports().last().cloned().unwrap();
    gateways.remove(&last.holder).expect("the holder is a host");
    *platform.is_silent.lock().unwrap() = false;
    wait_for("reports of a successor", || {
        let reports = platform.reports();
        let by_others = reports.iter().filter(|report| report.holder != last.holder);
        by_others.clone().any(|report| report.window > last.window)
    });
    platform.check();
    assert!(!store.keys(topics::USAGE_TOPIC).is_empty());
}

#[test]
fn usage_is_off_unless_the_settings_name_it() {
    let platform = Platform::start();
    let settings = format!(
        "{NO_ORDERS}[duties]\naddress = {}\nperform = autoscale\nusage_window = 1s\n",
        platform.address
    );
    let site = Site::start(&["c1"], &[], &settings);
    site.store.put_config(&config());
    site.gateway.wait_line(&["config=4", "outcome=in-force"]);
    let fields = [("Authorization", "Token k1")];
    assert_eq!(
        site.gateway.call("GET", "/read/a", "r", &fields).status,
        200
    );
    thread::sleep(Duration::from_secs(6));
    assert_eq!(platform.reports(), Vec::new());
}
