//! Hosts of a failure domain share their reads of the store.

use std::ops::Range;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::follow::reader::Reader;
use pistachiohall::follow::reader::SegmentOutcome;
use pistachiohall::follow::reader::Update;
use pistachiohall::follow::share;
use pistachiohall::follow::share::Schedule;
use pistachiohall::follow::share::Segment;
use pistachiohall::id::Era;
use pistachiohall::id::Offset;
use pistachiohall::log::AppendError;
use pistachiohall::log::ReadError;
use pistachiohall::log::keyed::Changes;
use pistachiohall::log::keyed::ChangesError;
use pistachiohall::log::keyed::ConditionError;
use pistachiohall::log::keyed::Keyed;
use pistachiohall::log::keyed::Pair;
use pistachiohall::log::keyed::Position;
use pistachiohall::log::keyed::Record;
use rstest::rstest;

const INTERVAL: Duration = Duration::from_millis(600);
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);
const MAX_AGE: Duration = Duration::from_millis(1500);
const TOPIC: &str = "keyed.servers";

/// Era of a store that was never restored.
const ERA: Era = 1;

/// A store in an era, whose topic ends at this offset, with one record at each offset.
struct Ending(Era, Offset);

/// Returns a store that was never restored, whose topic ends at `end`.
fn ending_at(end: Offset) -> Ending {
    Ending(ERA, end)
}

fn record(offset: Offset) -> Record {
    Record {
        key: format!("c{offset}").into(),
        value: Some(vec![1]),
    }
}

impl Keyed for Ending {
    fn newest(&self, _topic: &str) -> Result<Changes, ReadError> {
        Ok(Changes {
            records: (0..self.1).map(record).collect(),
            next: Position::new(self.0, self.1),
            pending: 0,
        })
    }

    fn changes(
        &self,
        _topic: &str,
        from: Position,
        _wait: Duration,
    ) -> Result<Changes, ChangesError> {
        let Some(from) = from.offset_in(self.0) else {
            return Err(ChangesError::Restored(self.0));
        };
        Ok(Changes {
            records: (from..self.1).map(record).collect(),
            next: Position::new(self.0, self.1),
            pending: 0,
        })
    }

    fn put(&self, _topic: &str, _record: Pair<'_>) -> Result<Position, AppendError> {
        unreachable!("readers do not write")
    }

    fn put_at(
        &self,
        _topic: &str,
        _record: Pair<'_>,
        _at: Position,
    ) -> Result<Position, ConditionError> {
        unreachable!("readers do not write")
    }

    fn newest_era(&self) -> Era {
        self.0
    }
}

fn segment(from: Offset, next: Offset) -> Segment {
    Segment {
        topic: TOPIC,
        era: ERA,
        from,
        next,
        records: Some((from..next).map(record).collect()),
        patch: None,
    }
}

fn reader_at(next: Offset) -> Reader {
    let mut reader = Reader::new(TOPIC);
    let read = reader.read(&ending_at(next), Duration::ZERO).unwrap();
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
    assert_eq!(reader.next(), Some(Position::new(ERA, 7)));
    assert_eq!(
        reader.apply(segment(7, 7)),
        SegmentOutcome::Next(Vec::new())
    );
    let read = reader.read(&ending_at(8), Duration::ZERO).unwrap();
    assert_eq!(read, Update::Changes(vec![record(7)]));
}

#[rstest]
#[case::a_segment_was_lost(segment(6, 7))]
#[case::segments_overlap(segment(4, 7))]
#[case::records_are_left_out(Segment { records: None, ..segment(5, 7) })]
fn incomplete_segments_require_a_read(#[case] segment: Segment) {
    let mut reader = reader_at(5);
    assert_eq!(reader.apply(segment), SegmentOutcome::Missing);
    assert_eq!(reader.next(), Some(Position::new(ERA, 5)));
}

