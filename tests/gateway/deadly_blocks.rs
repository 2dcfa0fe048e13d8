//! Tests of prompt blocks that crash the upstreams that generate on them, in requests no two of which
//! are alike.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use pistachiohall::standin::fleet::client::Client;
use pistachiohall::standin::fleet::mortal::CrashBehavior;
use pistachiohall::standin::fleet::mortal::CrashingUpstream;
use pistachiohall::standin::fleet::mortal::DEADLY_BLOCK;
use pistachiohall::standin::fleet::replica::ReceivedRequest;

use super::deployment::DARK_LATE;
use super::deployment::DEADLINE;
use super::deployment::Deployment;
use super::deployment::RESET;
use super::deployment::RESET_LATE;
use super::site::Gateway;

/// Crashes after which hosts have [`SETTLING_TIME`] to stop sending.
const MAX_CRASHES: usize = 5;
/// Requests with the block that may reach upstreams later.
const MAX_LATE_ARRIVALS: usize = 3;
/// Time from the last permitted crash until hosts must know of it.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time from the last crash until harmless requests must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Duration of the traffic, after which several recoveries would have passed.
const TRAFFIC_TIME: Duration = Duration::from_secs(12);
/// Interval between two rounds of requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(120);

/// Shape of the prompts.
#[derive(Clone, Copy)]
struct Shape {
    path: &'static str,
    /// Tokens of the prompt and of the response.
    sizes: &'static str,
    /// Tokens of each block.
    block_tokens: u32,
}

/// Prompts that are prefilled at one engine and decoded at another.
const SPLIT: Shape = Shape {
    path: "/ask",
    sizes: "9000,4",
    block_tokens: 2250,
};
/// Prompts that one engine prefills and decodes.
const SINGLE: Shape = Shape {
    path: "/draft",
    sizes: "200,4",
    block_tokens: 50,
};

/// A harmless request that was answered or refused.
struct Sent {
    at: Instant,
    status: u16,
}

/// Sends a request that differs from all others but shares its first block with all of them; returns
/// the status, or 0 if there is none.
fn send(gateway: &Gateway, shape: Shape, number: usize, second_block: &str) -> u16 {
    let tokens = shape.block_tokens;
    let blocks =
        format!("a1:{tokens},{second_block}:{tokens},c{number:x}:{tokens},f{number:x}:{tokens}");
    let fields = [
        ("Pistachiohall-Token-Count", shape.sizes),
        ("Pistachiohall-Prompt-Prefix", blocks.as_str()),
        DEADLINE,
    ];
    let id = format!("r{number}");
    let path = format!("{}/{number}", shape.path);
    let exchange = || {
        let mut client = Client::connect(gateway.callers())?;
        client.send("POST", &path, &id, &fields, id.as_bytes())?;
        client.receive()
    };
    exchange().map_or(0, |answer| answer.status)
}

/// Traffic of harmless requests, with one that holds the deadly block in each round.
struct Traffic {
    deployment: Deployment,
    shape: Shape,
    sent: usize,
    harmless: Vec<Sent>,
}

impl Traffic {
    fn new(hosts: usize, shape: Shape, behavior: CrashBehavior) -> Self {
        let mut traffic = Traffic {
            deployment: Deployment::new(hosts, behavior),
            shape,
            sent: 0,
            harmless: Vec::new(),
        };
        for _ in 0..4 {
            traffic.send_harmless();
        }
        traffic.harmless.clear();
        traffic
    }

    fn send(&mut self, host: usize, second_block: &str) -> u16 {
        self.sent += 1;
        let gateway = &self.deployment.gateways[host];
        send(gateway, self.shape, self.sent, second_block)
    }

    fn send_harmless(&mut self) {
        for host in 0..self.deployment.gateways.len() {
            let at = Instant::now();
            let status = self.send(host, "b1");
            self.harmless.push(Sent { at, status });
        }
    }

