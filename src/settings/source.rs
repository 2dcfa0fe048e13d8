//! Parsing of INI text; faults contain file and line.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use compact_str::CompactString;
use ini::Ini;
use ini::ParseOption;
use thiserror::Error;

use super::unit::Parsed;

/// One fault in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// File name.
    pub file: CompactString,
    /// Line, counted from 1.
    pub line: usize,
    /// Description of the fault and of the expected content.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.what)
    }
}

/// Every fault found in a file or a set of files.
#[derive(Debug, Clone, Default, PartialEq, Eq, Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

/// Parsed INI text with the line numbers of its keys.
///
/// Keys that were never read are reported as faults by [`Source::finish`].
#[derive(Debug)]
pub struct Source {
    file: CompactString,
    ini: Ini,
    lines: BTreeMap<(CompactString, CompactString), usize>,
    section_lines: BTreeMap<CompactString, usize>,
    requested: BTreeSet<(CompactString, CompactString)>,
    faults: Vec<Fault>,
}

impl Source {
    /// Parses INI text; a syntax error is recorded as a fault.
    ///
    /// ```
    /// use pistachiohall::settings::{unit, Source};
    /// let mut source = Source::parse("a.ini", "[a]\nn = 0\n");
    /// assert_eq!(source.required("a", "n", unit::count), None);
    /// let faults = source.finish().unwrap_err();
    /// assert!(faults.to_string().starts_with("a.ini:2: `n` is `0`"));
    /// ```
    pub fn parse(file: &str, text: &str) -> Self {
        let mut source = Source {
            file: file.into(),
            ini: Ini::new(),
            lines: BTreeMap::new(),
            section_lines: BTreeMap::new(),
            requested: BTreeSet::new(),
            faults: Vec::new(),
        };
        source.index_lines(text);
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        match Ini::load_from_str_opt(text, option) {
            Ok(ini) => source.ini = ini,
            Err(cause) => {
                source.add_fault(cause.line, format!("invalid INI syntax: {}", cause.msg))
            }
        }
        source
    }

    fn index_lines(&mut self, text: &str) {
        let mut section = CompactString::default();
        for (index, line) in text.lines().enumerate() {
            let line_number = index + 1;
            let line = line.trim();
            if line.starts_with(['#', ';']) {
                continue;
            }
            if let Some(name) = line
                .strip_prefix('[')
                .and_then(|rest| rest.split(']').next())
            {
                section = name.trim().into();
                if self
                    .section_lines
                    .insert(section.clone(), line_number)
                    .is_some()
                {
                    self.add_fault(line_number, format!("duplicate section `[{section}]`"));
                }
            } else if let Some((key, _)) = line.split_once('=') {
                let path = (section.clone(), CompactString::from(key.trim()));
                if let Some(earlier) = self.lines.insert(path, line_number) {
                    let what = format!("duplicate key `{}`, see line {earlier}", key.trim());
                    self.add_fault(line_number, what);
                }
            }
        }
    }

    /// Returns the names of sections that start with `prefix`, without it.
    pub fn sections(&self, prefix: &str) -> Vec<CompactString> {
        self.section_lines
            .keys()
            .filter_map(|name| name.strip_prefix(prefix))
            .map(|rest| rest.trim().into())
            .collect()
    }

    /// Returns the keys of a section in order.
    pub fn keys(&self, section: &str) -> Vec<CompactString> {
        self.lines
            .keys()
            .filter(|(name, _)| name == section)
            .map(|(_, key)| key.clone())
            .collect()
    }

    /// Reads a required key; a missing or invalid value is a fault.
    pub fn required<F, T>(&mut self, section: &str, key: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&str) -> Parsed<T>,
    {
        if self.ini.get_from(Some(section), key).is_none() {
            let line = self.section_lines.get(section).copied().unwrap_or(1);
            self.add_fault(line, format!("`{key}` is missing from `[{section}]`"));
        }
        self.optional(section, key, parse)
    }

    /// Reads an optional key; an invalid value is a fault.
    pub fn optional<F, T>(&mut self, section: &str, key: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&str) -> Parsed<T>,
    {
        self.requested.insert((section.into(), key.into()));
        let value = self.ini.get_from(Some(section), key)?.trim().to_owned();
        match parse(&value) {
            Ok(parsed) => Some(parsed),
            Err(expected) => {
                let what = format!("`{key}` is `{value}`, expected {expected}");
                self.add_fault(self.line(section, key), what);
                None
            }
        }
    }

    /// Adds a fault at the line of a key.
    pub fn reject(&mut self, section: &str, key: &str, what: String) {
        self.add_fault(self.line(section, key), what);
    }

    fn line(&self, section: &str, key: &str) -> usize {
        let path = (section.into(), key.into());
        let section_line = self.section_lines.get(section).copied();
        self.lines.get(&path).copied().or(section_line).unwrap_or(1)
    }

    fn add_fault(&mut self, line: usize, what: String) {
        let file = self.file.clone();
        self.faults.push(Fault { file, line, what });
    }

    /// Finishes parsing; returns all faults, including unknown keys and sections.
    pub fn finish(mut self) -> Result<(), Faults> {
        let requested_sections: BTreeSet<_> = self
            .requested
            .iter()
            .map(|(name, _)| name.clone())
            .collect();
        for (section, line) in self.section_lines.clone() {
            if !requested_sections.contains(&section) {
                self.add_fault(line, format!("unknown section `[{section}]`"));
            }
        }
        for (path, line) in self.lines.clone() {
            if !self.requested.contains(&path)
                && (requested_sections.contains(&path.0) || path.0.is_empty())
            {
                self.add_fault(line, format!("unknown key `{}`", path.1));
            }
        }
        self.faults.sort_by_key(|fault| fault.line);
        match self.faults.is_empty() {
            true => Ok(()),
            false => Err(Faults(self.faults)),
        }
    }
}
