//! Tests of which prompt blocks are blamed for the ends of upstreams.

use std::time::Duration;
use std::time::Instant;

use pistachiohall::gossip;
use pistachiohall::suspicion::Fate;
use pistachiohall::suspicion::LossReport;
use pistachiohall::suspicion::LostExchange;
use pistachiohall::suspicion::Report;
use pistachiohall::suspicion::Subject;
use pistachiohall::suspicion::Tracker;
use pistachiohall::suspicion::Verdict;
use prost::Message;
use rstest::rstest;

/// Block that crashes upstreams.
const DEADLY: u64 = 7;
/// Block that all requests share.
const SHARED: u64 = 8;
/// Block of a harmless session.
const SESSION: u64 = 9;
/// Maximum suspects reported in one datagram.
const MAX_REPORTED: usize = 8;
/// Time before a loss within which the upstream crashed.
const CRASH_DELAY: Duration = Duration::from_millis(50);
/// Interval between two crashes.
const CRASH_INTERVAL: Duration = Duration::from_millis(200);

/// A host's view of losses on a clock of its own.
struct Host {
    tracker: Tracker,
    now: Instant,
    requests: u64,
}

impl Host {
    fn new(name: u32) -> Self {
        Host {
            tracker: Tracker::new(name),
            now: Instant::now(),
            requests: u64::from(name) << 16,
        }
    }

    /// Loses a new request with `blocks` at an incarnation that ends now.
    fn lose(&mut self, blocks: &[u64], incarnation: u32) {
        self.requests += 1;
        self.lose_request(self.requests, blocks, incarnation, None);
    }

    fn lose_request(
        &mut self,
        request: u64,
        blocks: &[u64],
        incarnation: u32,
        responding_since: Option<Instant>,
    ) {
        let lost = LostExchange {
            request,
            incarnation,
            earliest_end: self.now - CRASH_DELAY,
            responding_since,
        };
        self.tracker.record_block_losses(blocks, &lost, self.now);
    }

    /// Loses requests with each of `prompts` at successive incarnations.
    fn crash(&mut self, incarnations: std::ops::Range<u32>, prompts: &[&[u64]]) {
        for incarnation in incarnations {
            for blocks in prompts {
                self.lose(blocks, incarnation);
            }
            self.now += CRASH_INTERVAL;
        }
    }

    fn is_blamed(&self, block: u64) -> bool {
        self.tracker.block_verdict(block, 0, self.now) != Verdict::Clear
    }

    /// Sends its reports to another host as datagrams do.
    fn report_to(&mut self, origin: u32, other: &mut Host) {
        let reports = self.tracker.due_reports(MAX_REPORTED, self.now);
        let sent: Vec<Report> = reports
            .iter()
            .map(|report| {
                let bytes = gossip::Suspect::from(report).encode_to_vec();
                Report::from(&gossip::Suspect::decode(&bytes[..]).unwrap())
            })
            .collect();
        other.now = self.now;
        other.tracker.merge(origin, &sent, self.now);
    }
}

/// Guards against counting only losses of equal requests, and against blaming the blocks that lost
/// requests share with those that complete.
#[test]
fn the_block_that_only_lost_requests_share_is_blamed() {
    let mut host = Host::new(1);
    host.tracker.record_block_completions(&[SHARED], host.now);
    host.crash(100..102, &[&[SHARED, DEADLY], &[SHARED, SESSION]]);
    assert!(host.is_blamed(DEADLY));
    assert!(!host.is_blamed(SHARED), "it has completed");
    host.crash(102..104, &[&[SHARED, DEADLY]]);
    assert!(host.is_blamed(DEADLY));
    assert!(
        !host.is_blamed(SESSION),
        "another block explains its losses far better"
    );
}

/// A host that has seen nothing complete tells blocks apart by how many lost requests hold them.
#[test]
fn a_block_of_many_requests_is_not_blamed_for_what_a_rarer_one_explains() {
    let mut host = Host::new(1);
    let mut prompts: Vec<&[u64]> = vec![&[SHARED]; 9];
    prompts.push(&[SHARED, DEADLY]);
    host.crash(100..102, &prompts);
    assert!(host.is_blamed(DEADLY));
    assert!(!host.is_blamed(SHARED));
}