    fn run(&mut self, duration: Duration) {
        let started_at = Instant::now();
        while started_at.elapsed() < duration {
            let host = self.sent % self.deployment.gateways.len();
            self.send(host, DEADLY_BLOCK);
            self.send_harmless();
            std::thread::sleep(ROUND_INTERVAL);
        }
    }

    fn crashes(&self) -> Vec<Instant> {
        let mortals = self.deployment.mortals.iter();
        let mut crashes: Vec<Instant> = mortals.flat_map(CrashingUpstream::ends).collect();
        crashes.sort();
        crashes
    }

    /// Returns the number of requests with the deadly block that reached upstreams too late.
    fn late_arrivals(&self) -> usize {
        let Some(last) = self.crashes().get(MAX_CRASHES - 1).copied() else {
            return 0;
        };
        let is_late = |request: &ReceivedRequest| {
            let prefix = request.field("pistachiohall-prompt-prefix");
            request.at > last + SETTLING_TIME && prefix.contains(DEADLY_BLOCK)
        };
        let mortals = self.deployment.mortals.iter();
        let received = mortals.flat_map(CrashingUpstream::received);
        received.filter(is_late).count()
    }

    /// Returns the numbers of harmless requests that were served and sent once upstreams should have
    /// recovered.
    fn served_after_recovery(&self) -> (usize, usize) {
        let crashes = self.crashes();
        let last = crashes[crashes.len().min(MAX_CRASHES) - 1];
        let sent = self.harmless.iter();
        let sent: Vec<&Sent> = sent.filter(|sent| sent.at > last + RECOVERY_TIME).collect();
        let served = sent.iter().filter(|sent| sent.status == 200).count();
        (served, sent.len())
    }

    fn assert_contained(&self) {
        let crashes = self.crashes().len();
        assert!(crashes > 0, "no upstream generated on the block");
        let late = self.late_arrivals();
        assert!(
            late <= MAX_LATE_ARRIVALS,
            "{late} requests with the block reached upstreams late; {crashes} upstreams crashed"
        );
        let (served, sent) = self.served_after_recovery();
        assert!(sent >= 20, "only {sent} harmless requests were sent late");
        assert!(
            2 * served >= sent,
            "{served} of {sent} harmless requests were served; {crashes} upstreams crashed"
        );
    }
}

/// Guards against counting only losses of equal requests: the requests share nothing but a block
/// that crashes each upstream that generates on it.
#[rstest]
#[case::split_reset(SPLIT, RESET)]
#[case::split_reset_late(SPLIT, RESET_LATE)]
#[case::split_silent(SPLIT, DARK_LATE)]
#[case::single_reset(SINGLE, RESET_LATE)]
#[case::single_silent(SINGLE, DARK_LATE)]
fn a_block_that_crashes_upstreams_is_refused_in_the_end(
    #[case] shape: Shape,
    #[case] behavior: CrashBehavior,
) {
    let mut traffic = Traffic::new(2, shape, behavior);
    traffic.run(TRAFFIC_TIME);
    traffic.assert_contained();
}

/// Guards against hosts that forget, or never learn, which block crashed upstreams before they
/// started.
#[rstest]
#[case::one_restarts(&[1], false)]
#[case::all_restart(&[0, 1], false)]
#[case::one_joins(&[], true)]
fn hosts_that_start_refuse_a_block_that_crashed_upstreams(
    #[case] restarted: &[usize],
    #[case] is_added: bool,
) {
    let mut traffic = Traffic::new(2, SPLIT, RESET_LATE);
    for _ in 0..2 {
        traffic.run(Duration::from_secs(5));
        for host in restarted {
            traffic.deployment.gateways[*host].restart();
        }
        for host in restarted {
            traffic.deployment.wait_ready(*host);
        }
        if is_added {
            traffic.deployment.add_host();
        }
    }
    traffic.run(Duration::from_secs(5));
    traffic.assert_contained();
}
