//! Shows what a publication changes.

use std::collections::HashSet;

use crate::fold::config::Config;

use super::Plan;

/// Returns the lines that a publication takes away and adds, by service.
///
/// ```
/// use std::collections::BTreeMap;
/// use pistachiohall::fold::config::Config;
/// use pistachiohall::publish;
/// let files = BTreeMap::from([("lm".into(), "[service]\n".to_owned())]);
/// let plan = publish::plan(&Config::default(), &files, false);
/// assert_eq!(publish::diff(&Config::default(), &plan), "lm (new)\n  + [service]\n");
/// ```
pub fn diff(config: &Config, plan: &Plan) -> String {
    let mut out = String::new();
    for (name, edit) in &plan.edits {
        let version = config.services.get(name);
        let old = version.and_then(|version| version.text.as_deref());
        let mark = match (old, &edit.text) {
            (None, _) => " (new)",
            (_, None) => " (removed)",
            _ => "",
        };
        out.push_str(&format!("{name}{mark}\n"));
        let new = edit.text.as_deref().unwrap_or("");
        push_lines(&mut out, '-', old.unwrap_or(""), new);
        push_lines(&mut out, '+', new, old.unwrap_or(""));
    }
    out
}

fn push_lines(out: &mut String, mark: char, from: &str, other: &str) {
    let known: HashSet<&str> = other.lines().collect();
    for line in from.lines().filter(|line| !known.contains(line)) {
        out.push_str(&format!("  {mark} {line}\n"));
    }
}
