//! Tests of the paces of engines that hosts tell one another.

use std::net::UdpSocket;

use prost::Message;

use pistachiohall::gossip;
use pistachiohall::gossip::Datagram;
use pistachiohall::gossip::Pace;

use super::site::NO_ORDERS;
use super::site::Site;
use super::site::wait_for;

/// Metric that counts the paces that were ignored.
const IGNORED: &str = "pistachiohall_roles_paces_ignored_total 2\n";

fn site(told: &str) -> Site {
    let settings = NO_ORDERS.replacen("[orders]\n", &format!("[orders]\n{told}"), 1);
    Site::start(&["c1"], &[("e1", "decode")], &settings)
}

/// Sends a datagram of a peer with two paces that no host can have measured.
fn send_impossible(site: &Site, sequence: u64) {
    let pace = |prefill| Pace {
        engine: gossip::digest("e1"),
        prefill,
        prefill_samples: 9,
        decode: 1000,
        decode_samples: u32::MAX,
    };
    let datagram = Datagram {
        host: "h0".into(),
        domain: "derby".into(),
        started_at: 1,
        sequence,
        paces: vec![pace(0), pace(u32::MAX)],
        ..Datagram::default()
    };
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let bytes = datagram.encode_to_vec();
    socket.send_to(&bytes, site.gateway.peers()).unwrap();
}

/// Guards against figures from a peer of another build that can't be true: they are ignored and
/// counted, and requests are served.
#[test]
fn impossible_paces_of_a_peer_are_ignored_and_counted() {
    let site = site("tell_paces = yes\n");
    send_impossible(&site, 1);
    wait_for("both paces are counted", || {
        site.gateway.metrics().contains(IGNORED)
    });
    assert_eq!(site.gateway.call("GET", "/read/a", "r1", &[]).status, 200);
}

/// A deployment whose settings don't call for it is served as before: paces are not read.
#[test]
fn paces_of_a_peer_are_not_read_unless_the_settings_say_so() {
    let site = site("");
    send_impossible(&site, 1);
    wait_for("the peer is heard", || {
        site.gateway
            .metrics()
            .contains("pistachiohall_peers_heard 1\n")
    });
    assert!(!site.gateway.metrics().contains("roles_paces_ignored"));
}