/// A loss at one incarnation, or of one request, or at many incarnations that end together, may have
/// another reason.
#[rstest]
#[case::one_incarnation(|host: &mut Host| {
    host.lose(&[DEADLY], 100);
    host.lose(&[DEADLY], 100);
})]
#[case::one_request_that_is_resumed(|host: &mut Host| {
    for incarnation in 100..104 {
        host.lose_request(1, &[DEADLY], incarnation, None);
        host.now += CRASH_INTERVAL;
    }
})]
#[case::ends_at_the_same_time(|host: &mut Host| {
    (100..120).for_each(|incarnation| host.lose(&[DEADLY], incarnation));
})]
#[case::responses_that_had_gone_on(|host: &mut Host| {
    for incarnation in 100..104 {
        let since = host.now;
        host.now += Duration::from_secs(2);
        host.requests += 1;
        host.lose_request(host.requests, &[DEADLY], incarnation, Some(since));
    }
})]
#[case::upstreams_that_go_on(|host: &mut Host| {
    for incarnation in 100..104 {
        host.lose(&[DEADLY], incarnation);
        host.tracker.record_alive(incarnation, host.now + CRASH_DELAY);
        host.now += CRASH_INTERVAL;
    }
})]
fn losses_with_another_reason_blame_no_block<F>(#[case] lose: F)
where
    F: Fn(&mut Host),
{
    let mut host = Host::new(1);
    lose(&mut host);
    assert!(!host.is_blamed(DEADLY));
}

/// Guards against refusing a whole route because engines end one after the other for another reason.
#[test]
fn a_block_that_completes_in_between_is_not_blamed() {
    let mut host = Host::new(1);
    for incarnation in 100..120 {
        host.lose(&[SHARED], incarnation);
        host.now += CRASH_INTERVAL;
        host.tracker.record_block_completions(&[SHARED], host.now);
    }
    assert!(!host.is_blamed(SHARED));
}

/// A block may begin to crash upstreams after it has completed many times.
#[test]
fn a_block_that_no_longer_completes_is_blamed_in_the_end() {
    let mut host = Host::new(1);
    host.tracker.record_block_completions(&[DEADLY], host.now);
    host.crash(100..103, &[&[DEADLY]]);
    assert!(!host.is_blamed(DEADLY));
    host.crash(103..104, &[&[DEADLY]]);
    assert!(host.is_blamed(DEADLY));
}

/// Guards against refusing requests that were running at upstreams that a block ended.
#[test]
fn requests_beside_a_blamed_block_are_not_suspects() {
    let mut host = Host::new(1);
    for incarnation in 100..102 {
        host.lose(&[DEADLY], incarnation);
        host.tracker.record_loss(1, incarnation, host.now);
        host.now += CRASH_INTERVAL;
    }
    assert_eq!(host.tracker.verdict(1, host.now), Verdict::Clear);
}

#[test]
fn losses_of_several_hosts_add_up_and_a_completion_clears_all() {
    let (mut one, mut other, mut third) = (Host::new(1), Host::new(2), Host::new(3));
    one.lose(&[DEADLY], 100);
    one.report_to(1, &mut third);
    other.now = one.now + CRASH_INTERVAL;
    other.lose(&[DEADLY], 200);
    other.report_to(2, &mut third);
    assert!(third.is_blamed(DEADLY));
    assert!(!other.is_blamed(DEADLY), "it has not heard of the first");
    one.now = other.now;
    one.tracker.record_block_completions(&[DEADLY], one.now);
    one.report_to(1, &mut third);
    assert!(!third.is_blamed(DEADLY));
}

/// Guards against blaming a block of which only other hosts know that it completes.
#[test]
fn hosts_tell_one_another_which_blocks_have_completed_before() {
    let (mut one, mut other, mut third) = (Host::new(1), Host::new(2), Host::new(3));
    other
        .tracker
        .record_block_completions(&[SESSION], other.now);
    for host in [&mut one, &mut other] {
        host.now += Duration::from_secs(20);
    }
    one.crash(100..102, &[&[SESSION]]);
    assert!(one.is_blamed(SESSION));
    one.report_to(1, &mut other);
    assert!(!other.is_blamed(SESSION));
    other.report_to(2, &mut one);
    assert!(!one.is_blamed(SESSION));
    one.report_to(1, &mut third);
    assert!(!third.is_blamed(SESSION));
    let reports = other
        .tracker
        .due_reports(MAX_REPORTED, other.now + Duration::from_secs(2));
    assert!(reports.is_empty(), "once is enough");
}

/// Guards against forgetting blamed blocks when all hosts restart.
#[test]
fn blamed_blocks_are_persisted() {
    let mut host = Host::new(1);
    host.tracker.record_block_completions(&[SHARED], host.now);
    host.crash(100..102, &[&[SHARED, DEADLY]]);
    let persistent = host.tracker.persistent_reports(host.now);
    let fingerprints: Vec<u64> = persistent.iter().map(|report| report.fingerprint).collect();
    assert_eq!(
        fingerprints,
        [DEADLY],
        "blocks that complete are not stored"
    );
    let mut restarted = Host::new(1);
    restarted.now = host.now;
    restarted.tracker.merge(1, &persistent, host.now);
    assert!(restarted.is_blamed(DEADLY));
}

/// Guards against refusing a harmless block for good that was lost whenever the deadly one was: after
/// a while one host lets one request try it. The deadly one, with more lost requests, waits longer.
#[test]
fn one_request_may_try_a_block_that_shares_the_blame() {
    let (mut one, mut other) = (Host::new(1), Host::new(2));
    one.crash(100..102, &[&[DEADLY], &[DEADLY], &[SESSION]]);
    one.report_to(1, &mut other);
    assert!(one.is_blamed(DEADLY) && one.is_blamed(SESSION));
    for host in [&mut one, &mut other] {
        host.now += Duration::from_secs(11);
    }
    assert!(other.is_blamed(SESSION), "only one of the hosts may try it");
    assert!(one.is_blamed(DEADLY) && !one.is_blamed(SESSION));
    one.tracker.begin_trials(&[SESSION], 5, one.now);
    let verdict = one.tracker.block_verdict(SESSION, 6, one.now);
    assert_ne!(verdict, Verdict::Clear, "only one request may try it");
    let verdict = one.tracker.block_verdict(SESSION, 5, one.now);
    assert_eq!(verdict, Verdict::Clear, "its second stage");
    one.tracker.record_block_completions(&[SESSION], one.now);
    one.report_to(1, &mut other);
    assert!(!one.is_blamed(SESSION) && !other.is_blamed(SESSION));
    assert!(other.is_blamed(DEADLY));
}

/// A block that alone explains its ends is tried rarely, and less often with each further end.
#[rstest]
#[case::two_ends(2, 60)]
#[case::three_ends(3, 120)]
#[case::many_ends(9, 480)]
fn a_blamed_block_is_tried_rarely(#[case] ends: u32, #[case] delay_s: u64) {
    let mut host = Host::new(1);
    host.crash(100..100 + ends, &[&[DEADLY]]);
    host.now += Duration::from_secs(delay_s - 1);
    assert!(host.is_blamed(DEADLY));
    host.now += Duration::from_secs(1);
    assert!(!host.is_blamed(DEADLY));
    host.tracker.begin_trials(&[DEADLY], 5, host.now);
    host.lose_request(5, &[DEADLY], 500, None);
    assert!(host.is_blamed(DEADLY));
    let verdict = host.tracker.block_verdict(DEADLY, 5, host.now);
    assert_ne!(verdict, Verdict::Clear, "the trial is over");
}

/// Load of the decision: 300 hosts report a full table of blamed blocks, most of them again and
/// again, while requests with long prompts are checked.
#[test]
fn a_full_table_of_blocks_costs_little() {
    let mut host = Host::new(1);
    let report = |block: u64, origin: u32| Report {
        subject: Subject::Block,
        fingerprint: block,
        losses: (0..2)
            .map(|number| LossReport {
                incarnation: origin * 2 + number,
                age: Duration::from_secs(u64::from(10 - number)),
                fate: Fate::Ended,
                request: number,
                requests: 1,
                ..LossReport::default()
            })
            .collect(),
        completed: None,
    };
    let reports: Vec<(u32, Vec<Report>)> = (0..300)
        .map(|origin| {
            let blocks = (0..MAX_REPORTED as u64).map(|number| u64::from(origin) * 8 + number);
            (origin, blocks.map(|block| report(block, origin)).collect())
        })
        .collect();
    for (origin, reports) in &reports {
        host.tracker.merge(*origin, reports, host.now);
    }
    let started_at = Instant::now();
    for (origin, reports) in &reports {
        host.tracker.merge(*origin, reports, host.now);
    }
    let merge_time = started_at.elapsed();
    assert!(merge_time < Duration::from_millis(300), "{merge_time:?}");
    let started_at = Instant::now();
    for request in 0..1000 {
        for block in 0..32 {
            host.tracker.block_verdict(block, request, host.now);
        }
    }
    let verdict_time = started_at.elapsed();
    assert!(verdict_time < Duration::from_secs(1), "{verdict_time:?}");
}
