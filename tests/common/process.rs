//! Entry hosts as real processes.

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use pistachiohall::command::put_host;
use pistachiohall::log::Host;
use pistachiohall::log::Kind;
use pistachiohall::log::State;
use pistachiohall::standin::caller::Caller;

/// An entry host in a process of its own; killed when dropped.
pub struct Process {
    child: Child,
    addresses: HashMap<String, SocketAddr>,
    settings: PathBuf,
}

impl Process {
    /// Starts an entry host and lists it.
    pub fn start(name: &str, domain: &str, platform: SocketAddr) -> Self {
        let settings = std::env::temp_dir().join(format!("{}-{}.ini", name, uuid::Uuid::now_v7()));
        let text = format!(
            "[host]\nname = {name}\ndomain = {domain}\nlisten = 127.0.0.1:0\n\
             peer_listen = 127.0.0.1:0\noperator_listen = 127.0.0.1:0\nplatform = {platform}\n\
             [shutdown]\nbalancer_lag = 200ms\nlimit = 20s\n"
        );
        std::fs::write(&settings, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_pistachiohall"))
            .arg("serve")
            .arg(&settings)
            .args(["--log", "error"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let pair = |line: String| {
            let (name, address) = line.split_once('=')?;
            Some((name.to_owned(), address.parse().ok()?))
        };
        let addresses = lines.take(3).filter_map(|line| pair(line.ok()?)).collect();
        let process = Process {
            child,
            addresses,
            settings,
        };
        process.enlist(name, domain, platform);
        process
    }

    fn enlist(&self, name: &str, domain: &str, platform: SocketAddr) {
        let host = Host {
            name: name.into(),
            address: self.addresses["callers"],
            peer: Some(self.addresses["peers"]),
            domain: domain.into(),
            kind: Kind::Entry,
            service: None,
            state: State::Live,
        };
        put_host(platform, &host).unwrap();
    }

    /// Returns a caller at the host.
    pub fn caller(&self, key: &str) -> Caller {
        Caller::new(self.addresses["callers"], key)
    }

    /// Returns where operators are served.
    pub fn operators(&self) -> SocketAddr {
        self.addresses["operators"]
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        Command::new("kill").args([name, &id]).status().unwrap();
    }

    /// Waits for the end and returns the exit code, none if it was killed.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}
