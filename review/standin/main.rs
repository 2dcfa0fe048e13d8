//! Runs one case: starts stand-ins and the gateway, sends requests, and checks one rule.
//!
//! Usage: `standin CASE FOLDER`, in the repository's root. With `TROUBLE=0` in the environment the
//! disruption is left out. Exit code: 0 rule held, 1 rule broken, 2 case could not run.

#![allow(dead_code)]

mod flood;
mod forgotten;
mod kit;
mod order;
mod poison;
mod process;
mod refused;

use std::path::PathBuf;
use std::process::exit;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// Surroundings of a case.
pub struct Case {
    /// Folder for settings and logs of processes, removed afterwards.
    pub temporary: PathBuf,
    pub record: std::sync::Arc<kit::Record>,
    /// Whether the disruption takes place.
    pub is_disturbed: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, name, id, address] = arguments.as_slice()
        && name == "replica"
    {
        return process::replica(id, address);
    }
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let temporary = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).unwrap();
    let record = kit::Record::create(&PathBuf::from(folder).join("record.txt")).unwrap();
    let case = Case {
        temporary: temporary.clone(),
        record: record.clone(),
        is_disturbed: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    // A stand-in that can't start panics; the case could not run then.
    let run = || match name.as_str() {
        "forgotten" => forgotten::run(&case),
        "order" => order::run(&case),
        "poison" => poison::run(&case),
        "refused" => refused::run(&case),
        "flood" => flood::run(&case),
        _ => Verdict::NotRun(format!("no case {name:?}")),
    };
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let verdict = verdict.unwrap_or_else(|_| Verdict::NotRun("a stand-in panicked".into()));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (text, code) = match verdict {
        Verdict::Held => ("rule held".to_owned(), 0),
        Verdict::Broken => ("rule broken".to_owned(), 1),
        Verdict::NotRun(cause) => (format!("could not run: {cause}"), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
