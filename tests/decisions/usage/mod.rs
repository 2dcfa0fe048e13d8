//! Usage of accounts: counted at many hosts, settled in the store, reported once by one of them.

mod fakes;
mod world;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pistachiohall::clock::Clock;
use pistachiohall::platform::duties::WindowId;
use pistachiohall::platform::store::USAGE_TOPIC;
use pistachiohall::usage::clock::TrueTime;
use rstest::rstest;

use self::fakes::Fault;
use self::fakes::Manner;
use self::fakes::TICK;
use self::fakes::WINDOW;
use self::fakes::wall;
use self::world::World;
use self::world::windows;

#[test]
fn a_quiet_deployment_has_each_window_reported_once_with_exact_counts() {
    let mut world = World::new(6);
    let first = world.window();
    world.play(Duration::from_secs(62));
    let last = world.window() - 2;
    assert!(last >= first + 10);
    assert_eq!(world.worst_error(first, last), 0.0);
    let reports = world.reports();
    let windows: Vec<WindowId> = reports.iter().map(|report| report.window).collect();
    let expected: Vec<WindowId> = (first..=windows[windows.len() - 1]).collect();
    assert_eq!(windows, expected);
    world.check();
}

#[test]
fn a_window_costs_at_most_four_calls_to_the_store_and_only_at_the_holder() {
    let mut world = World::new(8);
    world.play(Duration::from_secs(20));
    let holder = world.holder();
    let calls = |world: &World| -> BTreeMap<String, u64> {
        let hosts = world.hosts.values();
        hosts.map(|host| (host.name.clone(), host.calls)).collect()
    };
    let before = calls(&world);
    world.play(WINDOW * 10);
    for (host, calls) in calls(&world) {
        let spent = calls - before[&host];
        let max = if host == holder { 40 } else { 0 };
        assert!(spent <= max, "{host} made {spent} calls");
    }
}

#[test]
fn lost_datagrams_do_no_harm_since_counts_are_sums() {
    let mut world = World::new(5);
    world.loss = Some(3);
    world.play(Duration::from_secs(12));
    let first = world.window();
    world.play(Duration::from_secs(30));
    assert!(world.worst_error(first, world.window() - 2) <= 0.05);
    world.check();
}

#[test]
fn a_host_killed_in_a_window_loses_only_what_it_counted_last() {
    let mut world = World::new(6);
    world.play(Duration::from_secs(12));
    let holder = world.holder();
    let first = world.window();
    let victim = world.hosts.keys().find(|name| **name != holder).cloned();
    world.kill(&victim.unwrap());
    world.play(Duration::from_secs(20));
    assert!(world.worst_error(first, world.window() - 2) <= 0.05);
    world.check();
}

#[test]
fn the_holder_killed_in_a_window_is_followed_in_time() {
    let mut world = World::new(6);
    world.play(Duration::from_secs(22));
    let first = world.window();
    let holder = world.holder();
    world.kill(&holder);
    world.play(Duration::from_secs(30));
    assert!(world.worst_error(first, world.window() - 3) <= 0.05);
    assert_ne!(world.holder(), holder);
    world.check();
}

/// The successor knows more requests than were settled, and reports the settled counts all the same.
#[rstest]
#[case::before_sending(Manner::Away)]
#[case::before_the_answer(Manner::Unanswered)]
#[case::carried_out_late(Manner::Late)]
fn a_successor_repeats_what_was_settled_letter_for_letter(#[case] manner: Manner) {
    let mut world = World::new(5);
    world.play_until_reports(3);
    let holder = world.holder();
    let calls = world.platform.state.lock().unwrap().calls;
    world.set_manner(manner);
    for _ in 0..100 {
        world.play(TICK);
        if world.platform.state.lock().unwrap().calls > calls {
            break;
        }
    }
    let settled = world.store.copy()[USAGE_TOPIC].records.len();
    world.kill(&holder);
    let window = windows().last_final(wall(&world.clock)).unwrap();
    world.count_late(window);
    world.set_manner(Manner::Accepts);
    world.play(Duration::from_secs(9));
    world.carry_out_late();
    world.play(Duration::from_secs(9));
    assert!(settled > 0);
    let reports = world.reports();
    let repeated = reports.iter().filter(|report| report.window == window);
    assert!(repeated.clone().any(|report| report.holder != holder));
    assert!(
        repeated
            .clone()
            .all(|report| report.counts["busy"] % 5 == 0)
    );
    world.check();
}

