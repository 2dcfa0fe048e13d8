//! Tests with entries that another writer has left among those of the upstreams.

use std::net::UdpSocket;

use prost::Message;
use rstest::rstest;

use pistachiohall::gossip;
use pistachiohall::gossip::Datagram;
use pistachiohall::platform::store;
use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::replica::Replica;
use pistachiohall::standin::fleet::store::Fault;
use pistachiohall::standin::fleet::store::Store;

use super::site::Gateway;
use super::site::NO_ORDERS;
use super::site::Site;
use super::site::wait_for;

/// Returns the text of an entry of a plain service with one more field.
fn entry_with(field: &str) -> Vec<u8> {
    format!(
        r#"{{"service": "desk", "address": "127.0.0.1:9", "zone": "derby", "slots": 8,
        "state": "ready", "sequence": 1, "born": 1, {field}}}"#
    )
    .into_bytes()
}

/// Returns the text of an entry of a plain service in which `from` is replaced.
fn entry_replacing(from: &str, to: &str) -> Vec<u8> {
    let text = String::from_utf8(entry_with(r#""odd": 1"#)).unwrap();
    assert!(text.contains(from));
    text.replace(from, to).into_bytes()
}

/// Returns the text of an entry with a field of arrays nested `depth` deep.
fn nested(depth: usize) -> Vec<u8> {
    entry_with(&format!(
        r#""models": {}{}"#,
        "[".repeat(depth),
        "]".repeat(depth)
    ))
}

/// Returns all odd entries. Their upstream doesn't exist; some of them are valid.
fn odd_entries() -> Vec<Vec<u8>> {
    let too_deep = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let numbers = [
        "-1",
        "18446744073709551615",
        "18446744073709551616",
        "1e400",
        "1.5",
        "9007199254740993",
    ];
    let fields = [r#""slots": 8"#, r#""sequence": 1"#, r#""born": 1"#];
    let mut entries = vec![
        nested(200),
        nested(20_000),
        too_deep.into_bytes(),
        entry_replacing("127.0.0.1:9", "127.0.0.1:70000"),
        entry_replacing("127.0.0.1:9", "127.0.0.1:0"),
        entry_replacing("127.0.0.1:9", "0.0.0.0:80"),
        entry_replacing("ready", "asleep"),
        entry_with(&format!(r#""note": "{}""#, "x".repeat(2 << 20))),
        b"{\"service\": \"desk\xff\xfe\"}".to_vec(),
        b"not an entry".to_vec(),
    ];
    for field in fields {
        let name = field.split(':').next().unwrap();
        let odd = numbers.map(|number| entry_replacing(field, &format!("{name}: {number}")));
        entries.extend(odd);
    }
    entries
}

/// Starts an upstream and waits until the gateway uses it.
fn assert_follows(gateway: &Gateway, store: &Store) {
    let added = Replica::start("c2", "desk", "derby", None).unwrap();
    added.register(store, "ready");
    gateway.wait_line(&["upstream=c2", "outcome=added"]);
    wait_for("an answer of the new upstream", || {
        gateway.call("GET", "/read/a", "r", &[]);
        added.runs() > 0
    });
}

/// Guards against hosts that end, or stop following the upstreams, at an entry that isn't an upstream's.
#[test]
fn a_host_follows_the_upstreams_past_odd_entries() {
    let mut site = Site::desks(&["c1"]);
    for (number, entry) in odd_entries().iter().enumerate() {
        let key = format!("odd-{number}");
        site.store.put(store::UPSTREAM_TOPIC, &key, entry);
    }
    assert_follows(&site.gateway, &site.store);
    site.gateway.restart();
    site.gateway.wait_ready();
    site.gateway.wait_line(&["upstream=c2", "outcome=added"]);
    site.store.remove(store::UPSTREAM_TOPIC, "c2");
    site.gateway.wait_line(&["upstream=c2", "outcome=removed"]);
    assert!(
        site.gateway
            .line(&["upstream=c1", "outcome=removed"])
            .is_none()
    );
}

/// Guards against an upstream that is lost for good: an entry under its name has a start time or a
/// count of writes that it never reaches.
#[rstest]
#[case::start_time(r#""born": 1"#, r#""born": 18446744073709551615"#)]
#[case::write_count(r#""sequence": 1"#, r#""sequence": 18446744073709551615"#)]
fn an_odd_entry_under_its_name_does_not_replace_an_upstream(#[case] from: &str, #[case] to: &str) {
    let site = Site::desks(&["c1"]);
    let odd = entry_replacing(from, to);
    site.store.put(store::UPSTREAM_TOPIC, "c1", &odd);
    site.gateway.wait_line(&["upstream=c1", "outcome=ignored"]);
    site.replicas["c1"].register(&site.store, "draining");
    site.gateway.wait_line(&["upstream=c1", "state=Draining"]);
}

/// Guards against a name that cannot stand in a request: without it any upstream at the address runs
/// the request.
#[rstest]
#[case::line_break("c\r\nX: 1")]
#[case::not_ascii("caf\u{e9}")]
#[case::empty("")]
fn an_upstream_whose_name_cannot_be_sent_gets_no_work(#[case] name: &str) {
    let site = Site::desks(&["c1"]);
    let other = Replica::start(name, "desk", "derby", None).unwrap();
    other.register(&site.store, "ready");
    site.gateway
        .wait_line(&["entry=unreadable", "outcome=ignored"]);
    for number in 0..20 {
        let answer = site
            .gateway
            .call("GET", "/read/a", &format!("r{number}"), &[]);
        assert_eq!(answer.status, 200);
    }
    assert!(other.received().is_empty());
}

/// Guards against one bad item of a page that hides all others from a host that starts.
#[rstest]
#[case::not_base64(br#"{"key": "odd", "value": "?", "offset": 1}"#)]
#[case::no_value(br#"{"key": "odd", "offset": 1}"#)]
#[case::no_key(br#"{"value": "e30=", "offset": 1}"#)]
#[case::a_key_that_is_a_number(br#"{"key": 7, "value": "e30=", "offset": 1}"#)]
#[case::half_a_character(br#"{"key": "\ud800", "value": "e30=", "offset": 1}"#)]
#[case::bytes_in_the_key(b"{\"key\": \"\xff\xfe\", \"value\": \"e30=\", \"offset\": 1}")]
#[case::an_offset_that_is_too_large(br#"{"key": "odd", "value": "e30=", "offset": 1e400}"#)]
#[case::not_an_item(b"7")]
fn a_bad_item_hides_no_other(#[case] item: &[u8]) {
    let store = Store::start().unwrap();
    store.put_config(&fleet::config(3));
    store.list_odd_item(store::UPSTREAM_TOPIC, item);
    store.list_odd_item(store::CONFIG_TOPIC, item);
    let replica = Replica::start("c1", "desk", "derby", None).unwrap();
    replica.register(&store, "ready");
    let gateway = Gateway::start("h1", store.address(), NO_ORDERS);
    gateway.wait_ready();
    gateway.wait_line(&["upstream=c1", "outcome=added"]);
    assert_follows(&gateway, &store);
}

/// Guards against a deeply nested item that ends a host or hides all other items.
#[test]
fn a_deeply_nested_item_hides_no_other() {
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let item = format!(r#"{{"key": "odd", "value": {nested}, "offset": 1}}"#);
    a_bad_item_hides_no_other(item.as_bytes());
}

/// Guards against hosts that end, or stop following the upstreams, at an odd entry that a peer has read.
#[test]
fn a_host_follows_the_upstreams_past_odd_entries_from_a_peer() {
    let site = Site::desks(&["c1"]);
    site.store.set_fault(Fault::Down);
    site.gateway
        .wait_line(&["topic=keyed.servers", "outcome=lost"]);
    let end = site.store.end(store::UPSTREAM_TOPIC);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let entries = odd_entries();
    let small = entries.into_iter().filter(|entry| entry.len() < 1000);
    let records = small.enumerate().map(|(number, entry)| {
        let key = format!("odd-{number}");
        site.store.put(store::UPSTREAM_TOPIC, &key, &entry);
        gossip::Record {
            key,
            value: Some(entry),
        }
    });
    let records: Vec<gossip::Record> = records.collect();
    let segment = gossip::Segment {
        topic: store::UPSTREAM_TOPIC.into(),
        era: 1,
        from: end,
        next: end + records.len() as u64,
        records,
        ..gossip::Segment::default()
    };
    let datagram = Datagram {
        host: "h0".into(),
        domain: "derby".into(),
        started_at: 1,
        sequence: 1,
        segments: vec![segment],
        ..Datagram::default()
    };
    let datagram = datagram.encode_to_vec();
    socket.send_to(&datagram, site.gateway.peers()).unwrap();
    site.gateway
        .wait_line(&["entry=unreadable", "outcome=ignored"]);
    site.store.set_fault(Fault::None);
    assert_follows(&site.gateway, &site.store);
}
