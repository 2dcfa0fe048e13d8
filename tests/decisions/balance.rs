//! Balance of plain services over all hosts, each test under the load that it answers: hosts that
//! decide on loads up to 0.4 s old, before a few upstreams.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use pistachiohall::balance;
use pistachiohall::balance::Board;
use pistachiohall::balance::Decision;
use pistachiohall::balance::Place;
use pistachiohall::balance::Queue;
use pistachiohall::balance::Rejection;
use pistachiohall::balance::Report;
use pistachiohall::balance::Request;
use pistachiohall::balance::Turn;

const STEP: Duration = Duration::from_millis(1);
const SLOTS: u32 = 6;
const MAX_WAITING: usize = 24;
const TARGET: Duration = Duration::from_millis(150);
const DEADLINE: Duration = Duration::from_millis(1500);
const CROSS_DOMAIN_S: f64 = 0.002;
/// Service times of the fast upstreams and the slow one of a customer, at work of 30 ms.
const UNEVEN_MS: [u64; 3] = [25, 25, 55];
/// Requests per second at the customer's mean and at the peak.
const MEAN_RATE: f64 = 175.0;
const PEAK_RATE: f64 = 332.0;

#[derive(Clone, Copy)]
struct Sent {
    host: usize,
    ticket: u64,
    arrived: Instant,
    sent: Instant,
    response: Duration,
    service_share: f64,
    load: f64,
}

/// An upstream that serves requests in order of arrival.
#[derive(Default)]
struct Upstream {
    service: Duration,
    is_silent: bool,
    running: Vec<(Instant, Sent)>,
    waiting: VecDeque<Sent>,
}

/// Hosts before upstreams, on a clock of their own.
struct World {
    started_at: Instant,
    now: Instant,
    hosts: Vec<Board>,
    upstreams: Vec<Upstream>,
    report_age: Duration,
    random: StdRng,
    held: Vec<(Instant, usize, Instant)>,
    counts: Counts,
}

#[derive(Debug, Default, Clone)]
struct Counts {
    sent: Vec<usize>,
    on_time: usize,
    late: usize,
    rejected: usize,
    refused: usize,
    good_forecasts: usize,
}

impl Counts {
    fn share_on_time(&self) -> f64 {
        let all = self.on_time + self.late + self.rejected + self.refused;
        self.on_time as f64 / all as f64
    }

    fn share_good(&self) -> f64 {
        self.good_forecasts as f64 / (self.on_time + self.late) as f64
    }
}

impl World {
    fn new(hosts: usize, service_ms: &[u64], report_age: Duration) -> Self {
        let now = Instant::now();
        let mut boards: Vec<Board> = (0..hosts).map(|_| Board::default()).collect();
        for board in &mut boards {
            let upstreams = 0..service_ms.len() as u32;
            board.set_upstreams(upstreams.map(|digest| (digest, SLOTS)), now);
        }
        let upstreams = service_ms.iter().map(|millis| Upstream {
            service: Duration::from_millis(*millis),
            ..Upstream::default()
        });
        let mut world = World {
            started_at: now,
            now,
            hosts: boards,
            upstreams: upstreams.collect(),
            report_age,
            random: StdRng::seed_from_u64(7),
            held: Vec::new(),
            counts: Counts::default(),
        };
        world.reset();
        world
    }

    fn reset(&mut self) -> Counts {
        let sent = vec![0; self.upstreams.len()];
        let fresh = Counts {
            sent,
            ..Counts::default()
        };
        std::mem::replace(&mut self.counts, fresh)
    }

