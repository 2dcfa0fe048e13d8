//! Which build of a service began a stream.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::gossip::Datagram;
use pistachiohall::gossip::Peers;
use pistachiohall::id::BuildId;
use pistachiohall::id::ServiceId;
use pistachiohall::origin::Builds;
use pistachiohall::origin::History;
use pistachiohall::origin::Origins;
use pistachiohall::origin::Retention;
use pistachiohall::origin::Stored;
use rstest::rstest;

/// Twice the longest timeout of a stream on the users' sites.
const MEMORY: Duration = Duration::from_secs(30);

fn builds(names: &[&str]) -> BTreeSet<BuildId> {
    names.iter().map(|name| BuildId::from(*name)).collect()
}

/// Returns what a host knows that starts while `current` serve and the store has `stored`.
fn started(current: &[&str], stored: Option<(&[&str], Option<Duration>)>, now: Instant) -> Builds {
    let stored = stored.map(|(names, age)| Stored {
        builds: builds(names),
        age,
        memory: MEMORY,
    });
    let mut known = Builds::default();
    known.update(builds(current), now);
    known.compare(stored.as_ref(), now);
    known
}

/// Guards against a host that takes the build it finds for the only one, although another one served until
/// shortly before.
#[rstest]
#[case::first_start(&["v1"], None, true)]
#[case::since_ever(&["v1"], Some((&["v1"][..], None)), true)]
#[case::for_long(&["v1"], Some((&["v1"][..], Some(MEMORY))), true)]
#[case::since_lately(&["v1"], Some((&["v1"][..], Some(MEMORY / 2))), false)]
#[case::other_has_left(&["v2"], Some((&["v1", "v2"][..], None)), false)]
#[case::all_replaced(&["v2"], Some((&["v1"][..], None)), false)]
#[case::two_serve(&["v1", "v2"], Some((&["v1", "v2"][..], None)), false)]
fn a_host_that_starts_knows_the_only_build(
    #[case] current: &[&str],
    #[case] stored: Option<(&[&str], Option<Duration>)>,
    #[case] is_only: bool,
) {
    let now = Instant::now();
    let known = started(current, stored, now);
    assert_eq!(known.only(MEMORY, now).is_some(), is_only);
}

/// Guards against streams that are refused for good after a restart: in the end only one build is left.
#[test]
fn a_host_learns_the_only_build_in_time() {
    let now = Instant::now();
    let known = started(&["v2"], Some((&["v1", "v2"], None)), now);
    assert_eq!(known.only(MEMORY, now + MEMORY / 2), None);
    assert_eq!(known.only(MEMORY, now + MEMORY).unwrap(), "v2");
}

/// Guards against a host that forgets a build with its last upstream, while streams of it may be taken up.
#[test]
fn a_build_that_has_left_counts_as_long_as_its_streams() {
    let now = Instant::now();
    let mut known = started(&["v1"], None, now);
    known.update(builds(&["v2"]), now);
    assert_eq!(known.only(MEMORY, now + MEMORY / 2), None);
    assert_eq!(known.only(MEMORY, now + MEMORY).unwrap(), "v2");
}

/// Guards against a build that comes and goes between two writes to the store, so that it is missing there.
#[test]
fn a_build_that_served_for_a_moment_is_stored_as_a_change() {
    let now = Instant::now();
    let mut known = started(&["v1"], Some((&["v1"], None)), now);
    assert_eq!(known.unstored(MEMORY, now), None);
    known.update(builds(&["v1", "v2"]), now);
    known.update(builds(&["v1"]), now);
    let unstored = known.unstored(MEMORY, now + MEMORY / 3).unwrap();
    assert_eq!(unstored.builds, builds(&["v1"]));
    assert_eq!(unstored.age, Some(MEMORY / 3));
    known.record_stored(&unstored.builds);
    assert_eq!(known.unstored(MEMORY, now), None);
}

/// Guards against a registry that is empty for a moment, which would end the knowledge of all streams.
#[test]
fn missing_entries_are_no_change_of_builds() {
    let now = Instant::now();
    let mut known = started(&["v1"], None, now);
    known.update(BTreeSet::new(), now);
    known.update(builds(&["v1"]), now);
    assert_eq!(known.only(MEMORY, now).unwrap(), "v1");
}

