//! Datagrams that cross, repeat, or come from another life of a peer.

use std::time::Duration;
use std::time::Instant;

use pistachiohall::gossip;
use pistachiohall::gossip::Datagram;
use pistachiohall::gossip::DatagramId;
use pistachiohall::gossip::PEER_TIMEOUT;
use pistachiohall::gossip::Peers;
use pistachiohall::gossip::SentTimes;
use rstest::rstest;

/// Bytes a second that a host's share of datagrams may take of the slowest link: a tenth of 10 Mbit/s.
const LINK_SHARE: f64 = 125_000.0;
/// Bytes of the headers of IP and UDP.
const HEADERS: usize = 28;

fn beat(started_at: u64, sequence: u64) -> Datagram {
    Datagram {
        host: "h2".into(),
        started_at,
        sequence,
        ..Datagram::default()
    }
}

#[test]
fn datagrams_that_cross_do_not_bring_back_old_loads() {
    let mut peers = Peers::default();
    let from = "127.0.0.1:9".parse().unwrap();
    let now = Instant::now();
    assert!(peers.record(&beat(5, 2), from, now));
    assert!(!peers.record(&beat(5, 2), from, now));
    assert!(!peers.record(&beat(5, 1), from, now));
    assert!(peers.record(&beat(6, 1), from, now));
    assert!(!peers.record(&beat(5, 9), from, now));
}

/// Guards against hosts that fill each other's links: connections to the store time out and what
/// peers have read is lost, so that a host learns late that an upstream leaves.
#[rstest]
fn what_a_host_hears_of_its_peers_fits_its_link(
    #[values(7, 67, 73)] peers: usize,
    #[values(100, 250, 600)] bytes: usize,
) {
    let pause = gossip::interval(bytes, peers);
    let heard = ((bytes + HEADERS) * peers) as f64 / pause.as_secs_f64();
    assert!(heard <= LINK_SHARE * 1.001, "{heard} bytes a second");
}

/// The clock of a host was set back before it started again.
#[test]
fn a_new_life_with_an_earlier_start_is_heard_after_a_silence() {
    let mut peers = Peers::default();
    let from = "127.0.0.1:9".parse().unwrap();
    let now = Instant::now();
    assert!(peers.record(&beat(5, 100), from, now));
    let later = now + PEER_TIMEOUT + Duration::from_millis(1);
    assert!(peers.record(&beat(3, 1), from, later));
    assert!(peers.record(&beat(3, 2), from, later));
}

/// Peers that answer are told each time, others once in a while.
#[test]
fn silent_peers_are_told_less_often() {
    let mut peers = Peers::default();
    peers.add(&"h2".into(), "127.0.0.1:9".parse().unwrap());
    let start = Instant::now();
    let step = Duration::from_millis(20);
    let told = (0..200_u32).filter(|tick| !peers.due(start + step * *tick).is_empty());
    assert_eq!(told.count(), 2);
}

/// What a peer tells is no older than the datagram of this host that it had heard before it asked.
#[test]
fn marks_name_the_newest_datagram_heard_of_each_near_host() {
    let mut peers = Peers::default();
    let from = "127.0.0.1:9".parse().unwrap();
    let now = Instant::now();
    let near = |sequence| Datagram {
        domain: "derby".into(),
        ..beat(5, sequence)
    };
    peers.record(&near(8), from, now);
    peers.record(&near(7), from, now);
    let far = Datagram {
        host: "h3".into(),
        domain: "leicester".into(),
        ..beat(5, 9)
    };
    peers.record(&far, from, now);
    let marks = peers.last_datagrams_near(&"derby".into(), now);
    let mark = DatagramId {
        incarnation: gossip::incarnation_digest("h2", 5),
        sequence: 8,
    };
    assert_eq!(marks, [mark]);
    assert_ne!(
        gossip::incarnation_digest("h2", 6),
        mark.incarnation,
        "another life"
    );
    assert!(
        peers
            .last_datagrams_near(&"derby".into(), now + PEER_TIMEOUT)
            .is_empty()
    );
}

/// A mark of a datagram that was sent long ago proves nothing.
#[test]
fn times_of_old_datagrams_are_forgotten() {
    let mut sent = SentTimes::default();
    let now = Instant::now();
    sent.record(1, now);
    sent.record(3, now + PEER_TIMEOUT);
    assert_eq!(sent.at(1), None);
    assert_eq!(sent.at(2), None);
    assert_eq!(sent.at(3), Some(now + PEER_TIMEOUT));
}