#[test]
fn an_unanswered_report_is_repeated_until_it_is_accepted() {
    let mut world = World::new(4);
    world.play_until_reports(2);
    let first = world.window() - 1;
    world.set_manner(Manner::Late);
    world.play(Duration::from_secs(6));
    world.carry_out_late();
    world.set_manner(Manner::Accepts);
    world.play(Duration::from_secs(20));
    world.worst_error(first, world.window() - 3);
    world.check();
}

/// The store's outage of the longest kind: no window may be late for it.
#[rstest]
#[case(0)]
#[case(1100)]
#[case(2500)]
#[case(4000)]
fn windows_are_reported_in_time_although_the_store_was_down(#[case] phase_ms: u64) {
    let mut world = World::new(6);
    world.play(Duration::from_secs(20));
    world.play(Duration::from_millis(phase_ms));
    let first = world.window();
    world.store.set_fault(Some(Fault::Down));
    let before = world.store.calls();
    world.play(Duration::from_secs(8));
    assert!(
        world.store.calls() - before <= 40,
        "calls while it was down"
    );
    world.store.set_fault(None);
    world.play(Duration::from_secs(20));
    assert!(world.worst_error(first, world.window() - 3) <= 0.05);
    world.check();
}

#[test]
fn writes_whose_answers_were_lost_settle_one_version() {
    let mut world = World::new(4);
    world.play(Duration::from_secs(16));
    world.store.set_fault(Some(Fault::LostAnswers));
    world.play(Duration::from_secs(4));
    world.store.set_fault(None);
    world.play(Duration::from_secs(20));
    world.check();
    assert!(world.reports().len() >= 5);
}

#[rstest]
#[case(-4000)]
#[case(7000)]
fn a_host_whose_wall_clock_steps_counts_into_the_right_window(#[case] step_ms: i64) {
    let mut world = World::new(5);
    world.play(Duration::from_secs(12));
    let first = world.window();
    let holder = world.holder();
    for name in world.hosts.keys().cloned().collect::<Vec<_>>() {
        if name == holder || name == "h1" {
            world.hosts.get_mut(&name).unwrap().wall_skew_ms = step_ms;
        }
    }
    world.play(Duration::from_secs(30));
    assert!(world.worst_error(first, world.window() - 2) <= 0.05);
    world.check();
}

/// Hosts that are cut off go on serving; their counts come once the cut heals.
#[rstest]
fn counts_of_hosts_that_are_cut_off_for_a_while_are_waited_for(
    #[values(0, 1000, 2000, 3000, 4000)] phase_ms: u64,
) {
    let mut world = World::new(6);
    world.play(Duration::from_secs(21));
    world.play(Duration::from_millis(phase_ms));
    let first = world.window();
    let holder = world.holder();
    let cut: Vec<String> = world.hosts.keys().cloned().collect();
    for name in cut.iter().filter(|name| **name != holder).take(2) {
        world.hosts.get_mut(name).unwrap().side = 1;
    }
    world.play(Duration::from_secs(5));
    for host in world.hosts.values_mut() {
        host.side = 0;
    }
    world.play(Duration::from_secs(30));
    assert!(world.worst_error(first, world.window() - 3) <= 0.05);
    world.check();
}

/// The holder alone is cut off from the store, and goes on as soon as it is back: it must still know
/// what all hosts counted meanwhile.
#[rstest]
fn a_holder_that_was_cut_off_from_the_store_knows_all_counts(
    #[values(0, 1000, 2000, 3000, 4000)] phase_ms: u64,
    #[values(3, 5, 7)] cut_s: u64,
) {
    let mut world = World::new(9);
    world.play(Duration::from_secs(21));
    world.play(Duration::from_millis(phase_ms));
    let first = world.window();
    let holder = world.holder();
    world.hosts.get_mut(&holder).unwrap().is_cut_from_store = true;
    world.play(Duration::from_secs(cut_s));
    world.hosts.get_mut(&holder).unwrap().is_cut_from_store = false;
    world.play(Duration::from_secs(30));
    assert!(world.worst_error(first, world.window() - 3) <= 0.05);
    world.check();
}

