//! Hosts of a failure domain read the store in turns.

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

const PAUSE: Duration = Duration::from_millis(600);
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
const MOST_AGE: Duration = Duration::from_millis(1500);
const TOPIC: &str = "keyed.servers";

/// A store whose topic ends at this offset, one record an offset.
struct Ending(Offset);

fn record(offset: Offset) -> Record {
    Record {
        key: format!("c{offset}").into(),
        value: Some(vec![1]),
    }
}

impl Keyed for Ending {
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
    let read = reader.read(&Ending(next), Duration::ZERO).unwrap();
    assert!(matches!(read, Update::Full(_)));
    reader
}

#[test]
fn takes_over_what_follows_its_own_reading() {
    let mut reader = reader_at(5);
    assert_eq!(
        reader.take(segment(5, 7)),
        SegmentOutcome::Next(vec![record(5), record(6)])
    );
    assert_eq!(reader.next(), Some(7));
    assert_eq!(reader.take(segment(7, 7)), SegmentOutcome::Next(Vec::new()));
    let read = reader.read(&Ending(8), Duration::ZERO).unwrap();
    assert_eq!(read, Update::Changes(vec![record(7)]));
}

#[rstest]
#[case::a_segment_was_lost(segment(6, 7))]
#[case::segments_overlap(segment(4, 7))]
#[case::records_are_left_out(Segment { records: None, ..segment(5, 7) })]
fn reads_by_itself_what_it_was_not_told_whole(#[case] told: Segment) {
    let mut reader = reader_at(5);
    assert_eq!(reader.take(told), SegmentOutcome::Missing);
    assert_eq!(reader.next(), Some(5));
}

#[test]
fn a_peer_that_knows_less_changes_nothing() {
    let mut reader = reader_at(5);
    assert_eq!(reader.take(segment(2, 4)), SegmentOutcome::Behind);
    assert_eq!(reader.next(), Some(5));
}

#[test]
fn reads_everything_before_it_is_told_changes() {
    let mut reader = Reader::new(TOPIC);
    assert_eq!(reader.take(segment(0, 3)), SegmentOutcome::Missing);
    assert_eq!(reader.next(), None);
}

/// Plays `hosts` of a domain for a minute of told time, all at the store when their turn comes;
/// returns how often it was read. The hosts before `silent` neither read nor tell from the
/// twentieth second on.
fn readings(hosts: usize, silent: usize) -> (usize, Duration) {
    let begin = Instant::now();
    let mut turns: Vec<Schedule> = (0..hosts)
        .map(|_| Schedule::new(PAUSE, FAILURE_PAUSE, MOST_AGE, begin))
        .collect();
    let mut reads = 0;
    let mut newest = begin;
    let mut longest = Duration::ZERO;
    let end = begin + Duration::from_secs(60);
    for tick in 0..6000_u32 {
        let now = begin + Duration::from_millis(10) * tick;
        let first = if tick < 2000 { 0 } else { silent };
        for host in first..hosts {
            if turns[host].due() > now {
                continue;
            }
            reads += 1;
            longest = longest.max(now - newest);
            newest = now;
            turns[host].record_read(now);
            for (rank, turn) in turns.iter_mut().enumerate() {
                if rank != host {
                    turn.note_told(Some(now), now, rank);
                }
            }
        }
    }
    (reads, longest.max(end - newest))
}

#[rstest]
#[case::of_three_hosts(3)]
#[case::of_twenty_five_hosts(25)]
#[case::of_a_hundred_hosts(100)]
fn a_domain_reads_as_often_as_one_host(#[case] hosts: usize) {
    let (reads, _) = readings(hosts, 0);
    // Once every 600 ms in a minute, and once more for each host that starts.
    assert!(reads <= 100 + hosts, "{reads}");
}

#[rstest]
#[case::the_first(1)]
#[case::the_first_ten(10)]
#[case::all_but_the_last(24)]
fn silent_hosts_are_stood_in_for_within_half_a_second(#[case] silent: usize) {
    let (_, longest) = readings(25, silent);
    let limit = PAUSE + Duration::from_millis(500);
    assert!(longest <= limit, "{longest:?}");
}

#[test]
fn an_outage_is_asked_about_more_rarely_by_later_hosts() {
    let now = Instant::now();
    let mut turn = Schedule::new(PAUSE, FAILURE_PAUSE, MOST_AGE, now);
    turn.record_failure(now, 0, 9);
    assert_eq!(turn.due(), now + FAILURE_PAUSE);
    turn.record_failure(now, 20, 9);
    assert_eq!(turn.due(), now + Duration::from_secs(1));
}

/// Pattern: a busy host whose readings fail twice has to learn within two seconds that an upstream
/// leaves.
#[test]
fn the_first_failures_of_any_host_are_followed_up_at_once() {
    let now = Instant::now();
    let mut turn = Schedule::new(PAUSE, FAILURE_PAUSE, MOST_AGE, now);
    turn.record_failure(now, 20, 1);
    assert_eq!(turn.due(), now + FAILURE_PAUSE);
    turn.record_failure(now, 20, 2);
    assert_eq!(turn.due(), now + FAILURE_PAUSE);
}

/// Plays a host that is told a reading each 100 ms, `late` after the store was asked for it; returns
/// the greatest age of what it knows.
fn oldest(late: Duration, rank: usize) -> Duration {
    let begin = Instant::now();
    let mut turn = Schedule::new(PAUSE, FAILURE_PAUSE, MOST_AGE, begin);
    let mut known = begin;
    let mut oldest = Duration::ZERO;
    for tick in 0..6000_u32 {
        let now = begin + Duration::from_millis(10) * tick;
        if turn.due() <= now {
            turn.record_read(now);
            known = now;
        }
        if tick % 10 == 0 {
            let asked = now.checked_sub(late).unwrap();
            turn.note_told(Some(asked), now, rank);
            known = known.max(asked);
        }
        oldest = oldest.max(now - known);
    }
    oldest
}

/// Guards against a host that does not read by itself for as long as a peer's readings come, however
/// long they wait on either host or on a full link.
#[rstest]
fn what_a_host_knows_has_a_greatest_age(
    #[values(0, 300, 900, 1400, 2500, 10_000)] late_ms: u64,
    #[values(1, 5, 20)] rank: usize,
) {
    let oldest = oldest(Duration::from_millis(late_ms), rank);
    assert!(oldest <= MOST_AGE, "{oldest:?}");
}

/// A peer that cannot prove how old its reading is puts nothing off.
#[test]
fn a_reading_of_unknown_age_puts_nothing_off() {
    let now = Instant::now();
    let mut turn = Schedule::new(PAUSE, FAILURE_PAUSE, MOST_AGE, now);
    turn.record_read(now);
    turn.note_told(None, now + PAUSE / 2, 1);
    assert_eq!(turn.due(), now + PAUSE);
}

/// An old reading does not bring a turn forward either.
#[test]
fn an_old_reading_brings_no_turn_forward() {
    let now = Instant::now();
    let mut turn = Schedule::new(PAUSE, FAILURE_PAUSE, MOST_AGE, now);
    let later = now + MOST_AGE;
    turn.record_read(later);
    turn.note_told(Some(now), later, 1);
    assert_eq!(turn.due(), later + PAUSE);
}
