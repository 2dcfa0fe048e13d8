//! Finds service files and checks them.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use crate::id::ServiceId;
use crate::service::Service;
use crate::settings::Faults;
use crate::settings::source;

/// Ending of a service file's name.
const ENDING: &str = ".hall.ini";

/// Service files by service, and all faults in them.
#[derive(Debug, Default)]
pub struct Collected {
    /// Texts by service.
    pub files: BTreeMap<ServiceId, String>,
    /// Where each service was found.
    pub paths: BTreeMap<ServiceId, PathBuf>,
    /// Faults in all files.
    pub faults: Faults,
}

/// Collects the service files at or below `paths`.
pub fn collect(paths: &[PathBuf]) -> io::Result<Collected> {
    let mut found = Vec::new();
    for path in paths {
        find(path, &mut found)?;
    }
    found.sort();
    let mut collected = Collected::default();
    for path in found {
        let text = fs::read_to_string(&path)?;
        collected.add(path, text);
    }
    Ok(collected)
}

fn find(path: &Path, found: &mut Vec<PathBuf>) -> io::Result<()> {
    if path.is_dir() {
        for entry in fs::read_dir(path)? {
            let child = entry?.path();
            let is_file = child.to_string_lossy().ends_with(ENDING);
            if child.is_dir() || is_file {
                find(&child, found)?;
            }
        }
    } else {
        fs::metadata(path)?;
        found.push(path.to_owned());
    }
    Ok(())
}

impl Collected {
    /// Adds one file.
    ///
    /// ```
    /// use pistachiohall::publish::Collected;
    /// let mut collected = Collected::default();
    /// collected.add("a.hall.ini".into(), "[service]\n".to_owned());
    /// assert!(!collected.faults.0.is_empty());
    /// ```
    pub fn add(&mut self, path: PathBuf, text: String) {
        let file = path.display().to_string();
        match Service::parse(&file, &text) {
            Err(faults) => self.faults.0.extend(faults.0),
            Ok(service) => {
                if let Some(other) = self.paths.insert(service.name.clone(), path) {
                    let what = format!(
                        "service `{}` stands also in {}",
                        service.name,
                        other.display()
                    );
                    let file = file.into();
                    self.faults.0.push(source::Fault {
                        file,
                        line: 1,
                        what,
                    });
                }
                self.files.insert(service.name, text);
            }
        }
    }
}