#[test]
fn a_holder_that_shuts_down_leaves_the_term_before_it_exits() {
    let mut world = World::new(4);
    world.play_until_reports(3);
    let first = world.window();
    let holder = world.holder();
    world.hosts[&holder].book.lock().unwrap().leave();
    world.play(Duration::from_secs(8));
    world.kill(&holder);
    let until = wall(&world.clock);
    world.play(Duration::from_secs(20));
    let reports = world.reports();
    let next = reports.iter().find(|report| report.holder != holder);
    assert!(next.unwrap().at <= until, "after the exit: {next:?}");
    assert!(world.worst_error(first, world.window() - 3) <= 0.05);
    world.check();
}

#[test]
fn a_holder_that_was_frozen_does_not_report_after_its_successor() {
    let mut world = World::new(4);
    world.play(Duration::from_secs(20));
    let holder = world.holder();
    world.freeze(&holder, true);
    world.play(Duration::from_secs(12));
    assert_ne!(world.holder(), holder);
    world.freeze(&holder, false);
    world.play(Duration::from_secs(30));
    world.check();
}

#[test]
fn a_holder_that_was_frozen_between_settling_and_sending_renews_its_term_first() {
    let mut world = World::new(4);
    world.play(Duration::from_secs(20));
    let fault = Fault::Suspends(Duration::from_secs(4));
    world.store.set_fault(Some(fault));
    let (before, calls) = (world.reports().len(), world.store.calls());
    for _ in 0..100 {
        world.play(TICK);
        if world.store.calls() > calls {
            break;
        }
    }
    world.store.set_fault(None);
    assert_eq!(world.reports().len(), before, "sent under an ended term");
    world.play(Duration::from_secs(20));
    assert!(world.reports().len() > before);
    world.check();
}

#[rstest]
#[case::too_many(Manner::Refuses(429))]
#[case::failing(Manner::Refuses(503))]
#[case::away(Manner::Away)]
#[case::silent(Manner::Unanswered)]
fn a_platform_that_does_not_take_reports_is_asked_seldom_and_gets_them_later(
    #[case] manner: Manner,
) {
    let mut world = World::new(4);
    world.play(Duration::from_secs(20));
    let first = world.window();
    world.set_manner(manner);
    let calls = world.platform.state.lock().unwrap().calls;
    world.play(Duration::from_secs(5));
    let spent = world.platform.state.lock().unwrap().calls - calls;
    assert!(spent <= 10, "{spent} calls in 5 s");
    world.set_manner(Manner::Accepts);
    world.play(Duration::from_secs(20));
    assert_eq!(world.worst_error(first, world.window() - 3), 0.0);
    world.check();
}

#[test]
fn a_holder_that_is_refused_for_a_higher_token_asks_for_a_new_term() {
    let mut world = World::new(3);
    world.play(Duration::from_secs(20));
    world.set_manner(Manner::Conflict);
    world.play(Duration::from_secs(6));
    world.set_manner(Manner::Accepts);
    let before = world.reports().len();
    world.play(Duration::from_secs(20));
    assert!(world.reports().len() > before);
    world.check();
}

/// The restored store lacks what was settled; nobody but the process that settled it may do so again.
#[rstest]
#[case::holder_lives(false)]
#[case::holder_killed(true)]
fn a_window_settled_before_a_restore_is_not_settled_otherwise(#[case] is_killed: bool) {
    let mut world = World::new(4);
    world.play(Duration::from_secs(21));
    let copy = world.store.copy();
    world.set_manner(Manner::Unanswered);
    let before = world.reports().len();
    world.play_until_reports(before + 1);
    world.store.restore(&copy);
    world.count_late(world.reports()[before].window);
    if is_killed {
        let holder = world.holder();
        world.kill(&holder);
    }
    world.set_manner(Manner::Accepts);
    let last = world.reports().len();
    world.play(Duration::from_secs(40));
    assert!(
        world.reports().len() >= last + 4,
        "windows after the restore"
    );
    world.check();
}