/// Guards against memory that grows with the streams: 25,000 requests a second, of which none is forgotten.
#[test]
fn the_memory_of_streams_is_bounded() {
    let now = Instant::now();
    let mut origins = Origins::default();
    for stream in 0..750_000 {
        origins.record(stream, 7, false, now);
    }
    let remembered = (0..750_000).filter(|stream| origins.build(*stream).is_some());
    assert_eq!(remembered.count(), 1 << 16);
    assert_eq!(origins.build(749_999), Some(7));
    origins.forget(MEMORY, now + MEMORY + Duration::from_millis(1));
    assert_eq!(origins.build(749_999), None);
}

/// Guards against hosts that do not agree on which of them remember a stream, and against work for streams
/// that grows with the number of hosts: 410 hosts in 31 failure domains.
#[test]
fn hosts_agree_on_the_keepers_of_a_stream() {
    let now = Instant::now();
    let hosts: Vec<(String, String)> = (0..410)
        .map(|number| (format!("h{number}"), format!("d{}", number % 31)))
        .collect();
    let address = |number: usize| ([127, 0, 0, 1], 1 + number as u16).into();
    let peers_of = |own: usize| {
        let mut peers = Peers::default();
        for (number, (host, domain)) in hosts
            .iter()
            .enumerate()
            .filter(|(number, _)| *number != own)
        {
            let datagram = Datagram {
                host: host.clone(),
                domain: domain.clone(),
                ..Datagram::default()
            };
            peers.record(&datagram, address(number), now);
        }
        peers
    };
    let views = [0, 1, 200].map(|own| (own, peers_of(own)));
    for stream in 0..20 {
        let mut keepers = views.iter().map(|(own, peers)| {
            let (host, domain) = &hosts[*own];
            let own_names = (&host.as_str().into(), &domain.as_str().into());
            let mut keepers = peers.keepers(stream, 3, own_names, now);
            if keepers.len() < 3 {
                keepers.push(address(*own));
            }
            keepers.sort();
            keepers
        });
        let first = keepers.next().unwrap();
        assert_eq!(first.len(), 3);
        assert!(keepers.all(|keepers| keepers == first));
    }
}

/// Guards against a stream that is forgotten while its caller takes it up again and again: memory counts from the
/// last time that it was.
#[test]
fn a_stream_is_remembered_from_its_last_attempt_on() {
    let now = Instant::now();
    let mut origins = Origins::default();
    for attempt in 0..4 {
        origins.record(1, 7, true, now + MEMORY * attempt / 2);
    }
    let later = now + MEMORY * 2;
    origins.forget(MEMORY, later);
    assert_eq!(origins.build(1), Some(7));
    origins.forget(MEMORY, later + MEMORY);
    assert_eq!(origins.build(1), None);
}

/// Guards against a host that starts under a shorter timeout and takes the build that is left for the only one: streams
/// of the other began under the longer timeout, which is in the store.
#[test]
fn a_host_that_starts_remembers_for_as_long_as_the_store_says() {
    let (now, shorter) = (Instant::now(), MEMORY / 10);
    let service = ServiceId::from("lm");
    let mut history = History::default();
    history.update([(service.clone(), builds(&["v2"]))].into(), shorter, now);
    let stored = Stored {
        builds: builds(&["v2"]),
        age: Some(MEMORY / 2),
        memory: MEMORY,
    };
    history.compare(&[(service.clone(), stored)].into(), now);
    assert_eq!(history.only(&service, now + MEMORY / 3), None);
    assert_eq!(history.only(&service, now + MEMORY / 2).unwrap(), "v2");
}

/// Guards against a memory of past timeouts that grows with 34,000 configurations a day, each with a shorter one.
#[test]
fn past_timeouts_are_forgotten() {
    let now = Instant::now();
    let interval = Duration::from_millis(2_541);
    let mut retention = Retention::default();
    for number in 0..34_000_u32 {
        let time = MEMORY * 2 - Duration::from_millis(u64::from(number));
        retention.set(time, now + interval * number);
    }
    let text = format!("{retention:?}");
    assert!(text.len() < 64 * 100, "{} bytes", text.len());
}
