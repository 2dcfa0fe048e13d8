//! Hosts of a failure domain share their reads of the store.

use std::time::Duration;
use std::time::Instant;

use pistachiohall::follow::reader::Reader;
use pistachiohall::follow::reader::SegmentOutcome;
use pistachiohall::follow::reader::Update;
use pistachiohall::follow::share::Schedule;
use pistachiohall::follow::share::Segment;
use pistachiohall::id::Offset;
use pistachiohall::log::AppendError;
use pistachiohall::log::ReadError;
use pistachiohall::log::keyed::Changes;
use pistachiohall::log::keyed::ChangesError;
use pistachiohall::log::keyed::ConditionError;
use pistachiohall::log::keyed::Keyed;
use pistachiohall::log::keyed::Pair;
use pistachiohall::log::keyed::Record;
use rstest::rstest;

const INTERVAL: Duration = Duration::from_millis(600);
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);
const MAX_AGE: Duration = Duration::from_millis(1500);
const TOPIC: &str = "keyed.servers";

/// A store whose topic ends at this offset, with one record at each offset.
struct EndingAt(Offset);

fn record(offset: Offset) -> Record {
    Record {
        key: format!("c{offset}").into(),
        value: Some(vec![1]),
    }
}

impl Keyed for EndingAt {
    fn newest(&self, _topic: &str) -> Result<Changes, ReadError> {
        Ok(Changes {
            records: (0..self.0).map(record).collect(),
            next: self.0,
        })
    }

    fn changes(
        &self,
        _topic: &str,
        from: Offset,
        _wait: Duration,
    ) -> Result<Changes, ChangesError> {
        Ok(Changes {
            records: (from..self.0).map(record).collect(),
            next: self.0,
        })
    }

    fn put(&self, _topic: &str, _record: Pair<'_>) -> Result<Offset, AppendError> {
        unreachable!("readers do not write")
    }

    fn put_at(
        &self,
        _topic: &str,
        _record: Pair<'_>,
        _at: Offset,
    ) -> Result<Offset, ConditionError> {
        unreachable!("readers do not write")
    }
}

fn segment(from: Offset, next: Offset) -> Segment {
    Segment {
        topic: TOPIC,
        from,
        next,
        records: Some((from..next).map(record).collect()),
    }
}

fn reader_at(next: Offset) -> Reader {
    let mut reader = Reader::new(TOPIC);
    let read = reader.read(&EndingAt(next), Duration::ZERO).unwrap();
    assert!(matches!(read, Update::Full(_)));
    reader
}

#[test]
fn applies_segments_that_follow_its_own_read() {
    let mut reader = reader_at(5);
    assert_eq!(
        reader.apply(segment(5, 7)),
        SegmentOutcome::Next(vec![record(5), record(6)])
    );
    assert_eq!(reader.next(), Some(7));
    assert_eq!(
        reader.apply(segment(7, 7)),
        SegmentOutcome::Next(Vec::new())
    );
    let read = reader.read(&EndingAt(8), Duration::ZERO).unwrap();
    assert_eq!(read, Update::Changes(vec![record(7)]));
}

#[rstest]
#[case::a_segment_was_lost(segment(6, 7))]
#[case::segments_overlap(segment(4, 7))]
#[case::records_are_left_out(Segment { records: None, ..segment(5, 7) })]
fn incomplete_segments_require_a_read(#[case] segment: Segment) {
    let mut reader = reader_at(5);
    assert_eq!(reader.apply(segment), SegmentOutcome::Missing);
    assert_eq!(reader.next(), Some(5));
}

#[test]
fn segments_of_a_peer_that_is_behind_change_nothing() {
    let mut reader = reader_at(5);
    assert_eq!(reader.apply(segment(2, 4)), SegmentOutcome::Behind);
    assert_eq!(reader.next(), Some(5));
}

#[test]
fn segments_before_the_first_read_require_a_read() {
    let mut reader = Reader::new(TOPIC);
    assert_eq!(reader.apply(segment(0, 3)), SegmentOutcome::Missing);
    assert_eq!(reader.next(), None);
}

/// Simulates `hosts` of a domain for a minute, each of which reads the store when its schedule is
/// due; returns the number of reads and the longest time between two of them. From the twentieth
/// second on, the first `silent` hosts neither read nor send segments.
fn simulate_reads(hosts: usize, silent: usize) -> (usize, Duration) {
    let begin = Instant::now();
    let mut schedules: Vec<Schedule> = (0..hosts)
        .map(|_| Schedule::new(INTERVAL, FAILURE_BACKOFF, MAX_AGE, begin))
        .collect();
    let mut reads = 0;
    let mut newest = begin;
    let mut max_gap = Duration::ZERO;
    let end = begin + Duration::from_secs(60);
    for tick in 0..6000_u32 {
        let now = begin + Duration::from_millis(10) * tick;
        let first = if tick < 2000 { 0 } else { silent };
        for host in first..hosts {
            if schedules[host].due() > now {
                continue;
            }
            reads += 1;
            max_gap = max_gap.max(now - newest);
            newest = now;
            schedules[host].record_read(now);
            for (rank, schedule) in schedules.iter_mut().enumerate() {
                if rank != host {
                    schedule.record_peer_read(Some(now), now, rank);
                }
            }
        }
    }
    (reads, max_gap.max(end - newest))
}

