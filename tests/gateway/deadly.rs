//! Requests that end the upstreams that run them, and requests that only look like these.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use pistachiohall::explain::Account;
use pistachiohall::gateway::call;
use pistachiohall::gateway::suspect;
use pistachiohall::platform::ingress;
use pistachiohall::platform::store;
use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::client::Client;
use pistachiohall::standin::fleet::mortal::Death;
use pistachiohall::standin::fleet::mortal::Mortal;
use pistachiohall::standin::fleet::mortal::Nature;
use pistachiohall::standin::fleet::mortal::Role;
use pistachiohall::standin::fleet::replica::Manner;
use pistachiohall::standin::fleet::store::Store;

use super::site::Gateway;
use super::site::LONG_PROMPT;
use super::site::NO_ORDERS;
use super::site::SHORT_PROMPT;
use super::site::Site;
use super::site::wait_for;

/// Upstreams that one request may end, over all hosts.
const MOST_ENDED: usize = 3;
/// Time from an upstream's end to its next life; shorter than the lapse of its entry.
const BACK_SOON: Duration = Duration::from_millis(700);
/// The same where the entry lapses first.
const BACK_LATE: Duration = Duration::from_millis(1500);
/// Deadline that callers name, in milliseconds.
const DEADLINE: (&str, &str) = ("Pistachiohall-Deadline-Ms", "700");

/// A request that comes again and again.
#[derive(Clone, Copy)]
struct Kind {
    method: &'static str,
    path: &'static str,
    body: &'static [u8],
    prompt: &'static [(&'static str, &'static str)],
}

const ACT: Kind = Kind {
    method: "POST",
    path: "/act/deadly",
    body: b"order 7",
    prompt: &[],
};
const ACT_EMPTY: Kind = Kind { body: b"", ..ACT };
const READ: Kind = Kind {
    method: "GET",
    path: "/read/deadly",
    body: b"",
    prompt: &[],
};
const DRAFT: Kind = Kind {
    method: "POST",
    path: "/draft/deadly",
    body: b"words",
    prompt: &SHORT_PROMPT,
};
const LONG_ASK: Kind = Kind {
    method: "POST",
    path: "/ask/deadly",
    body: b"a dossier",
    prompt: &LONG_PROMPT,
};

/// Upstreams that can end, a store, and hosts.
struct Ward {
    gateways: Vec<Gateway>,
    mortals: Vec<Mortal>,
    store: Store,
    sent: usize,
}

impl Ward {
    fn new(hosts: usize, nature: Nature) -> Self {
        let store = Store::start().unwrap();
        store.put_config(&fleet::config(3));
        let role = |name, service, stage| Role {
            name,
            service,
            stage,
        };
        let roles = [
            role("c1", "desk", None),
            role("c2", "desk", None),
            role("c3", "desk", None),
            role("c4", "desk", None),
            role("p1", "lm", Some("prefill")),
            role("p2", "lm", Some("prefill")),
            role("p3", "lm", Some("prefill")),
            role("p4", "lm", Some("prefill")),
            role("d1", "lm", Some("decode")),
            role("d2", "lm", Some("decode")),
            role("d3", "lm", Some("decode")),
            role("d4", "lm", Some("decode")),
        ];
        let start = |role| Mortal::start(store.registry(), role, nature).unwrap();
        let mortals: Vec<Mortal> = roles.into_iter().map(start).collect();
        let mut ward = Ward {
            gateways: Vec::new(),
            mortals,
            store,
            sent: 0,
        };
        for _ in 0..hosts {
            ward.add_host();
        }
        ward
    }

    fn add_host(&mut self) {
        let name = format!("h{}", self.gateways.len() + 1);
        let gateway = Gateway::start(&name, self.store.address(), NO_ORDERS);
        self.gateways.push(gateway);
        self.wait_ready(self.gateways.len() - 1);
    }

    fn wait_ready(&self, host: usize) {
        let gateway = &self.gateways[host];
        gateway.wait_ready();
        let peers = self.gateways.len() - 1;
        if peers > 0 {
            gateway.wait_line(&[&format!("peers={peers}")]);
        }
    }

    fn restart(&mut self, host: usize) {
        self.gateways[host].restart();
        self.wait_ready(host);
    }

    /// Sends a request to a host under a new identifier; nothing comes back if the connection ends.
    fn send(&mut self, host: usize, kind: Kind) -> Option<Answer> {
        self.sent += 1;
        let id = format!("r{}", self.sent);
        send(&self.gateways[host], &id, kind)
    }

    fn ended(&self) -> usize {
        self.mortals.iter().map(|mortal| mortal.ends().len()).sum()
    }

    /// Waits until all upstreams live and all hosts know it.
    fn wait_whole(&self) {
        std::thread::sleep(BACK_LATE + Duration::from_millis(500));
    }