#[test]
fn segments_of_a_peer_that_is_behind_change_nothing() {
    let mut reader = reader_at(5);
    assert_eq!(reader.apply(segment(2, 4)), SegmentOutcome::Behind);
    assert_eq!(reader.next(), Some(Position::new(ERA, 5)));
}

#[test]
fn segments_before_the_first_read_require_a_read() {
    let mut reader = Reader::new(TOPIC);
    assert_eq!(reader.apply(segment(0, 3)), SegmentOutcome::Missing);
    assert_eq!(reader.next(), None);
}

/// Guards against records that are skipped: the same offset stands for another record after a restore.
#[rstest]
#[case::at_its_offset(5)]
#[case::beyond_its_offset(9)]
#[case::below_its_offset(2)]
fn a_restored_store_is_read_in_full(#[case] end: Offset) {
    let mut reader = reader_at(5);
    let store = Ending(ERA + 1, end);
    let read = reader.read(&store, Duration::ZERO).unwrap();
    assert_eq!(read, Update::Outdated);
    let read = reader.read_in_full(&store).unwrap();
    assert_eq!(read, Update::Restored((0..end).map(record).collect()));
    assert!(!reader.is_restored());
    assert_eq!(reader.next(), Some(Position::new(ERA + 1, end)));
    let read = reader.read(&store, Duration::ZERO).unwrap();
    assert_eq!(read, Update::Changes(Vec::new()));
}

/// Guards against records of another history that are taken for known, for the next, or for old
/// ones, and against a host that never reads in full what came before them.
#[rstest]
#[case::taken_for_known(3, 5)]
#[case::taken_for_the_next(5, 7)]
#[case::taken_for_old(1, 3)]
fn a_segment_of_a_newer_era_is_applied_and_requires_a_full_read(
    #[case] from: Offset,
    #[case] next: Offset,
) {
    let mut reader = reader_at(5);
    let newer = Segment {
        era: ERA + 1,
        ..segment(from, next)
    };
    let records = (from..next).map(record).collect();
    assert_eq!(reader.apply(newer), SegmentOutcome::Restored(records));
    assert!(reader.is_restored());
    let store = Ending(ERA + 1, next + 1);
    let read = reader.read(&store, Duration::ZERO).unwrap();
    assert_eq!(read, Update::Changes(vec![record(next)]));
    assert!(reader.is_restored(), "the records before are not known");
    let read = reader.read_in_full(&store).unwrap();
    assert!(matches!(read, Update::Restored(_)));
    assert!(!reader.is_restored());
}

/// Guards against data from before a restore that counts as fresh, or is applied to what came after
/// it.
#[rstest]
#[case::with_records(5, 7)]
#[case::without_change(5, 5)]
fn segments_of_an_older_era_change_nothing(#[case] from: Offset, #[case] next: Offset) {
    let mut reader = Reader::new(TOPIC);
    reader.read(&Ending(ERA + 1, 5), Duration::ZERO).unwrap();
    assert_eq!(reader.apply(segment(from, next)), SegmentOutcome::Behind);
    assert_eq!(reader.next(), Some(Position::new(ERA + 1, 5)));
}

/// Guards against a late response of the store from before a restore that a peer has reported.
#[test]
fn a_full_read_of_an_older_era_is_not_adopted() {
    let mut reader = reader_at(5);
    let newer = Segment {
        era: ERA + 2,
        ..segment(5, 6)
    };
    reader.apply(newer);
    assert!(reader.read_in_full(&Ending(ERA + 1, 9)).is_err());
    assert!(reader.is_restored());
    assert!(reader.read_in_full(&Ending(ERA + 2, 9)).is_ok());
}

/// Guards against a host that reads nothing any more, since a peer has named an era that the store
/// doesn't have.
#[test]
fn a_peer_that_names_a_wrong_era_stops_no_reader() {
    let mut reader = reader_at(5);
    let wrong = Segment {
        era: ERA + 9,
        ..segment(5, 6)
    };
    reader.apply(wrong);
    assert!(reader.read_in_full(&ending_at(7)).is_err());
    assert!(reader.read_in_full(&ending_at(7)).is_ok());
    let read = reader.read(&ending_at(8), Duration::ZERO).unwrap();
    assert_eq!(read, Update::Changes(vec![record(7)]));
}

