//! What the whole-program tests share.

pub mod process;

use std::time::Duration;

use pistachiohall::standin::deployment::Deployment;
use pistachiohall::upstream::Role;

/// Service file of the model service.
pub const LIBRETTO: &str = include_str!("../../examples/trentside/libretto-lm.hall.ini");
/// Service file of the plain service.
pub const CUE_DESK: &str = include_str!("../../examples/trentside/cue-desk.hall.ini");
/// Model that the service serves.
pub const MODEL: &str = "libretto-7b";
/// Key of an urgent account of both services.
pub const DESK_KEY: &str = "desk-key";

/// Returns a settled deployment of two failure domains with two engines, one plain service and
/// one entry host each.
pub fn two_domains() -> Deployment {
    domains(&[Role::Mixed, Role::Mixed])
}

/// Returns the same with two engines that read prompts and two that generate in each domain.
pub fn split_domains() -> Deployment {
    domains(&[Role::Prefill, Role::Prefill, Role::Decode, Role::Decode])
}

fn domains(roles: &[Role]) -> Deployment {
    let mut deployment = Deployment::start(Duration::from_millis(1)).unwrap();
    deployment.publish(&[LIBRETTO, CUE_DESK]).unwrap();
    for domain in ["derby", "leicester"] {
        for (index, role) in roles.iter().enumerate() {
            let name = format!("{domain}-e{}", index + 1);
            deployment
                .add_engine(&name, domain, "libretto-lm", *role)
                .unwrap();
        }
        deployment
            .add_plain(&format!("{domain}-c1"), domain, "cue-desk")
            .unwrap();
        let settings = deployment.settings(&format!("{domain}-h1"), domain);
        deployment.add_host(settings).unwrap();
    }
    deployment.settle(1, 2 * roles.len() + 2).unwrap();
    deployment
}

/// Returns how often an action ran on all plain services.
pub fn runs(deployment: &Deployment, name: &str) -> usize {
    deployment
        .plains
        .values()
        .map(|plain| plain.runs(name))
        .sum()
}
