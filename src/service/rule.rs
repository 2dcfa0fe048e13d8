//! Rules that say which calls may be repeated.

use compact_str::CompactString;

use crate::settings::Source;

/// Methods that a rule may name.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// A method and a path that may be repeated; a final `*` stands for any rest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// HTTP method.
    pub method: CompactString,
    /// Path below the service, exact or ending in `*`.
    pub path: CompactString,
}

impl Rule {
    /// Returns whether the rule covers a call.
    ///
    /// ```
    /// use pistachiohall::service::Rule;
    /// let rule = Rule { method: "GET".into(), path: "/stock/*".into() };
    /// assert!(rule.matches("GET", "/stock/9?size=2"));
    /// assert!(!rule.matches("GET", "/stock/../pay"));
    /// assert!(!rule.matches("GET", "/stock/%2e%2e/pay"));
    /// ```
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let plain = path.split('?').next().unwrap_or_default();
        if method != self.method || plain.contains("..") || plain.contains('%') {
            return false;
        }
        match self.path.strip_suffix('*') {
            Some(prefix) => plain.starts_with(prefix),
            None => plain == self.path,
        }
    }
}

/// Reads the `[idempotent]` section: one key a method, paths parted by commas.
pub fn parse(source: &mut Source) -> Vec<Rule> {
    let mut rules = Vec::new();
    for method in source.keys("idempotent") {
        if !METHODS.contains(&method.as_str()) {
            continue;
        }
        let paths = source.optional("idempotent", &method, |text| {
            let paths: Vec<CompactString> =
                text.split(',').map(|path| path.trim().into()).collect();
            match paths.iter().all(|path| path.starts_with('/')) {
                true => Ok(paths),
                false => Err("paths that start with `/`, parted by commas"),
            }
        });
        for path in paths.unwrap_or_default() {
            let method = method.clone();
            rules.push(Rule { method, path });
        }
    }
    rules
}
