//! Tests of streams at engines that leave as planned, one after the other.

use std::thread;
use std::time::Duration;

use pistachiohall::platform::store;
use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::client::Client;
use pistachiohall::standin::fleet::replica::Replica;
use pistachiohall::standin::fleet::store::Store;
use rstest::rstest;
use serde_json::json;

use super::site::Gateway;
use super::site::NO_ORDERS;

/// Number of streams in a test.
const STREAMS: usize = 8;
/// Events of each stream, and the pause between two of them.
const EVENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(400);

/// How an engine announces that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Announcement {
    /// Its entry says so.
    Draining,
    /// Its entry is removed.
    Removed,
}

/// A host and its engines.
struct Site {
    store: Store,
    host: Gateway,
    engines: Vec<Replica>,
}

impl Site {
    fn start() -> Self {
        let store = Store::start().unwrap();
        let mut config = fleet::config(3);
        for route in config["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = json!(20_000);
            route["max_attempts"] = json!(3);
        }
        store.put_config(&config);
        let host = Gateway::start("h1", store.address(), NO_ORDERS);
        Site {
            store,
            host,
            engines: Vec::new(),
        }
    }

    fn name(number: usize) -> String {
        format!("e{number}")
    }

    /// Starts the next engine.
    fn add(&mut self) {
        let name = Site::name(self.engines.len());
        let engine = Replica::start(&name, "lm", "derby", Some("decode")).unwrap();
        engine.set_pause(PAUSE);
        engine.register(&self.store, "ready");
        self.host
            .wait_line(&[&format!("upstream={name}"), "outcome=added"]);
        self.engines.push(engine);
    }

    /// Has the host know that an engine leaves.
    fn announce(&self, number: usize, announcement: Announcement) {
        let name = Site::name(number);
        let outcome = match announcement {
            Announcement::Draining => {
                self.engines[number].register(&self.store, "draining");
                "outcome=changed"
            }
            Announcement::Removed => {
                self.store.remove(store::UPSTREAM_TOPIC, &name);
                "outcome=removed"
            }
        };
        self.host.wait_line(&[&format!("upstream={name}"), outcome]);
    }

    /// Ends an engine with all its connections.
    fn exit(&self, number: usize) {
        self.store
            .remove(store::UPSTREAM_TOPIC, &Site::name(number));
        self.engines[number].end();
        self.engines[number].cut_connections();
    }

    /// Sends requests for streams, no two of which are alike.
    fn begin(&self) -> Vec<Client> {
        let begin = |number: usize| {
            let mut client = self.host.client();
            let prefix = format!("{:x}:80,{:x}:120", 2 * number + 1, 2 * number + 2);
            let tokens = format!("200,{EVENTS}");
            let fields = [
                ("Pistachiohall-Token-Count", tokens.as_str()),
                ("Pistachiohall-Prompt-Prefix", prefix.as_str()),
            ];
            let id = format!("r{number}");
            let body = format!("draft {number}");
            client
                .send("POST", "/ask/a", &id, &fields, body.as_bytes())
                .unwrap();
            client
        };
        (0..STREAMS).map(begin).collect()
    }
}

/// Returns how many streams came whole.
fn count_whole(streams: Vec<Client>) -> usize {
    let mut answers = streams.into_iter().map(|mut stream| stream.receive());
    let is_whole = |answer: &std::io::Result<_>| {
        let answer: &fleet::client::Answer = answer.as_ref().unwrap();
        answer.is_complete && answer.body.matches("id: ").count() == EVENTS
    };
    let answers: Vec<_> = answers.by_ref().collect();
    answers.iter().filter(|answer| is_whole(answer)).count()
}

/// Guards against streams that are refused as suspects since two engines under them have left as planned.
#[rstest]
#[case::draining(Announcement::Draining)]
#[case::entry_removed(Announcement::Removed)]
fn a_stream_goes_on_after_two_engines_have_left(#[case] announcement: Announcement) {
    let mut site = Site::start();
    site.add();
    let streams = site.begin();
    for leaving in 0..2 {
        site.add();
        // It serves on for as long as the platform gives it.
        thread::sleep(Duration::from_secs(1));
        site.announce(leaving, announcement);
        thread::sleep(Duration::from_millis(500));
        site.exit(leaving);
    }
    let whole = count_whole(streams);
    assert_eq!(whole, STREAMS);
}

/// Guards against a request that crashes engines and is sent on and on because these had announced that they leave:
/// it crashes them as it begins to run, and what they announced does not explain that.
#[test]
fn an_engine_that_crashes_while_it_leaves_counts_as_crashed() {
    let mut site = Site::start();
    site.add();
    let streams = site.begin();
    for leaving in 0..2 {
        site.add();
        site.announce(leaving, Announcement::Draining);
        site.exit(leaving);
    }
    assert_eq!(count_whole(streams), 0);
    assert_eq!(site.engines[2].runs(), 0);
}
