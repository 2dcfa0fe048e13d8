//! Costs of state: configuration, claims, histograms, routing.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use uuid::Uuid;

use crate::directory::Directory;
use crate::fold::Fold;
use crate::fold::claims::Claim;
use crate::fold::claims::Claims;
use crate::fold::claims::Record;
use crate::fold::config;
use crate::fold::config::Config;
use crate::fold::config::Edit;
use crate::histogram::Histograms;
use crate::histogram::Sample;
use crate::route;
use crate::route::Criteria;
use crate::route::Index;
use crate::route::Stage;
use crate::service;
use crate::standin::deployment::ANY;
use crate::upstream::Load;
use crate::upstream::Upstream;

use super::super::overhead::usage;
use super::Row;

/// Claims in one append.
const GROUP: usize = 64;
/// Repeats of short work.
const REPEATS: u32 = 2_000;

/// Measures all costs of state.
pub fn run() -> Vec<Row> {
    let points = |sizes: &[usize], cost: fn(usize) -> f64| {
        sizes
            .iter()
            .map(|size| (*size as f64, cost(*size)))
            .collect()
    };
    let accounts = [500, 2_000, 8_400];
    vec![
        Row::fit(
            "take a publication in",
            "accounts",
            "ms",
            points(&accounts, publication_ms),
        ),
        Row::fit(
            "configuration snapshot",
            "accounts",
            "KiB",
            points(&accounts, snapshot_kib),
        ),
        Row::fit(
            "histograms of callers",
            "accounts",
            "MiB",
            points(&accounts, histogram_mib),
        ),
        Row::fit(
            "claims held",
            "claims",
            "MiB",
            points(&[50_000, 200_000, 400_000], claim_mib),
        ),
        Row::fit(
            "fold a claim",
            "claims held",
            "us",
            points(&[50_000, 200_000, 400_000], claim_us),
        ),
        Row::fit(
            "choose an upstream",
            "replicas",
            "us",
            points(&[10, 100, 390], choose_us),
        ),
        Row::fit(
            "load report",
            "reports",
            "bytes",
            points(&[1, 10, 100], report_bytes),
        ),
    ]
}

fn file(accounts: usize) -> String {
    let mut text = "[service]\nname = lm\nkind = model\nmodel = m\n\
        [class urgent]\nrank = 0\nfirst_token = 1s\nbetween_tokens = 55ms\ndeadline = 4s\n"
        .to_owned();
    for number in 0..accounts {
        let digest = service::digest(&number.to_string());
        text += &format!("[account a{number}]\nkey_sha256 = {digest}\nclass = urgent\n");
    }
    text
}

fn published(accounts: usize) -> Config {
    let edit = Edit {
        based_on: None,
        text: Some(file(accounts)),
    };
    let record = config::Record::Publication {
        id: Uuid::now_v7(),
        edits: [("lm".into(), edit)].into(),
    };
    let mut config = Config::default();
    config.fold(0, &record);
    config
}

fn publication_ms(accounts: usize) -> f64 {
    let began = Instant::now();
    let config = published(accounts);
    let directory = Directory::build(&config, &Directory::default());
    assert!(directory.service("lm").is_some());
    began.elapsed().as_secs_f64() * 1e3
}

fn snapshot_kib(accounts: usize) -> f64 {
    json!(published(accounts)).to_string().len() as f64 / 1024.0
}

fn histogram_mib(accounts: usize) -> f64 {
    let before = usage().1;
    let histograms = Histograms::default();
    for number in 0..accounts {
        histograms.add(&Sample {
            service: "lm".into(),
            class: "urgent".into(),
            account: format!("a{number}").into(),
            first_token: Some(Duration::from_millis(80)),
            between_tokens: Some(Duration::from_millis(40)),
            total: Duration::from_secs(4),
            failed: None,
        });
    }
    let after = usage().1;
    assert_eq!(histograms.callers().len(), accounts);
    after - before
}

fn claims(count: usize) -> (Claims, Duration) {
    let mut claims = Claims::default();
    let mut spent = Duration::ZERO;
    for offset in 0..count / GROUP {
        let record = Record {
            incarnation: Uuid::now_v7(),
            peer: ANY,
            claims: (0..GROUP)
                .map(|_| Claim {
                    account: "cue-desk/desk".into(),
                    key: Uuid::now_v7(),
                    digest: 7,
                })
                .collect(),
        };
        let began = Instant::now();
        claims.fold(offset as u64, &record);
        spent += began.elapsed();
    }
    (claims, spent)
}

fn claim_mib(count: usize) -> f64 {
    let before = usage().1;
    let (claims, _) = claims(count);
    let after = usage().1;
    assert!(!claims.is_empty());
    after - before
}

fn claim_us(count: usize) -> f64 {
    claims(count).1.as_secs_f64() * 1e6 / count as f64
}

fn choose_us(replicas: usize) -> f64 {
    let upstream = |number: usize| {
        let id = format!("e{number}").into();
        Arc::new(Upstream::new(id, ANY, "derby".into(), "lm".into()))
    };
    let upstreams: Vec<_> = (0..replicas).map(upstream).collect();
    let index = Index::default();
    let want = Criteria {
        stage: Stage::Decode,
        domain: &"derby".into(),
        permitted: &[],
        tried: &[],
        prefix: Some(7),
        is_isolated: false,
    };
    let mut random = rand::rng();
    let began = Instant::now();
    for _ in 0..REPEATS {
        assert!(route::choose(&upstreams, &want, &index, &mut random).is_some());
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}

fn report_bytes(reports: usize) -> f64 {
    let load = Load {
        boot_id: Uuid::now_v7(),
        prompt_tokens: 1 << 40,
        generated_tokens: 1 << 40,
        ..Load::default()
    };
    (reports * json!(load).to_string().len()) as f64
}
