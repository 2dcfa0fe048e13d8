//! Costs of client accounts: the platform's configuration, shares, and parts of datagrams.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use prost::Message;
use serde_json::Value;
use serde_json::json;

use super::super::overhead::usage;
use super::Row;
use crate::fair::Ledger;
use crate::fair::MAX_NAMED;
use crate::fair::Sums;
use crate::fair::Work;
use crate::gossip::AccountCount;
use crate::gossip::AccountSums;
use crate::gossip::AccountWork;
use crate::gossip::ConfigProof;
use crate::gossip::DatagramId;
use crate::gossip::Demand;
use crate::gossip::PlainLoad;
use crate::gossip::WindowCounts;
use crate::platform::config;
use crate::standin::fleet;

/// Routes of the configuration.
const ROUTES: usize = 3_000;
/// Times that a standing is determined, each long enough after the other that the sums count as old.
const REPEATS: u32 = 20;
/// Time between two of these.
const INTERVAL: Duration = Duration::from_millis(100);
/// Name of an account in counts of usage.
const NAME: &str = "account-000000";

/// Measures the memory of a configuration; to be called first, since memory that was freed before would
/// be taken again.
pub fn memory() -> Row {
    Row::fit(
        "configuration, 3,000 routes",
        "accounts",
        "MiB",
        vec![(8_400.0, catalog_mib(8_400))],
    )
}

/// Measures all other costs of accounts.
pub fn run() -> Vec<Row> {
    let points = |sizes: &[usize], cost: fn(usize) -> f64| {
        sizes
            .iter()
            .map(|size| (*size as f64, cost(*size)))
            .collect::<Vec<(f64, f64)>>()
    };
    let accounts = [500, 2_000, 8_400];
    let row = |what, size, unit, points| Row::fit(what, size, unit, points);
    vec![
        row(
            "decode it, 3,000 routes",
            "accounts",
            "ms",
            points(&accounts, decode_ms),
        ),
        row(
            "its text, 3,000 routes",
            "accounts",
            "KiB",
            points(&accounts, text_kib),
        ),
        row(
            "standing, sums renewed",
            "peers",
            "us",
            points(&[25, 100, 410], standing_us),
        ),
        row(
            "shares of accounts",
            "services",
            "bytes",
            points(&[1, 3, 6], sums_bytes),
        ),
        row(
            "loads of plain upstreams",
            "upstreams",
            "bytes",
            points(&[1, 8, 16], loads_bytes),
        ),
        row(
            "demand",
            "services",
            "bytes",
            points(&[1, 4, 8], demand_bytes),
        ),
        row(
            "proof of configuration",
            "named",
            "bytes",
            points(&[0, 4, 8], proof_bytes),
        ),
        row(
            "counts of usage",
            "accounts",
            "bytes",
            points(&[1, 100, 600], counts_bytes),
        ),
    ]
}

/// Returns a configuration with accounts and [`ROUTES`] routes.
fn text(accounts: usize) -> Vec<u8> {
    let mut config = fleet::config(1);
    let route = config["routes"][0].clone();
    let routes = (0..ROUTES).map(|number| {
        let mut route = route.clone();
        route["name"] = json!(format!("r{number}"));
        route["path_prefix"] = json!(format!("/r{number}/"));
        route
    });
    config["routes"] = routes.collect();
    let account = |number| json!({"name": format!("a{number}"), "api_keys": [format!("key-{number:032}")], "priority": 1});
    config["tenants"] = (0..accounts).map(account).collect::<Value>();
    config.to_string().into_bytes()
}

fn decode_ms(accounts: usize) -> f64 {
    let text = text(accounts);
    let began = Instant::now();
    black_box(config::decode(&text).expect("a configuration that is right"));
    began.elapsed().as_secs_f64() * 1e3
}

fn text_kib(accounts: usize) -> f64 {
    text(accounts).len() as f64 / 1024.0
}

fn catalog_mib(accounts: usize) -> f64 {
    let text = text(accounts);
    let before = usage().1;
    // Several, as one may fit into memory that is free already.
    let catalogs: Vec<_> = (0..8).map(|_| config::decode(&text)).collect();
    let after = usage().1;
    assert!(catalogs.iter().all(Result::is_ok));
    let each = (after - before) / catalogs.len() as f64;
    // Kept, so that measurements that follow don't take their memory.
    std::mem::forget(catalogs);
    each
}

fn standing_us(peers: usize) -> f64 {
    let mut now = Instant::now();
    let mut ledger = Ledger::default();
    let work = Work {
        offered_s: 1.0,
        served_s: 0.5,
    };
    for account in 0..1_024 {
        ledger.record_offered(account, Duration::from_millis(10), now);
    }
    for peer in 0..peers {
        let named = (0..MAX_NAMED).map(|index| ((peer * MAX_NAMED + index) as u32, work));
        let sums = Sums {
            named: named.collect(),
            others: work,
            other_count: 1_000,
        };
        assert!(ledger.record_peer(&format!("h{peer}").into(), sums, now));
    }
    let mut spent = Duration::ZERO;
    // Peers' sums expire after two seconds, so the last renewal falls within them.
    for _ in 0..REPEATS - 1 {
        now += INTERVAL;
        let began = Instant::now();
        black_box(ledger.standing(1, now));
        spent += began.elapsed();
    }
    spent.as_secs_f64() * 1e6 / f64::from(REPEATS - 1)
}

fn sums_bytes(services: usize) -> f64 {
    let work = AccountWork {
        account: u32::MAX,
        offered_us: 40_000_000,
        served_us: 40_000_000,
    };
    let sums = AccountSums {
        service: u32::MAX,
        named: vec![work; MAX_NAMED],
        others: Some(work),
        other_count: 1_000,
    };
    (services * part(sums.encoded_len())) as f64
}

fn loads_bytes(upstreams: usize) -> f64 {
    let load = PlainLoad {
        upstream: u32::MAX,
        running: 100,
        oldest_ms: 2_000,
        sent: 10_000_000,
        answered: 10_000_000,
        work_us: 1 << 48,
        rejected: 1_000_000,
    };
    (upstreams * part(load.encoded_len())) as f64
}

fn demand_bytes(services: usize) -> f64 {
    let demand = Demand {
        service: u32::MAX,
        requests: 61_000,
        prefill: 10_000,
        saved: 10_000,
        decode: 10_000,
    };
    (services * part(demand.encoded_len())) as f64
}

fn proof_bytes(named: usize) -> f64 {
    let id = DatagramId {
        incarnation: u32::MAX,
        sequence: 10_000_000,
    };
    let proof = ConfigProof {
        age_ms: 1_000,
        received: vec![id; named],
    };
    part(proof.encoded_len()) as f64
}

fn counts_bytes(accounts: usize) -> f64 {
    let count = AccountCount {
        account: NAME.into(),
        count: 1_000,
    };
    let counts = WindowCounts {
        window: 1 << 30,
        accounts: vec![count; accounts],
    };
    part(counts.encoded_len()) as f64
}

/// Returns the bytes of a message as a part of a datagram.
fn part(message: usize) -> usize {
    // Tags up to 15 take a byte, the others two.
    2 + prost::length_delimiter_len(message) + message
}