#[test]
fn nothing_is_counted_or_called_without_accounts() {
    let mut world = World::new(3);
    for host in world.hosts.values() {
        host.book.lock().unwrap().set_enabled(false);
    }
    world.play(Duration::from_secs(20));
    assert_eq!((world.store.calls(), world.reports().len()), (0, 0));
}

#[test]
fn many_accounts_are_sent_in_datagrams_of_bounded_size() {
    let mut world = World::new(4);
    world.play(Duration::from_secs(2));
    let book = Arc::clone(&world.hosts["h1"].book);
    let mut book = book.lock().unwrap();
    for number in 0..8_400 {
        let account = format!("account-{number}");
        book.record_run(&account.as_str().into(), world.clock.boot());
    }
    let now = wall(&world.clock).as_millis() as u64;
    let messages = book.due(now, world.clock.boot() + Duration::from_secs(1));
    let accounts = messages.iter().map(|message| message.counts.accounts.len());
    assert!(accounts.sum::<usize>() >= 8_400);
    for message in &messages {
        let bytes = prost::Message::encoded_len(&message.counts);
        assert!(bytes <= 30_000, "{bytes} bytes");
        assert!(message.to.len() <= 3);
    }
}

#[test]
fn a_median_of_clocks_moves_only_when_most_of_them_do() {
    let boot = Duration::from_secs(100);
    let mut time = TrueTime::new(500_000, boot);
    for host in 1..=4 {
        time.record(host, 500_000, boot);
    }
    time.update(500_000, boot);
    // The own clock and one other step.
    time.record(1, 505_000, boot);
    time.update(505_000, boot);
    assert_eq!(time.at(boot), Duration::from_secs(500));
    // Datagrams that waited while this host was frozen show the past for a moment.
    let woken = boot + Duration::from_secs(3);
    for host in 1..=4 {
        time.record(host, 500_100, woken);
    }
    time.update(503_000, woken);
    assert_eq!(time.at(woken), Duration::from_secs(503));
}

/// Random numbers that a seed determines.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

/// All failures together, in any order: whatever is lost, no report differs from another.
#[test]
fn no_two_reports_of_a_window_differ_whatever_fails() {
    for seed in 1..=60 {
        let mut random = Random(0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(seed));
        let mut world = World::new(5);
        world.play(Duration::from_secs(8));
        let mut copy = world.store.copy();
        let mut killed: Vec<String> = Vec::new();
        for _ in 0..25 {
            let names: Vec<String> = world.hosts.keys().cloned().collect();
            let name = names[random.below(names.len() as u64) as usize].clone();
            match random.below(14) {
                0 if names.len() > 2 => {
                    world.kill(&name);
                    killed.push(name);
                }
                1 if !world.reports().is_empty() && names.len() > 2 => {
                    let holder = world.holder();
                    if names.contains(&holder) {
                        world.kill(&holder);
                        killed.push(holder);
                    }
                }
                2 | 3 => {
                    if let Some(name) = killed.pop() {
                        world.start(&name);
                    }
                }
                4 => world.freeze(&name, true),
                5 | 6 => {
                    for name in &names {
                        world.freeze(name, false);
                    }
                }
                7 => world.store.set_fault(Some(Fault::Down)),
                8 => world.store.set_fault(Some(Fault::LostAnswers)),
                9 => world.set_manner(Manner::Unanswered),
                10 => world.set_manner(Manner::Late),
                11 => {
                    world.store.restore(&copy);
                    copy = world.store.copy();
                }
                12 => copy = world.store.copy(),
                _ => {
                    world.store.set_fault(None);
                    world.set_manner(Manner::Accepts);
                    world.carry_out_late();
                }
            }
            world.play(TICK * random.below(60) as u32);
        }
        world.carry_out_late();
        world.check();
    }
}