    fn assert_few_ended(&self) {
        let ended = self.ended();
        assert!(ended > 0, "the request never ran");
        assert!(ended <= MOST_ENDED, "{ended} upstreams have ended");
    }

    /// Checks that a request to the same upstreams that ends none is served by each host.
    fn assert_others_are_served(&mut self, kind: Kind) {
        let path: &'static str = match kind.path {
            "/act/deadly" => "/act/sound",
            "/read/deadly" => "/read/sound",
            "/draft/deadly" => "/draft/sound",
            _ => "/ask/sound",
        };
        for host in 0..self.gateways.len() {
            let answer = self.send(host, Kind { path, ..kind });
            assert_eq!(answer.map_or(0, |answer| answer.status), 200);
        }
    }
}

fn send(gateway: &Gateway, id: &str, kind: Kind) -> Option<Answer> {
    let mut fields = kind.prompt.to_vec();
    fields.push(DEADLINE);
    let mut client = Client::connect(gateway.callers()).ok()?;
    client
        .send(kind.method, kind.path, id, &fields, kind.body)
        .ok()?;
    client.receive().ok()
}

const RESET: Nature = Nature {
    death: Death::Reset,
    back_after: BACK_SOON,
    keeps_name: true,
    spares_readers: false,
};
const RESET_LATE: Nature = Nature {
    back_after: BACK_LATE,
    keeps_name: false,
    ..RESET
};
const DARK: Nature = Nature {
    death: Death::Dark,
    ..RESET
};
const DARK_LATE: Nature = Nature {
    death: Death::Dark,
    ..RESET_LATE
};

/// Guards against a request that ends upstreams, returns under new identifiers, and is sent on for
/// as long as it comes.
#[rstest]
#[case::unsafe_reset(ACT, RESET)]
#[case::unsafe_reset_empty(ACT_EMPTY, RESET_LATE)]
#[case::unsafe_dark(ACT, DARK)]
#[case::unsafe_dark_empty(ACT_EMPTY, DARK_LATE)]
#[case::safe_reset(READ, RESET)]
#[case::safe_dark(READ, DARK_LATE)]
#[case::stream_reset(DRAFT, RESET_LATE)]
#[case::stream_dark(DRAFT, DARK)]
#[case::readers_reset(LONG_ASK, RESET)]
#[case::readers_dark(LONG_ASK, DARK_LATE)]
#[case::generators_reset(LONG_ASK, Nature { spares_readers: true, ..RESET_LATE })]
#[case::generators_dark(LONG_ASK, Nature { spares_readers: true, ..DARK })]
fn a_request_that_ends_upstreams_is_not_sent_on_for_ever(
    #[case] kind: Kind,
    #[case] nature: Nature,
) {
    let mut ward = Ward::new(1, nature);
    for _ in 0..8 {
        ward.send(0, kind);
        std::thread::sleep(Duration::from_millis(250));
    }
    ward.wait_whole();
    for _ in 0..2 {
        ward.send(0, kind);
    }
    ward.assert_few_ended();
    ward.assert_others_are_served(kind);
}

/// Guards against losses that nobody notes since the caller leaves before the upstream is given up.
#[test]
fn callers_that_leave_early_do_not_hide_what_their_request_ends() {
    let mut ward = Ward::new(1, DARK);
    for _ in 0..8 {
        ward.sent += 1;
        let mut client = ward.gateways[0].client();
        let id = format!("r{}", ward.sent);
        client
            .send(ACT.method, ACT.path, &id, &[DEADLINE], ACT.body)
            .unwrap();
        std::thread::sleep(Duration::from_millis(200));
        drop(client);
        std::thread::sleep(Duration::from_millis(300));
    }
    ward.assert_few_ended();
    ward.assert_others_are_served(ACT);
}

/// A request that crashes each upstream that runs it is not sent to a third one.
#[test]
fn holds_back_a_request_that_crashes_upstreams() {
    let mut ward = Ward::new(1, RESET_LATE);
    let statuses: Vec<u16> = (0..5)
        .map(|_| ward.send(0, ACT).map_or(0, |answer| answer.status))
        .collect();
    assert_eq!(statuses, [502, 502, 503, 503, 503]);
    let ran = ward.mortals.iter().flat_map(Mortal::seen);
    assert_eq!(ran.filter(|seen| seen.ran).count(), 2);
    let another = Kind {
        path: "/act/a",
        body: b"another",
        ..ACT
    };
    let answer = ward.send(0, another);
    assert_eq!(answer.map_or(0, |answer| answer.status), 200);
}