    /// Runs for `time` with `rate` requests per second at the first `hosts` hosts.
    fn run(&mut self, time: Duration, rate: f64, hosts: usize) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.serve();
            self.report();
            let (due, held): (Vec<_>, Vec<_>) =
                self.held.drain(..).partition(|(at, _, _)| *at <= self.now);
            self.held = held;
            for (_, host, arrived) in due {
                self.send(host, arrived);
            }
            let mut expected = rate * STEP.as_secs_f64();
            while expected > 0.0 {
                if self.random.random::<f64>() < expected.min(1.0) {
                    let host = self.random.random_range(0..hosts);
                    self.send(host, self.now);
                }
                expected -= 1.0;
            }
        }
    }

    fn serve(&mut self) {
        let now = self.now;
        for index in 0..self.upstreams.len() {
            let upstream = &mut self.upstreams[index];
            if upstream.is_silent {
                continue;
            }
            let is_done = |(until, _): &mut (Instant, Sent)| *until <= now;
            let done: Vec<_> = upstream.running.extract_if(.., is_done).collect();
            while upstream.running.len() < SLOTS as usize
                && let Some(next) = upstream.waiting.pop_front()
            {
                upstream.running.push((now + upstream.service, next));
            }
            for (_, sent) in done {
                let board = &mut self.hosts[sent.host];
                let took = now - sent.sent;
                board.end(index as u32, sent.ticket);
                board.record_response(index as u32, took, sent.service_share, now);
                board.record_admission(index as u32, sent.load);
                let ratio = took.as_secs_f64() / sent.response.as_secs_f64();
                self.counts.good_forecasts += usize::from((1.0 / 1.5..=1.5).contains(&ratio));
                match now - sent.arrived <= TARGET {
                    true => self.counts.on_time += 1,
                    false => self.counts.late += 1,
                }
            }
        }
    }

    /// Delivers the reports of the hosts whose turn it is.
    fn report(&mut self) {
        let period = self.report_age.as_millis() as usize;
        let elapsed = self.now.duration_since(self.started_at).as_millis() as usize;
        let tick = elapsed % period;
        for host in (0..self.hosts.len()).filter(|host| host % period == tick) {
            let reports = self.hosts[host].reports(self.now);
            let name = format!("h{host}").into();
            for (other, board) in self.hosts.iter_mut().enumerate() {
                if other != host {
                    let rejections = board.record_peer(&name, 1, &reports, self.now);
                    assert_eq!(rejections, []);
                }
            }
        }
    }

    fn send(&mut self, host: usize, arrived: Instant) {
        let now = self.now;
        let digests: Vec<u32> = (0..self.upstreams.len() as u32).collect();
        let board = &mut self.hosts[host];
        let default_s = board.default_service_s(&digests, now);
        let places: Vec<Place> = digests
            .iter()
            .map(|digest| {
                let mut place = board.place(*digest, SLOTS, default_s, now);
                if *digest as usize != host % digests.len() {
                    place.extra_s = CROSS_DOMAIN_S;
                }
                place
            })
            .collect();
        let responses = places.iter().map(|place| place.response_s(0.0));
        let mean_s = responses.sum::<f64>() / places.len() as f64;
        let unseen = board.unseen(&digests, mean_s, now);
        let request = Request {
            rank: 0,
            target_left: (arrived + TARGET).saturating_duration_since(now),
            left: (arrived + DEADLINE).saturating_duration_since(now),
        };
        let (draw, pause_draw) = (self.random.random(), self.random.random());
        match balance::decide(&places, unseen, &request, draw, pause_draw).unwrap() {
            Decision::Wait(pause) => self.held.push((now + pause, host, arrived)),
            Decision::Refuse(_) => self.counts.refused += 1,
            Decision::Send {
                index,
                load,
                response,
                service_share,
            } => {
                let upstream = &mut self.upstreams[index];
                self.counts.sent[index] += 1;
                if upstream.waiting.len() >= MAX_WAITING {
                    self.counts.rejected += 1;
                    board.record_rejection(index as u32, load, now);
                    return;
                }
                let ticket = board.begin(index as u32, now);
                upstream.waiting.push_back(Sent {
                    host,
                    ticket,
                    arrived,
                    sent: now,
                    response,
                    service_share,
                    load,
                });
            }
        }
    }
}

