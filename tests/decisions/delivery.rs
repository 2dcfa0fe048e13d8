//! Tests of which responses of upstreams are passed on with their status.

use http::StatusCode;

use pistachiohall::gateway::allowance::AttemptBudget;
use pistachiohall::gateway::exchange::Failure;
use pistachiohall::gateway::exchange::Provenance;
use pistachiohall::platform::egress;

/// Statuses that tell a caller that its request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
const PROVENANCES: [Provenance; 4] = [
    Provenance::NotRun,
    Provenance::Foreign,
    Provenance::Unsigned,
    Provenance::Signed,
];

fn statuses() -> impl Iterator<Item = StatusCode> {
    (200..600).map(|code| StatusCode::from_u16(code).unwrap())
}

/// Guards against a status that tells a caller that its request has not run, from an upstream that ran
/// it: the caller sends it again.
#[test]
fn only_idempotent_requests_get_a_status_that_denies_their_run() {
    for status in statuses() {
        let denies = NOT_RUN.contains(&status.as_u16());
        assert_eq!(egress::states_not_run(status), denies, "{status}");
        let signed = |is_idempotent| Provenance::Signed.permits_delivery(status, is_idempotent);
        assert!(signed(true), "{status}");
        assert_eq!(signed(false), !denies, "{status}");
    }
}

#[test]
fn only_signed_responses_are_passed_on() {
    for provenance in PROVENANCES {
        for status in statuses() {
            for is_idempotent in [true, false] {
                let is_passed_on = provenance.permits_delivery(status, is_idempotent);
                assert!(!is_passed_on || provenance == Provenance::Signed);
            }
        }
    }
}

/// Guards against a refusal of the host's own after an attempt that may have run, whatever attempts come
/// before or after it.
#[test]
fn a_request_that_may_have_run_once_may_have_run() {
    let failures = [
        Failure::NotSent("closed".into()),
        Failure::Withheld("paused"),
        Failure::Unreachable("refused".into()),
        Failure::NotRun(StatusCode::SERVICE_UNAVAILABLE),
        Failure::Broken("reset".into()),
        Failure::Silent,
    ];
    for first in &failures {
        for second in &failures {
            for third in &failures {
                let attempts = [first, second, third];
                let mut budget = AttemptBudget::new(3);
                for failure in attempts {
                    budget.record_send();
                    budget.record_failure(failure);
                }
                let may_have_run = attempts
                    .iter()
                    .any(|failure| matches!(failure, Failure::Broken(_) | Failure::Silent));
                assert_eq!(budget.may_have_run(), may_have_run, "{attempts:?}");
            }
        }
    }
}
