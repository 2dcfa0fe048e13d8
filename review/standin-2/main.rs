//! Plays one case of the review: starts hosts as separate processes, with the project's own stand-ins for
//! the store, the engines and the callers, and checks a rule by what these have seen.

mod again;
mod builds;
mod kit;
mod leaving;
mod release;
mod timeout;

use std::process::ExitCode;

use kit::Verdict;

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let verdict = match case.as_str() {
        "again" => again::play(),
        "builds" => builds::play(),
        "leaving" => leaving::play(),
        "release" => release::play(),
        "timeout" => timeout::play(),
        _ => Err(format!("unknown case {case:?}")),
    };
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(cause) => {
            eprintln!("the case couldn't run: {cause}");
            ExitCode::from(2)
        }
    }
}