/// Guards against a host that does not know what another one has seen: it is started later, or
/// again.
#[rstest]
#[case::reset(ACT, RESET)]
#[case::dark(ACT, DARK)]
#[case::readers(LONG_ASK, RESET)]
fn a_host_that_starts_learns_of_suspects(#[case] kind: Kind, #[case] nature: Nature) {
    let mut ward = Ward::new(2, nature);
    for _ in 0..3 {
        ward.send(0, kind);
    }
    ward.wait_whole();
    for _ in 0..2 {
        ward.restart(1);
        for _ in 0..3 {
            ward.send(1, kind);
        }
        ward.wait_whole();
    }
    ward.add_host();
    for _ in 0..3 {
        ward.send(2, kind);
    }
    ward.assert_few_ended();
    ward.assert_others_are_served(kind);
}

/// Guards against a host that reaches the store and no peers: it does not hear what they have seen.
#[test]
fn a_host_that_hears_no_peer_learns_of_suspects_from_the_store() {
    let mut ward = Ward::new(1, RESET);
    // It has looked for peers once, and does so again much later.
    std::thread::sleep(Duration::from_secs(2));
    let nowhere = br#"{"peer": "127.0.0.1:9", "domain": "derby"}"#;
    ward.store.put(store::HOST_TOPIC, "h1", nowhere);
    let second = Gateway::start("h2", ward.store.address(), NO_ORDERS);
    second.wait_ready();
    ward.gateways.push(second);
    // It looks for peers a while after its start, and finds one that it does not reach.
    std::thread::sleep(Duration::from_secs(3));
    for _ in 0..3 {
        ward.send(0, ACT);
    }
    std::thread::sleep(Duration::from_secs(5));
    for _ in 0..3 {
        ward.send(1, ACT);
    }
    ward.assert_few_ended();
    assert!(ward.gateways[1].line(&["peers=1"]).is_none());
    ward.assert_others_are_served(ACT);
}

/// Guards against a fleet that forgets suspects when all its hosts start again.
#[rstest]
#[case::reset(ACT, RESET)]
#[case::dark(DRAFT, DARK_LATE)]
fn suspects_outlast_a_restart_of_all_hosts(#[case] kind: Kind, #[case] nature: Nature) {
    let mut ward = Ward::new(2, nature);
    for _ in 0..3 {
        for host in 0..2 {
            ward.send(host, kind);
            ward.send(host, kind);
        }
        ward.wait_whole();
        for host in 0..2 {
            ward.gateways[host].restart();
        }
        ward.wait_ready(0);
        ward.wait_ready(1);
    }
    ward.assert_few_ended();
}

/// Guards against counts of which the greater is believed: two hosts that see one end each.
#[test]
fn what_two_hosts_have_seen_adds_up() {
    let mut ward = Ward::new(3, RESET);
    ward.send(0, ACT);
    ward.wait_whole();
    ward.send(1, ACT);
    ward.wait_whole();
    ward.send(2, ACT);
    ward.wait_whole();
    for host in [0, 1, 2, 0] {
        ward.send(host, ACT);
    }
    ward.assert_few_ended();
}

/// A cut answer of an upstream that goes on living accuses nobody.
#[rstest]
#[case::cut_short(Manner::Short)]
#[case::reset(Manner::Reset)]
#[case::foreign(Manner::Foreign)]
#[case::unsigned(Manner::Unsigned)]
#[case::silent(Manner::Hang)]
fn upstreams_that_go_on_living_make_no_request_a_suspect(#[case] manner: Manner) {
    let site = Site::desks(&["c1", "c2"]);
    let kind = Kind {
        path: "/act/a",
        ..ACT
    };
    for round in 0..12 {
        let is_wrong = round % 3 != 2;
        for replica in site.replicas.values() {
            replica.set_manner(if is_wrong { manner } else { Manner::Sound });
        }
        let answer = send(&site.gateway, &format!("r{round}"), kind);
        let status = answer.map_or(0, |answer| answer.status);
        assert_ne!(status, 503, "round {round}");
        if !is_wrong {
            assert_eq!(status, 200, "round {round}");
        }
    }
}

