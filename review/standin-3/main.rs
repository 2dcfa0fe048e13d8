//! Stand-ins and cases of the review: each case is a command of its own, run by `review/N/run.sh`.

mod beat;
mod builds;
mod gateway;
mod http;
mod pooled;
mod replica;
mod roles;
mod store;

use std::env;
use std::path::Path;
use std::process::exit;

/// What a case saw.
pub struct Verdict {
    /// Lines for the record.
    pub record: Vec<String>,
    /// `Some(true)` if the rule was broken; `None` if the case could not run.
    pub is_broken: Option<bool>,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let case = arguments.get(1).map_or("", String::as_str);
    let record = arguments.get(2).map_or("record.txt", String::as_str);
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let folder = env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let run: fn(&Path, bool) -> Verdict = match case {
        "beat" => beat::run,
        "builds" => builds::run,
        "pooled" => pooled::run,
        "roles" => roles::run,
        _ => {
            eprintln!("no case {case:?}");
            exit(2);
        }
    };
    let own = folder.clone();
    let verdict = std::panic::catch_unwind(move || run(&own, has_trouble));
    let verdict = verdict.unwrap_or_else(|_| Verdict {
        record: vec!["the case could not run".into()],
        is_broken: None,
    });
    let code = match verdict.is_broken {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    };
    let mut text = verdict.record.join("\n");
    text.push_str(&format!("\nexit {code}\n"));
    std::fs::write(record, &text).unwrap();
    if env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    println!("{}", verdict.record.last().map_or("", String::as_str));
    exit(code);
}
