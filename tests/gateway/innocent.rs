//! Requests that only look as if they ended upstreams.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use pistachiohall::standin::fleet::mortal::CrashBehavior;
use pistachiohall::standin::fleet::replica::Behavior;

use super::deployment::ACT;
use super::deployment::BACK_LATE;
use super::deployment::DARK_LATE;
use super::deployment::Deployment;
use super::deployment::Kind;
use super::deployment::READ;
use super::deployment::RESET;
use super::deployment::send;
use super::site::Gateway;
use super::site::Site;

/// A cut answer of an upstream that goes on living accuses nobody.
#[rstest]
#[case::cut_short(Behavior::Short)]
#[case::reset(Behavior::Reset)]
#[case::foreign(Behavior::Foreign)]
#[case::unsigned(Behavior::Unsigned)]
#[case::silent(Behavior::Hang)]
fn upstreams_that_go_on_living_make_no_request_a_suspect(#[case] manner: Behavior) {
    let site = Site::desks(&["c1", "c2"]);
    let kind = Kind {
        path: "/act/a",
        ..ACT
    };
    for round in 0..12 {
        let is_wrong = round % 3 != 2;
        for replica in site.replicas.values() {
            replica.set_behavior(if is_wrong { manner } else { Behavior::Sound });
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
fn a_popular_request_outlives_upstreams_that_end_by_themselves(#[case] nature: CrashBehavior) {
    let mut deployment = Deployment::new(2, nature);
    let kind = Kind {
        path: "/read/popular",
        ..READ
    };
    for mortal in &deployment.mortals {
        mortal.with(|life| life.set_pause(Duration::from_millis(30)));
    }
    let begun = Instant::now();
    let mut refused = 0;
    let mut served = 0;
    for round in 0..6 {
        std::thread::scope(|scope| {
            let deployment = &deployment;
            let callers: Vec<_> = (0..8)
                .map(|caller| {
                    scope.spawn(move || {
                        let answers = (0..12).map(|number| {
                            let id = format!("p{round}-{caller}-{number}");
                            let answer = send(&deployment.gateways[caller % 2], &id, kind);
                            answer.map_or(0, |answer| answer.status)
                        });
                        answers.collect::<Vec<u16>>()
                    })
                })
                .collect();
            std::thread::sleep(Duration::from_millis(60));
            // Two of four end at once.
            for desk in [round % 4, (round + 1) % 4] {
                deployment.mortals[desk].with(|life| life.end());
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
    let log: String = deployment.gateways.iter().map(Gateway::log).collect();
    assert!(!log.contains("suspect refused"), "{refused} refused");
    deployment.sent += 1;
    deployment.assert_others_are_served(kind);
}