/// A popular request is not to blame for upstreams that end by themselves while they run it.
#[rstest]
#[case::reset(RESET)]
#[case::dark(DARK_LATE)]
fn a_popular_request_outlives_upstreams_that_end_by_themselves(#[case] nature: Nature) {
    let mut ward = Ward::new(2, nature);
    let kind = Kind {
        path: "/read/popular",
        ..READ
    };
    for mortal in &ward.mortals {
        mortal.with(|life| life.set_pause(Duration::from_millis(30)));
    }
    let begun = Instant::now();
    let mut refused = 0;
    let mut served = 0;
    for round in 0..6 {
        std::thread::scope(|scope| {
            let ward = &ward;
            let callers: Vec<_> = (0..8)
                .map(|caller| {
                    scope.spawn(move || {
                        let answers = (0..12).map(|number| {
                            let id = format!("p{round}-{caller}-{number}");
                            let answer = send(&ward.gateways[caller % 2], &id, kind);
                            answer.map_or(0, |answer| answer.status)
                        });
                        answers.collect::<Vec<u16>>()
                    })
                })
                .collect();
            std::thread::sleep(Duration::from_millis(60));
            // Two of four end at once.
            for desk in [round % 4, (round + 1) % 4] {
                ward.mortals[desk].with(|life| life.end());
            }
            for caller in callers {
                let statuses = caller.join().unwrap();
                served += statuses.iter().filter(|status| **status == 200).count();
                refused += statuses.iter().filter(|status| **status == 503).count();
            }
        });
        std::thread::sleep(BACK_LATE);
    }
    assert!(served > 0, "{:?}", begun.elapsed());
    let log: String = ward.gateways.iter().map(Gateway::log).collect();
    assert!(!log.contains("suspect refused"), "{refused} refused");
    ward.sent += 1;
    ward.assert_others_are_served(kind);
}

/// Guards against a question for each request that an upstream took with it.
#[test]
fn an_upstream_that_ended_is_asked_once_for_all_it_took_with_it() {
    let ward = Ward::new(1, DARK_LATE);
    for mortal in &ward.mortals {
        mortal.with(|life| life.set_pause(Duration::from_millis(300)));
    }
    std::thread::scope(|scope| {
        for number in 0..16 {
            let gateway = &ward.gateways[0];
            scope.spawn(move || {
                let kind = Kind {
                    path: "/act/a",
                    ..ACT
                };
                send(gateway, &format!("r{number}"), kind)
            });
        }
        std::thread::sleep(Duration::from_millis(150));
        for mortal in &ward.mortals {
            mortal.with(|life| life.cut_connections());
        }
    });
    std::thread::sleep(Duration::from_secs(1));
    let asked = ward.gateways[0].gauge("suspect_probes_total");
    assert!(
        (1..=4).contains(&asked),
        "{asked} questions to four upstreams"
    );
}

/// The log, the metrics and `explain` tell what is known of a suspect and how old that is.
#[test]
fn tells_why_a_suspect_is_refused() {
    let mut ward = Ward::new(1, RESET);
    wait_for("a refusal", || {
        let answer = ward.send(0, ACT);
        answer.is_some_and(|answer| answer.status == 503)
    });
    let gateway = &ward.gateways[0];
    gateway.wait_line(&["exchange ended without an answer", "work=whole"]);
    gateway.wait_line(&[
        "suspect refused",
        "fingerprint=",
        "upstreams=2",
        "oldest_ms=",
    ]);
    wait_for("the gauge", || gateway.gauge("suspects") > 0);
    let refused = format!("r{}", ward.sent);
    gateway.wait_line(&["request ended", &format!("request={refused}")]);
    let account = Account::gather(&refused, gateway.log().lines()).to_string();
    assert!(account.contains(suspect::REASON), "{account}");
    let lost = account.matches("exchange ended without an answer").count();
    assert_eq!(lost, 2, "{account}");
}

/// Tries of one request are told by what is asked and by whom, and by nothing that changes with
/// each try.
#[rstest]
#[case::identifier("pistachiohall-request-id", "r2", true)]
#[case::deadline("pistachiohall-deadline-ms", "300", true)]
#[case::agent("user-agent", "another", true)]
#[case::caller("authorization", "another", false)]
#[case::host("host", "another.example", false)]
#[case::prompt("pistachiohall-prompt-prefix", "a1:50,b2:31", false)]
fn tries_of_one_request_have_one_digest(
    #[case] field: &'static str,
    #[case] value: &'static str,
    #[case] is_same: bool,
) {
    let head = |field: &'static str, value: &'static str| {
        let mut request = http::Request::post("/act/a?x=1").body(()).unwrap();
        let fields = [
            ("host", "a.example"),
            ("pistachiohall-request-id", "r1"),
            ("pistachiohall-deadline-ms", "700"),
            ("pistachiohall-token-count", "81,4"),
            ("pistachiohall-prompt-prefix", "a1:50,b2:30"),
            ("user-agent", "one"),
            ("authorization", "one"),
            (field, value),
        ];
        for (name, value) in fields {
            let value = http::HeaderValue::from_static(value);
            request.headers_mut().insert(name, value);
        }
        ingress::ask(&request.into_parts().0).unwrap()
    };
    let (one, other) = (head("host", "a.example"), head(field, value));
    let is_equal = call::fingerprint(&one, b"") == call::fingerprint(&other, b"");
    assert_eq!(is_equal, is_same);
    assert_ne!(
        call::fingerprint(&one, b"a body"),
        call::fingerprint(&one, b"another")
    );
}
