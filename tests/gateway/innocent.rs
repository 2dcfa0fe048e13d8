//! Tests of requests that only appear to crash upstreams.

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

/// A failed response of an upstream that is still running does not count against the request.
#[rstest]
#[case::cut_short(Behavior::Short)]
#[case::reset(Behavior::Reset)]
#[case::foreign(Behavior::Foreign)]
#[case::unsigned(Behavior::Unsigned)]
#[case::silent(Behavior::Hang)]
fn upstreams_that_keep_running_make_no_request_a_suspect(#[case] behavior: Behavior) {
    let site = Site::desks(&["c1", "c2"]);
    let kind = Kind {
        path: "/act/a",
        ..ACT
    };
    for round in 0..12 {
        let is_faulty = round % 3 != 2;
        for replica in site.replicas.values() {
            replica.set_behavior(if is_faulty { behavior } else { Behavior::Sound });
        }
        let response = send(&site.gateway, &format!("r{round}"), kind);
        let status = response.map_or(0, |response| response.status);
        assert_ne!(status, 503, "round {round}");
        if !is_faulty {
            assert_eq!(status, 200, "round {round}");
        }
    }
}

/// Upstreams that crash for other reasons while they run a popular request do not count against it.
#[rstest]
#[case::reset(RESET)]
#[case::silent(DARK_LATE)]
fn a_popular_request_is_served_while_upstreams_crash_for_other_reasons(
    #[case] behavior: CrashBehavior,
) {
    let mut deployment = Deployment::new(2, behavior);
    let kind = Kind {
        path: "/read/popular",
        ..READ
    };
    for upstream in &deployment.mortals {
        upstream.with(|incarnation| incarnation.set_pause(Duration::from_millis(30)));
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
                        let responses = (0..12).map(|number| {
                            let id = format!("p{round}-{caller}-{number}");
                            let response = send(&deployment.gateways[caller % 2], &id, kind);
                            response.map_or(0, |response| response.status)
                        });
                        responses.collect::<Vec<u16>>()
                    })
                })
                .collect();
            std::thread::sleep(Duration::from_millis(60));
            // Two of four upstreams crash at once.
            for upstream in [round % 4, (round + 1) % 4] {
                deployment.mortals[upstream].with(|incarnation| incarnation.end());
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
