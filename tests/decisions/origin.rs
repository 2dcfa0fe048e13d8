//! Which build of a service began a stream.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::gossip::Datagram;
use pistachiohall::gossip::Peers;
use pistachiohall::gossip::RunningStreams;
use pistachiohall::id::BuildId;
use pistachiohall::id::ServiceId;
use pistachiohall::origin::Backup;
use pistachiohall::origin::Belief;
use pistachiohall::origin::Builds;
use pistachiohall::origin::History;
use pistachiohall::origin::Inference;
use pistachiohall::origin::Origins;
use pistachiohall::origin::Poll;
use pistachiohall::origin::Reading;
use pistachiohall::origin::Retention;
use pistachiohall::origin::Running;
use pistachiohall::origin::Stored;
use pistachiohall::origin::infer;
use prost::Message;
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

const V1: u32 = 1;
const V2: u32 = 2;

/// Guards against a build that is inferred where that is not sound: from an old registry, against a peer, without
/// those that are missing, or before all have answered; and against streams that are refused where it is.
#[rstest]
#[case::read_since(Belief::Only(V1), Reading::Current, &[], false, Inference::Build(V1))]
#[case::read_since_against_peers(Belief::Only(V1), Reading::Current, &[Some(None)], false, Inference::Build(V1))]
#[case::nobody_to_ask(Belief::Only(V1), Reading::Old, &[], false, Inference::Unknown)]
#[case::nobody_to_ask_yet(Belief::Only(V1), Reading::Due, &[], false, Inference::Pending)]
#[case::all_agree(Belief::Only(V1), Reading::Old, &[Some(Some(V1)); 3], false, Inference::Build(V1))]
#[case::started_lately(Belief::OnlyNow(V1), Reading::Old, &[Some(Some(V1)); 3], false, Inference::Build(V1))]
#[case::started_lately_alone(Belief::OnlyNow(V1), Reading::Current, &[], false, Inference::Unknown)]
#[case::a_host_is_silent(Belief::Only(V1), Reading::Old, &[Some(Some(V1)); 3], true, Inference::Unknown)]
#[case::one_knows_of_several(Belief::Only(V1), Reading::Old, &[Some(Some(V1)), Some(None)], false, Inference::Unknown)]
#[case::two_disagree(Belief::Only(V1), Reading::Old, &[Some(Some(V1)), Some(Some(V2))], false, Inference::Unknown)]
#[case::all_disagree_with_it(Belief::Only(V1), Reading::Old, &[Some(Some(V2)); 3], false, Inference::Unknown)]
#[case::it_knows_of_several(Belief::Several, Reading::Current, &[Some(Some(V1)); 3], false, Inference::Unknown)]
#[case::one_has_not_answered(Belief::Only(V1), Reading::Old, &[Some(Some(V1)), None], false, Inference::Pending)]
fn a_build_is_inferred_only_where_that_is_sound(
    #[case] belief: Belief,
    #[case] reading: Reading,
    #[case] answers: &[Option<Option<u32>>],
    #[case] has_silent_peers: bool,
    #[case] expected: Inference,
) {
    let mut poll = Poll::default();
    let peers = (1..).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let peers: Vec<SocketAddr> = peers.take(answers.len()).collect();
    poll.record_asked(peers.iter().copied(), has_silent_peers);
    for (peer, answer) in peers.iter().zip(answers) {
        if let Some(build) = answer {
            poll.record_answer(*peer, *build);
        }
    }
    assert_eq!(infer(belief, reading, &poll, false), expected);
    // Without more answers it is never decided otherwise than that nobody knows.
    let over = infer(belief, reading, &poll, true);
    match expected {
        Inference::Pending => assert!(!matches!(over, Inference::Build(_))),
        decided => assert_eq!(over, decided),
    }
}

/// Guards against a peer whose answer comes twice, as queries are repeated, and counts for another one that has
/// not answered.
#[test]
fn an_answer_that_comes_twice_counts_once() {
    let mut poll = Poll::default();
    let peers = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    poll.record_asked(peers, false);
    poll.record_answer(peers[0], Some(V1));
    poll.record_answer(peers[0], Some(V1));
    let decided = infer(Belief::Only(V1), Reading::Old, &poll, false);
    assert_eq!(decided, Inference::Pending);
}

/// Guards against hosts that keep the streams of many others, and against bytes beyond what a host may spend on control:
/// 410 hosts in 31 failure domains, 25,000 streams a second, 4 KB a second.
#[test]
fn running_streams_are_kept_by_peers_within_the_bytes_for_control() {
    const HOSTS: usize = 410;
    const STREAMS_PER_S: usize = 25_000;
    const MAX_BYTES_PER_S: usize = 4_000;
    let now = Instant::now();
    let names = |number: usize| (format!("h{number}"), format!("d{}", number % 31));
    let address = |number: usize| SocketAddr::from(([127, 0, 0, 1], 1 + number as u16));
    let mut kept = vec![0; HOSTS + 1];
    for own in 0..HOSTS {
        let mut peers = Peers::default();
        for number in (0..HOSTS).filter(|number| *number != own) {
            let (host, domain) = names(number);
            let datagram = Datagram {
                host,
                domain,
                ..Datagram::default()
            };
            peers.record(&datagram, address(number), now);
        }
        let (host, domain) = names(own);
        let own_names = (&host.as_str().into(), &domain.as_str().into());
        let backups: Vec<Backup> = peers.backups(own_names, now).collect();
        assert_eq!(backups.len(), 2);
        let domains = backups.iter().map(|(at, _)| (at.port() as usize - 1) % 31);
        let in_own_domain = domains.filter(|number| *number == own % 31);
        assert_eq!(in_own_domain.count(), 1);
        for (backup, _) in backups {
            kept[backup.port() as usize] += 1;
        }
    }
    assert!(kept.iter().max() <= Some(&10), "{:?}", kept.iter().max());
    let mut running = Running::default();
    let streams = (STREAMS_PER_S / HOSTS) as u64;
    for stream in 0..streams {
        running.begin(u64::MAX - stream, u32::MAX, false, now);
    }
    let backups = [(address(1), 1), (address(2), 1)];
    let due = running.due(&backups, 1024, now + Duration::from_secs(1));
    let datagram = Datagram {
        running: due
            .into_iter()
            .map(|(build, streams)| RunningStreams { build, streams })
            .collect(),
        ..Datagram::default()
    };
    let bytes = datagram.encoded_len() * backups.len();
    assert!(bytes < MAX_BYTES_PER_S, "{bytes} bytes a second");
}
