//! Tests with configurations of hundreds of kilobytes at hosts with narrow links.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::gossip::Datagram;
use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::proxy::Link;
use pistachiohall::standin::fleet::proxy::Proxy;
use pistachiohall::standin::fleet::store::Store;
use prost::Message;
use serde_json::Value;
use serde_json::json;

use super::site::Gateway;
use super::site::NO_ORDERS;
use super::site::wait_for;

/// Routes that a large configuration has, about 200 bytes each.
const ROUTES: usize = 1400;
/// Link of a small host, 10 Mbit/s.
const LINK_BYTES_PER_S: u32 = 1_250_000;
/// The same while requests take up four fifths of it.
const BUSY_LINK_BYTES_PER_S: u32 = LINK_BYTES_PER_S / 5;
/// Time within which a confirmed configuration has to be in force on sites with small hosts.
const MAX_APPLY_TIME: Duration = Duration::from_secs(3);

/// Returns a configuration with many routes more, the last of which has `timeout_ms`.
fn large(version: u64, routes: usize, timeout_ms: u64) -> Value {
    let mut config = fleet::config(version);
    let more = (0..routes).map(|number| {
        json!({
            "name": format!("more-{number}"), "host": format!("host-{number}.example"),
            "path_prefix": format!("/more/{number}/"), "type": "safe", "timeout_ms": 1000,
            "target_latency_ms": 150, "priority": 2, "service": "desk", "max_attempts": 2,
        })
    });
    let all = config["routes"].as_array_mut().unwrap();
    all.extend(more);
    all.last_mut().unwrap()["timeout_ms"] = json!(timeout_ms);
    config
}

/// Returns a host that reaches a store through a link, and has the configuration 3.
fn linked_host() -> (Store, Proxy, Gateway) {
    let store = Store::start().unwrap();
    store.put_config(&fleet::config(3));
    let link = Proxy::start(store.address()).unwrap();
    let host = Gateway::start("h1", link.address(), NO_ORDERS);
    host.wait_line(&["config=3", "outcome=in-force"]);
    (store, link, host)
}

/// Guards against a host that never gets a configuration, since each read is given up and begun again
/// before the configuration has passed its link.
#[test]
fn a_large_configuration_passes_a_busy_link() {
    let (store, link, host) = linked_host();
    link.set(Link::Narrow(BUSY_LINK_BYTES_PER_S));
    store.put_config(&large(5, 3 * ROUTES, 1000));
    host.wait_line(&["config=5", "outcome=in-force"]);
}

/// Guards against a host that reads all the versions it has missed before the one that counts.
#[test]
fn a_host_that_missed_many_versions_adopts_the_newest_in_time() {
    let (store, link, host) = linked_host();
    link.set(Link::Reset);
    host.wait_line(&["topic=keyed.op", "outcome=lost"]);
    for version in 5..30 {
        store.put_config(&large(version, ROUTES, version));
    }
    link.set(Link::Narrow(LINK_BYTES_PER_S));
    let healed_at = Instant::now();
    host.wait_line(&["config=29", "outcome=in-force"]);
    let took = healed_at.elapsed();
    assert!(took < MAX_APPLY_TIME, "in force after {took:?}");
}

/// Guards against hosts that all read a configuration of hundreds of kilobytes from the store for a
/// change of one route, which their links and the store carry once for each version and host.
#[test]
fn a_change_of_a_large_configuration_costs_a_domain_one_read() {
    let store = Store::start().unwrap();
    store.put_config(&large(3, ROUTES, 1000));
    let hosts = ["h1", "h2"].map(|name| Gateway::start(name, store.address(), NO_ORDERS));
    for host in &hosts {
        host.wait_line(&["config=3", "outcome=in-force"]);
        host.wait_line(&["peers=1"]);
    }
    let is_received = (5..30).any(|version| {
        store.put_config(&large(version, ROUTES, version));
        let config = format!("config={version}");
        for host in &hosts {
            host.wait_line(&[&config, "outcome=in-force"]);
        }
        thread::sleep(Duration::from_millis(50));
        let is_shared = |host: &Gateway| host.line(&[&config, "source=peer-reading"]).is_some();
        hosts.iter().any(is_shared)
    });
    assert!(is_received, "each host reads each version from the store");
}

/// Peer that announces a configuration to a host, and sends it in parts.
struct SlowPeer {
    listener: TcpListener,
    socket: UdpSocket,
}

impl SlowPeer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let socket = UdpSocket::bind(listener.local_addr().unwrap()).unwrap();
        SlowPeer { listener, socket }
    }

    /// Sends `text` to each host that asks, in `parts` parts with `pause` between them.
    fn serve(&self, text: String, parts: usize, pause: Duration) {
        let listener = self.listener.try_clone().unwrap();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let text = text.clone();
                thread::spawn(move || send_slowly(stream, text.as_bytes(), parts, pause));
            }
        });
    }

    /// Announces that this peer serves the configuration `version`.
    fn announce(&self, host: SocketAddr, version: u64, sequence: u64) {
        let datagram = Datagram {
            host: "h0".into(),
            domain: "leicester".into(),
            started_at: 1,
            sequence,
            config_version: version,
            ..Datagram::default()
        };
        self.socket
            .send_to(&datagram.encode_to_vec(), host)
            .unwrap();
    }
}

/// Sends a response in parts; an error means that the host has closed the connection.
fn send_slowly(mut stream: TcpStream, text: &[u8], parts: usize, pause: Duration) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
    // A response before the request would belong to none.
    let mut request = [0; 4096];
    let has_request = stream.read(&mut request).is_ok_and(|length| length > 0);
    let mut is_open = has_request && stream.write_all(head.as_bytes()).is_ok();
    for part in text.chunks(text.len().div_ceil(parts)) {
        thread::sleep(pause);
        is_open = is_open && stream.write_all(part).is_ok();
    }
}

/// Guards against a host that cannot read the store and gives up on a peer's configuration, which takes
/// longer than a second to arrive.
#[test]
fn a_large_configuration_arrives_from_a_peer() {
    let (_store, link, host) = linked_host();
    link.set(Link::Reset);
    let peer = SlowPeer::start();
    let text = large(5, ROUTES, 1000).to_string();
    peer.serve(text, 6, Duration::from_millis(300));
    let mut sequence = 0;
    wait_for("the peer's configuration", || {
        sequence += 1;
        peer.announce(host.peers(), 5, sequence);
        host.line(&["config=5", "source=peer"]).is_some()
    });
}