/// Guards against a herd: hundreds of hosts that know the same old loads all choose the upstream
/// that was the least loaded one then.
#[rstest]
#[case::hosts_73(73)]
#[case::hosts_300(300)]
fn loads_that_are_old_draw_no_herd(#[case] hosts: usize) {
    let mut world = World::new(hosts, &[30, 30, 30], Duration::from_millis(400));
    world.run(Duration::from_secs(2), PEAK_RATE, hosts);
    for _ in 0..4 {
        world.reset();
        world.run(Duration::from_secs(1), PEAK_RATE, hosts);
        let sent = &world.counts.sent;
        let mean = sent.iter().sum::<usize>() as f64 / sent.len() as f64;
        let most = *sent.iter().max().unwrap() as f64;
        assert!(most <= 1.3 * mean, "{sent:?}");
    }
}

/// Guards against late answers at the peak, when the demand is 1.9 times the mean for 14 s and one
/// upstream works at less than half of the others' pace.
#[test]
fn demand_of_1_9_times_at_uneven_upstreams_is_served_on_time() {
    let mut world = World::new(73, &UNEVEN_MS, Duration::from_millis(130));
    world.run(Duration::from_secs(4), MEAN_RATE, 73);
    world.reset();
    world.run(Duration::from_secs(14), PEAK_RATE, 73);
    let counts = &world.counts;
    assert!(counts.share_on_time() >= 0.9, "{counts:?}");
    assert_eq!((counts.rejected, counts.refused), (0, 0), "{counts:?}");
    assert!(counts.share_good() >= 0.9, "{counts:?}");
}

/// Guards against a queue before an upstream that is slow for a moment.
#[test]
fn an_upstream_at_a_third_of_its_pace_for_600_ms_makes_few_late() {
    let mut world = World::new(73, &[30, 30, 30], Duration::from_millis(130));
    world.run(Duration::from_secs(4), MEAN_RATE, 73);
    world.reset();
    world.upstreams[0].service *= 3;
    world.run(Duration::from_millis(600), MEAN_RATE, 73);
    world.upstreams[0].service /= 3;
    world.run(Duration::from_secs(1), MEAN_RATE, 73);
    assert!(world.counts.share_on_time() >= 0.9, "{:?}", world.counts);
}

/// Guards against requests lost at an upstream that has fallen silent: it is told by the age of
/// those in flight.
#[test]
fn a_silent_upstream_gets_few_requests() {
    let mut world = World::new(73, &[30, 30, 30], Duration::from_millis(130));
    world.run(Duration::from_secs(4), MEAN_RATE, 73);
    world.reset();
    world.upstreams[1].is_silent = true;
    world.run(Duration::from_millis(1500), MEAN_RATE, 73);
    let sent = &world.counts.sent;
    let share = sent[1] as f64 / sent.iter().sum::<usize>() as f64;
    assert!(share <= 0.1, "{sent:?}");
}

/// Guards against overload in one failure domain while the others rest: its hosts get 1.9 times
/// their share of the mean and prefer the upstream beside them, which is the slow one.
#[test]
fn demand_of_one_failure_domain_uses_the_upstreams_of_the_others() {
    let mut world = World::new(75, &[55, 25, 25], Duration::from_millis(130));
    world.run(Duration::from_secs(2), MEAN_RATE, 75);
    world.reset();
    // All hosts of a smaller world are in the first failure domain.
    let (mut time, hosts) = (Duration::ZERO, 75);
    while time < Duration::from_secs(4) {
        let host = 3 * world.random.random_range(0..hosts / 3);
        world.send(host, world.now);
        world.run(Duration::from_millis(3), 0.0, hosts);
        time += Duration::from_millis(3);
    }
    assert!(world.counts.share_on_time() >= 0.9, "{:?}", world.counts);
    assert_eq!(world.counts.rejected, 0);
}

fn place(load: f64) -> Place {
    Place {
        slots: f64::from(SLOTS),
        load,
        service_s: 0.03,
        silence_s: 0.0,
        room: 30.0,
        extra_s: 0.0,
    }
}

fn request(rank: u8, target_ms: u64, left_ms: u64) -> Request {
    Request {
        rank,
        target_left: Duration::from_millis(target_ms),
        left: Duration::from_millis(left_ms),
    }
}