/// Guards against the load of all hosts that read everything at once after a restore: half of the
/// calls that the store allows a second, and of the bytes.
#[test]
fn three_hundred_hosts_stay_below_the_limits_of_a_restored_store() {
    const DOMAINS: u64 = 31;
    const HOSTS_PER_DOMAIN: usize = 10;
    const UPSTREAMS: usize = 12_000;
    const PAGE_BYTES: u64 = 500 * 340;
    const MAX_CALLS_PER_S: u64 = 1000;
    const MAX_BYTES_PER_S: u64 = 60_000_000;
    let pages = UPSTREAMS.div_ceil(500) as u64;
    let delays = (0..HOSTS_PER_DOMAIN).map(|rank| share::full_read_delay(rank, UPSTREAMS));
    let mut reads: Vec<Duration> = delays.collect();
    reads.sort_unstable();
    // A host reads its pages one after another, in less time than lies between two hosts.
    let interval = reads[1] - reads[0];
    let per_s = (DOMAINS * pages) as f64 / interval.as_secs_f64();
    assert!(per_s <= MAX_CALLS_PER_S as f64, "{per_s} calls a second");
    let bytes_per_s = per_s * PAGE_BYTES as f64;
    assert!(
        bytes_per_s <= MAX_BYTES_PER_S as f64,
        "{bytes_per_s} bytes a second"
    );
}

