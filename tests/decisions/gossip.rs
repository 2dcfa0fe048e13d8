//! Datagrams that are reordered, duplicated, or sent by another incarnation of a peer.

use std::time::Duration;
use std::time::Instant;

use pistachiohall::clock::Clock;
use pistachiohall::clock::Real;
use pistachiohall::gossip;
use pistachiohall::gossip::Datagram;
use pistachiohall::gossip::DatagramId;
use pistachiohall::gossip::PEER_TIMEOUT;
use pistachiohall::gossip::Peers;
use pistachiohall::gossip::SentTimes;
use rstest::rstest;

/// Maximum bytes per second of datagrams on the slowest link: a tenth of 10 Mbit/s.
const MAX_BYTES_PER_S: f64 = 125_000.0;
/// Size of the IP and UDP headers, in bytes.
const HEADER_BYTES: usize = 28;

fn datagram(started_at: u64, sequence: u64) -> Datagram {
    Datagram {
        host: "h2".into(),
        started_at,
        sequence,
        ..Datagram::default()
    }
}

#[test]
fn reordered_datagrams_do_not_restore_old_loads() {
    let mut peers = Peers::default();
    let from = "127.0.0.1:9".parse().unwrap();
    let now = Instant::now();
    assert!(peers.record(&datagram(5, 2), from, now));
    assert!(!peers.record(&datagram(5, 2), from, now));
    assert!(!peers.record(&datagram(5, 1), from, now));
    assert!(peers.record(&datagram(6, 1), from, now));
    assert!(!peers.record(&datagram(5, 9), from, now));
}

/// Guards against datagrams that saturate the hosts' links: connections to the store then time out
/// and segments from peers are lost, so a host learns late that an upstream is leaving.
#[rstest]
fn datagrams_from_all_peers_fit_the_link_of_a_host(
    #[values(7, 67, 73)] peers: usize,
    #[values(100, 250, 600)] bytes: usize,
) {
    let pause = gossip::interval(bytes, peers);
    let received = ((bytes + HEADER_BYTES) * peers) as f64 / pause.as_secs_f64();
    assert!(
        received <= MAX_BYTES_PER_S * 1.001,
        "{received} bytes a second"
    );
}

/// The clock of a host was set back before it restarted.
#[test]
fn an_incarnation_with_an_earlier_start_is_accepted_after_the_timeout() {
    let mut peers = Peers::default();
    let from = "127.0.0.1:9".parse().unwrap();
    let now = Instant::now();
    assert!(peers.record(&datagram(5, 100), from, now));
    let later = now + PEER_TIMEOUT + Duration::from_millis(1);
    assert!(peers.record(&datagram(3, 1), from, later));
    assert!(peers.record(&datagram(3, 2), from, later));
}

/// Peers that send datagrams receive each datagram, others only one every two seconds.
#[test]
fn silent_peers_are_sent_datagrams_less_often() {
    let mut peers = Peers::default();
    peers.add(&"h2".into(), "127.0.0.1:9".parse().unwrap());
    let start = Instant::now();
    let step = Duration::from_millis(20);
    let sent = (0..200_u32).filter(|tick| !peers.due(start + step * *tick).is_empty());
    assert_eq!(sent.count(), 2);
}

/// A segment of a peer is no older than the newest datagram of this host that the peer had received
/// when it queried the store.
#[test]
fn the_newest_datagram_of_each_host_of_the_domain_is_identified() {
    let mut peers = Peers::default();
    let from = "127.0.0.1:9".parse().unwrap();
    let now = Instant::now();
    let near = |sequence| Datagram {
        domain: "derby".into(),
        ..datagram(5, sequence)
    };
    peers.record(&near(8), from, now);
    peers.record(&near(7), from, now);
    let far = Datagram {
        host: "h3".into(),
        domain: "leicester".into(),
        ..datagram(5, 9)
    };
    peers.record(&far, from, now);
    let ids = peers.last_datagrams_in_domain(&"derby".into(), now);
    let id = DatagramId {
        incarnation: gossip::incarnation_digest("h2", 5),
        sequence: 8,
    };
    assert_eq!(ids, [id]);
    assert_ne!(
        gossip::incarnation_digest("h2", 6),
        id.incarnation,
        "another incarnation"
    );
    assert!(
        peers
            .last_datagrams_in_domain(&"derby".into(), now + PEER_TIMEOUT)
            .is_empty()
    );
}

/// The identifier of a datagram that was sent long ago proves nothing about the age of a segment.
#[test]
fn send_times_of_old_datagrams_are_dropped() {
    let mut sent = SentTimes::default();
    let now = Real.moment();
    sent.record(1, now);
    sent.record(3, now + PEER_TIMEOUT);
    assert_eq!(sent.at(1), None);
    assert_eq!(sent.at(2), None);
    assert_eq!(sent.at(3), Some(now + PEER_TIMEOUT));
}