fn decide(place: Place, request: &Request) -> Decision {
    balance::decide(&[place], 0.0, request, 0.5, 0.5).unwrap()
}

/// Guards against late requests that take the last room from those that can be on time, and less
/// urgent ones that take it from urgent ones.
#[rstest]
#[case::urgent(request(0, 150, 1500), 26.0, true)]
#[case::less_urgent(request(3, 150, 1500), 26.0, false)]
#[case::late(request(0, 0, 1500), 26.0, false)]
#[case::late_with_room(request(0, 0, 1500), 12.0, true)]
fn room_that_is_short_goes_to_the_urgent_that_can_be_on_time(
    #[case] request: Request,
    #[case] load: f64,
    #[case] is_sent: bool,
) {
    let decision = decide(place(load), &request);
    assert_eq!(
        matches!(decision, Decision::Send { .. }),
        is_sent,
        "{decision:?}"
    );
}

/// Guards against callers that wait for an answer which can't come before their deadline, and
/// against refusals while there is room.
#[test]
fn a_request_is_refused_only_if_it_cannot_be_answered_in_time() {
    let busy = Place {
        room: f64::INFINITY,
        ..place(120.0)
    };
    assert!(matches!(
        decide(busy, &request(0, 150, 500)),
        Decision::Refuse(_)
    ));
    assert!(matches!(
        decide(busy, &request(0, 0, 1500)),
        Decision::Send { .. }
    ));
    assert!(matches!(
        decide(place(0.0), &request(0, 0, 10)),
        Decision::Send { .. }
    ));
}

/// Guards against callers that return all at once after refusals.
#[test]
fn returns_after_refusals_are_spread_over_the_time_in_which_room_comes() {
    let request = request(0, 0, 1500);
    let draws = (0..300).map(|number| f64::from(number) / 300.0);
    let returns: Vec<Duration> = draws
        .map(|draw| balance::retry_after(0.2, &request, draw))
        .collect();
    let window = Duration::from_millis(50);
    for start in 0..4 {
        let from = Duration::from_millis(200) + window * start;
        let within = returns
            .iter()
            .filter(|at| (from..from + window).contains(at));
        assert!(within.count() <= 300 / 4 + 1);
    }
    assert!(returns.iter().all(|at| *at <= request.left / 3));
}

/// Guards against a waiting request that is overtaken by one which can wait longer.
#[test]
fn waiting_requests_go_in_order_of_lateness_rank_and_time() {
    let due = Instant::now();
    let turn = Turn {
        is_late: false,
        rank: 1,
        due,
        ticket: 5,
    };
    let mut queue = Queue::default();
    queue.join(turn);
    let before = [
        Turn {
            rank: 0,
            ticket: 6,
            ..turn
        },
        Turn {
            due: due - STEP,
            ticket: 7,
            ..turn
        },
    ];
    let after = [
        Turn {
            is_late: true,
            rank: 0,
            ticket: 8,
            ..turn
        },
        Turn {
            due: due + STEP,
            ticket: 9,
            ..turn
        },
        Turn { ticket: 10, ..turn },
    ];
    assert!(before.iter().all(|turn| queue.is_first(turn)));
    assert!(after.iter().all(|turn| !queue.is_first(turn)));
    queue.leave(&turn);
    assert!(after.iter().all(|turn| queue.is_first(turn)));
}