#[rstest]
#[case::of_three_hosts(3)]
#[case::of_twenty_five_hosts(25)]
#[case::of_a_hundred_hosts(100)]
fn a_domain_reads_as_often_as_a_single_host(#[case] hosts: usize) {
    let (reads, _) = simulate_reads(hosts, 0);
    // One read every 600 ms for a minute, and one more for each host that starts.
    assert!(reads <= 100 + hosts, "{reads}");
}

#[rstest]
#[case::the_first(1)]
#[case::the_first_ten(10)]
#[case::all_but_the_last(24)]
fn another_host_takes_over_from_silent_ones_within_half_a_second(#[case] silent: usize) {
    let (_, max_gap) = simulate_reads(25, silent);
    let limit = INTERVAL + Duration::from_millis(500);
    assert!(max_gap <= limit, "{max_gap:?}");
}

#[test]
fn hosts_of_higher_rank_retry_less_often_in_an_outage() {
    let now = Instant::now();
    let mut schedule = Schedule::new(INTERVAL, FAILURE_BACKOFF, MAX_AGE, now);
    schedule.record_failure(now, 0, 9);
    assert_eq!(schedule.due(), now + FAILURE_BACKOFF);
    schedule.record_failure(now, 20, 9);
    assert_eq!(schedule.due(), now + Duration::from_secs(1));
}

/// A busy host whose reads fail twice must still learn within two seconds that an upstream is
/// leaving.
#[test]
fn the_first_failures_of_any_host_are_retried_at_once() {
    let now = Instant::now();
    let mut schedule = Schedule::new(INTERVAL, FAILURE_BACKOFF, MAX_AGE, now);
    schedule.record_failure(now, 20, 1);
    assert_eq!(schedule.due(), now + FAILURE_BACKOFF);
    schedule.record_failure(now, 20, 2);
    assert_eq!(schedule.due(), now + FAILURE_BACKOFF);
}

/// Simulates a host that receives a segment every 100 ms, `late` after the store was queried for
/// it; returns the maximum age of its data.
fn max_age(late: Duration, rank: usize) -> Duration {
    let begin = Instant::now();
    let mut schedule = Schedule::new(INTERVAL, FAILURE_BACKOFF, MAX_AGE, begin);
    let mut known = begin;
    let mut max_age = Duration::ZERO;
    for tick in 0..6000_u32 {
        let now = begin + Duration::from_millis(10) * tick;
        if schedule.due() <= now {
            schedule.record_read(now);
            known = now;
        }
        if tick % 10 == 0 {
            let queried_at = now.checked_sub(late).unwrap();
            schedule.record_peer_read(Some(queried_at), now, rank);
            known = known.max(queried_at);
        }
        max_age = max_age.max(now - known);
    }
    max_age
}

/// Guards against a host that doesn't read the store while segments from a peer arrive, even if
/// these were delayed for long on either host or on a full link.
#[rstest]
fn the_age_of_a_hosts_data_is_bounded(
    #[values(0, 300, 900, 1400, 2500, 10_000)] late_ms: u64,
    #[values(1, 5, 20)] rank: usize,
) {
    let max_age = max_age(Duration::from_millis(late_ms), rank);
    assert!(max_age <= MAX_AGE, "{max_age:?}");
}

/// A segment from a peer that cannot prove its age doesn't postpone the read.
#[test]
fn a_segment_of_unknown_age_postpones_no_read() {
    let now = Instant::now();
    let mut schedule = Schedule::new(INTERVAL, FAILURE_BACKOFF, MAX_AGE, now);
    schedule.record_read(now);
    schedule.record_peer_read(None, now + INTERVAL / 2, 1);
    assert_eq!(schedule.due(), now + INTERVAL);
}

/// An old segment from a peer doesn't advance the read either.
#[test]
fn an_old_segment_advances_no_read() {
    let now = Instant::now();
    let mut schedule = Schedule::new(INTERVAL, FAILURE_BACKOFF, MAX_AGE, now);
    let later = now + MAX_AGE;
    schedule.record_read(later);
    schedule.record_peer_read(Some(now), later, 1);
    assert_eq!(schedule.due(), later + INTERVAL);
}
