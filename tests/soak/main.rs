//! Runs gateways as separate processes, injects faults from outside, and checks the promises.
//!
//! The short run is part of the test suite. Many seeds are run by hand:
//!
//! ```text
//! SOAK_SEEDS=100..150 cargo test --release --test soak -- --ignored --nocapture
//! ```

mod account;
mod caller;
mod check;
mod fault;
mod recover;
mod release;
mod report;
#[path = "../gateway/site.rs"]
#[allow(dead_code, reason = "shared with the gateway tests")]
mod site;
mod world;

use rstest::rstest;

use self::report::Report;

/// Plays one seed and prints what happened if a promise was broken.
fn play(seed: u64) -> Report {
    let report = world::play(seed);
    if !report.broken.is_empty() {
        eprintln!("seed {seed}: {}", report.broken.join("\n  "));
        for line in &report.script {
            eprintln!("  {line}");
        }
    }
    report
}

#[rstest]
#[case(1)]
#[case::foreign_answers(16)]
#[case::reset_after_running(38)]
#[case::short_and_foreign_answers(62)]
#[case::streams_broken_off(68)]
#[case::upstream_removed(1030)]
#[case::upstream_drained(1045)]
#[case::says_that_it_leaves(2004)]
#[case::asks_for_a_pause(2009)]
#[case::a_request_ends_upstreams(3001)]
#[case::a_prompt_block_ends_engines(4001)]
#[case::an_upstream_names_a_limit(5001)]
#[case::a_limited_upstream_lapses_as_hosts_join(5047)]
#[case::the_store_is_restored(6001)]
#[case::the_store_is_restored_twice(6003)]
#[case::answers_deceive(7000)]
#[case::a_key_is_taken_away_from_hosts_cut_off(8000)]
fn promises_hold_under_faults(#[case] seed: u64) {
    let report = play(seed);
    assert!(report.answers > 0, "no request was answered");
    assert!(report.broken.is_empty(), "{}", report.broken.join("\n"));
}

#[test]
#[ignore = "takes minutes; run by hand with SOAK_SEEDS=from..to"]
fn many_seeds() {
    let range = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "100..150".into());
    let (from, to) = range.split_once("..").expect("SOAK_SEEDS is from..to");
    let (from, to): (u64, u64) = (from.parse().unwrap(), to.parse().unwrap());
    let mut failed = Vec::new();
    for seed in from..to {
        let report = play(seed);
        println!("seed {seed}: {report}");
        if !report.broken.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