/// Guards against more writes than the store allows a second when all hosts write their entries again.
#[test]
fn hosts_refresh_their_entries_below_the_limit_of_the_store() {
    const MAX_WRITES_PER_S: usize = 400;
    let names = (0..410).map(|number| format!("front-derby-{number}"));
    let mut delays: Vec<Duration> = names
        .map(|name| share::refresh_delay(&name.into()))
        .collect();
    delays.sort_unstable();
    let within_second = |from: &Duration| {
        let until = *from + Duration::from_secs(1);
        delays
            .iter()
            .filter(|at| (*from..until).contains(at))
            .count()
    };
    let busiest = delays.iter().map(within_second).max();
    assert!(busiest < Some(MAX_WRITES_PER_S), "{busiest:?}");
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

/// The host that reads for 24 others falls silent: one of them takes over at once, and the others
/// learn of it before they would read as well.
#[test]
fn one_host_takes_over_from_a_reader_that_falls_silent() {
    const HOSTS: usize = 24;
    const LONG_POLL: Duration = Duration::from_millis(900);
    const DELAY: Duration = Duration::from_millis(10);
    let start = Instant::now();
    let mut schedules: Vec<Schedule> = (1..=HOSTS)
        .map(|rank| {
            let mut schedule = Schedule::new(LONG_POLL, FAILURE_BACKOFF, MAX_AGE, start);
            schedule.record_peer_read(Some(start), start, rank);
            schedule
        })
        .collect();
    // Reads under way: the host, when it asked, and when the others have its answer.
    let mut reads: Vec<(usize, Instant, Instant)> = Vec::new();
    let mut readers: Vec<usize> = Vec::new();
    for step in 0..2500 {
        let now = start + Duration::from_millis(step);
        for (host, schedule) in schedules.iter().enumerate() {
            let is_reading = reads.iter().any(|(reader, _, _)| *reader == host);
            if !is_reading && schedule.due() <= now {
                let wait = schedule.wait(LONG_POLL);
                reads.push((host, now, now + wait + DELAY));
                readers.push(host);
            }
        }
        let (ended, open) = reads.into_iter().partition(|(_, _, until)| *until <= now);
        reads = open;
        let ended: Vec<(usize, Instant, Instant)> = ended;
        for (reader, asked, _) in ended {
            for (host, schedule) in schedules.iter_mut().enumerate() {
                match host == reader {
                    true => {
                        schedule.record_own_read();
                        schedule.set_due(now);
                    }
                    false => schedule.record_peer_read(Some(asked), now, host + 1),
                }
            }
        }
    }
    readers.sort_unstable();
    readers.dedup();
    assert!(readers.len() <= 2, "{readers:?}");
}

/// Store of one key whose values are 280 KB, the text of a configuration with 1,400 routes, and whose reads
/// carry at most a megabyte. It counts what its readers get.
struct LargeValues {
    end: Offset,
    read_bytes: AtomicUsize,
}

impl LargeValues {
    const VALUE_BYTES: usize = 280_000;
    const MAX_RECORDS: Offset = 3;

    fn records(&self, offsets: Range<Offset>) -> Vec<Record> {
        let records: Vec<Record> = offsets.map(record).collect();
        let bytes = records.len() * Self::VALUE_BYTES;
        self.read_bytes.fetch_add(bytes, Ordering::Relaxed);
        records
    }
}

impl Keyed for LargeValues {
    fn newest(&self, _topic: &str) -> Result<Changes, ReadError> {
        Ok(Changes {
            records: self.records(self.end - 1..self.end),
            next: Position::new(ERA, self.end),
            pending: 0,
        })
    }

    fn changes(
        &self,
        _topic: &str,
        from: Position,
        _wait: Duration,
    ) -> Result<Changes, ChangesError> {
        let from = from.offset_in(ERA).expect("a position of this era");
        let next = self.end.min(from + Self::MAX_RECORDS);
        Ok(Changes {
            records: self.records(from..next),
            next: Position::new(ERA, next),
            pending: self.end - next,
        })
    }

    fn put(&self, _topic: &str, _record: Pair<'_>) -> Result<Position, AppendError> {
        unreachable!("readers do not write")
    }

    fn put_at(
        &self,
        _topic: &str,
        _record: Pair<'_>,
        _at: Position,
    ) -> Result<Position, ConditionError> {
        unreachable!("readers do not write")
    }

    fn newest_era(&self) -> Era {
        ERA
    }
}

/// Returns the bytes that a reader gets until it has read all of `missed` versions.
fn catch_up(reader: &mut Reader, missed: Offset) -> usize {
    let store = LargeValues {
        end: 5 + missed,
        read_bytes: AtomicUsize::new(0),
    };
    while reader.next() != Some(Position::new(ERA, store.end)) {
        reader.read(&store, Duration::ZERO).unwrap();
    }
    store.read_bytes.into_inner()
}

/// Guards against a host that needs longer to catch up, the more versions it has missed: 24 versions in
/// 8 s, as in a series of changes, take a link of 10 Mbit/s over five seconds.
#[rstest]
#[case::told_by_a_peer(true, 1)]
#[case::told_by_the_store(false, 1 + LargeValues::MAX_RECORDS as usize)]
fn a_reader_skips_the_versions_that_were_replaced(
    #[case] is_told_by_peer: bool,
    #[case] max_values: usize,
) {
    let mut reader = Reader::skipping(TOPIC);
    reader.read(&ending_at(5), Duration::ZERO).unwrap();
    if is_told_by_peer {
        let outcome = reader.apply(segment(28, 29));
        assert_eq!(outcome, SegmentOutcome::Missing);
    }
    let bytes = catch_up(&mut reader, 24);
    assert!(bytes <= max_values * LargeValues::VALUE_BYTES, "{bytes}");
}

/// Guards against a reader that reads all keys for each change.
#[test]
fn a_reader_that_missed_one_record_reads_it_alone() {
    let mut reader = Reader::skipping(TOPIC);
    reader.read(&ending_at(5), Duration::ZERO).unwrap();
    let omitted = Segment {
        records: None,
        ..segment(5, 6)
    };
    assert_eq!(reader.apply(omitted), SegmentOutcome::Missing);
    let read = reader.read(&ending_at(6), Duration::ZERO).unwrap();
    assert_eq!(read, Update::Changes(vec![record(5)]));
}
