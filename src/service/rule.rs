//! Rules for the calls that may be sent again.

use compact_str::CompactString;

use crate::settings::Source;

/// Methods that a rule may name.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Method and path of calls that may be sent again; a final `*` matches any suffix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// HTTP method.
    pub method: CompactString,
    /// Path within the service, exact or ending in `*`.
    pub path: CompactString,
}

impl Rule {
    /// Returns `true` if the rule covers a call.
    ///
    /// A path with `..` or `%` is never covered, as the upstream may resolve it to another path.
    ///
    /// ```
    /// use pistachiohall::service::Rule;
    /// let rule = Rule { method: "GET".into(), path: "/stock/*".into() };
    /// assert!(rule.matches("GET", "/stock/9?size=2"));
    /// assert!(!rule.matches("GET", "/stock/../pay"));
    /// assert!(!rule.matches("GET", "/stock/%2e%2e/pay"));
    /// ```
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path_only = path.split('?').next().unwrap_or_default();
        if method != self.method || path_only.contains("..") || path_only.contains('%') {
            return false;
        }
        match self.path.strip_suffix('*') {
            Some(prefix) => path_only.starts_with(prefix),
            None => path_only == self.path,
        }
    }
}

/// Parses the `[idempotent]` section: a key for each method, with paths separated by commas.
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
                false => Err("paths that start with `/`, separated by commas"),
            }
        });
        for path in paths.unwrap_or_default() {
            let method = method.clone();
            rules.push(Rule { method, path });
        }
    }
    rules
}