/// Guards against loads from a peer of another build that can't be true; its other loads count.
#[rstest]
#[case::more_than_slots(Report { running: 7000, ..Report::default() }, Rejection::Running)]
#[case::negative(Report { running: u32::MAX, ..Report::default() }, Rejection::Running)]
#[case::far_too_old(
    Report { running: 1, oldest: Duration::from_secs(1 << 20), ..Report::default() },
    Rejection::Age
)]
#[case::work_without_responses(Report { work_us: 1 << 40, ..Report::default() }, Rejection::Work)]
fn an_impossible_load_is_ignored(#[case] report: Report, #[case] rejection: Rejection) {
    let now = Instant::now();
    let mut board = Board::default();
    board.set_upstreams([(0, SLOTS), (1, SLOTS)].into_iter(), now);
    let sound = Report {
        upstream: 1,
        running: 3,
        ..Report::default()
    };
    board.record_peer(&"h2".into(), 1, &[Report::default(), sound], now);
    let rejections = board.record_peer(&"h2".into(), 1, &[report, sound], now);
    assert_eq!(rejections, [rejection]);
    assert_eq!(board.place(0, SLOTS, 0.03, now).load, 0.0);
    assert_eq!(board.place(1, SLOTS, 0.03, now).load, 3.0);
}

/// Guards against loads of a peer that has fallen silent, or that no longer names an upstream.
#[test]
fn loads_of_a_silent_peer_fade() {
    let now = Instant::now();
    let mut board = Board::default();
    board.set_upstreams([(0, SLOTS)].into_iter(), now);
    let report = Report {
        running: 9,
        ..Report::default()
    };
    board.record_peer(&"h2".into(), 1, &[report], now);
    let load_after = |board: &Board, millis| {
        let at = now + Duration::from_millis(millis);
        board.place(0, SLOTS, 0.03, at).load
    };
    assert_eq!(load_after(&board, 0), 9.0);
    assert!(load_after(&board, 500) < 0.1);
    assert_eq!(load_after(&board, 3000), 0.0);
    board.record_peer(&"h2".into(), 1, &[], now);
    assert_eq!(load_after(&board, 0), 0.0);
}

/// Guards against a restarted peer whose counts begin anew.
#[test]
fn a_restarted_peer_is_taken_in_anew() {
    let now = Instant::now();
    let mut board = Board::default();
    board.set_upstreams([(0, SLOTS)].into_iter(), now);
    let report = |sent, work_us| Report {
        sent,
        answered: sent,
        work_us,
        ..Report::default()
    };
    board.record_peer(&"h2".into(), 1, &[report(900, 900 * 30_000)], now);
    assert_eq!(
        board.record_peer(&"h2".into(), 2, &[report(1, 30_000)], now),
        []
    );
    assert_eq!(
        board.record_peer(&"h2".into(), 2, &[report(2, 60_000)], now),
        []
    );
    let place = board.place(0, SLOTS, 0.5, now);
    assert!((place.service_s - 0.03).abs() < 0.001, "{place:?}");
}

/// Guards against requests that wait at their hosts before an upstream with room, since it once
/// rejected a request when its load was forecast too low.
#[test]
fn a_rejection_holds_requests_back_for_a_moment_only() {
    let now = Instant::now();
    let mut board = Board::default();
    board.set_upstreams([(0, SLOTS)].into_iter(), now);
    for _ in 0..8 {
        board.begin(0, now);
    }
    board.record_rejection(0, 7.0, now);
    let decide_after = |millis| {
        let place = board.place(0, SLOTS, 0.03, now + Duration::from_millis(millis));
        decide(place, &request(0, 150, 1500))
    };
    assert!(matches!(decide_after(1), Decision::Wait(_)));
    assert!(matches!(decide_after(110), Decision::Send { .. }));
}

/// Guards against hosts that each have to be rejected themselves: with a request a second at each
/// of them, what one learns is over before its next request.
#[test]
fn a_rejection_at_one_host_holds_back_the_others() {
    let now = Instant::now();
    let mut board = Board::default();
    board.set_upstreams([(0, SLOTS)].into_iter(), now);
    let report = Report {
        running: 25,
        ..Report::default()
    };
    board.record_peer(&"h2".into(), 1, &[report], now);
    let rejecting = Report {
        rejected: 1,
        ..report
    };
    board.record_peer(&"h2".into(), 1, &[rejecting], now);
    let place = board.place(0, SLOTS, 0.03, now + STEP);
    let late = request(0, 0, 1500);
    assert!(
        matches!(decide(place, &late), Decision::Wait(_)),
        "{place:?}"
    );
}
