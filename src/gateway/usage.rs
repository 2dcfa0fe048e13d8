//! Counts requests that upstreams begin to run, and exchanges the counts with peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::StatusCode;

use super::call::Call;
use crate::clock;
use crate::clock::Clock;
use crate::clock::Real;
use crate::gossip;
use crate::gossip::Datagram;
use crate::id::AccountId;
use crate::id::HostId;
use crate::platform::duties::Duty;
use crate::settings::gateway::Settings;
use crate::usage::Book;
use crate::usage::Windows;
use crate::usage::book::Message;
use crate::usage::book::lock;

/// Counts of this host; counts nothing if usage isn't reported.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    book: Option<Arc<Mutex<Book>>>,
}

impl Meter {
    /// Returns the meter of a host with these settings.
    pub fn new(settings: &Settings) -> Self {
        let duties = settings.duties.as_ref();
        let duties = duties.filter(|duties| duties.perform.contains(&Duty::Usage));
        let book = duties.map(|duties| {
            let windows = Windows::new(duties.usage_window, duties.usage_due);
            Book::new(&settings.name, windows, clock::wall_ms(&Real), Real.boot())
        });
        Meter {
            book: book.map(|book| Arc::new(Mutex::new(book))),
        }
    }

    /// Returns the counts; `None` if usage isn't reported.
    pub fn book(&self) -> Option<&Arc<Mutex<Book>>> {
        self.book.as_ref()
    }

    /// Sets whether the configuration has accounts.
    pub fn set_enabled(&self, is_enabled: bool) {
        if let Some(book) = &self.book {
            lock(book).set_enabled(is_enabled);
        }
    }

    /// Leaves reports to other hosts, since this process shuts down.
    pub fn leave(&self) {
        if let Some(book) = &self.book {
            lock(book).leave();
        }
    }

    /// Returns what this host announces to its peers; `None` if usage isn't reported.
    pub fn announcement(&self) -> Option<gossip::Usage> {
        let book = self.book.as_ref()?;
        Some(lock(book).announcement(clock::wall_ms(&Real)))
    }

    /// Returns the counts that are due to be sent.
    pub fn due(&self) -> Vec<Message> {
        self.book.as_ref().map_or_else(Vec::new, |book| {
            lock(book).due(clock::wall_ms(&Real), Real.boot())
        })
    }

    /// Takes in what a peer has sent.
    pub fn record_peer(&self, datagram: &Datagram, from: SocketAddr) {
        let (Some(book), Some(usage)) = (&self.book, &datagram.usage) else {
            return;
        };
        let host = HostId::from(datagram.host.as_str());
        let incarnation = gossip::incarnation_digest(&host, datagram.started_at);
        lock(book).record_peer(&host, incarnation, from, usage, Real.boot());
    }

    /// Returns the count of a request, which is still to begin.
    pub fn run(&self, call: &Call) -> Run {
        let account = call.account.as_ref().map(|account| account.name.clone());
        let book = self.book.as_ref().filter(|_| account.is_some());
        Run {
            book: book.cloned(),
            account: account.unwrap_or_default(),
            offered_at: None,
            possible_at: None,
        }
    }
}

/// Counts a request once, however many upstreams run it.
///
/// A request whose answer was lost has run as far as this host can know, so that it is counted when it
/// ends without another sign.
#[derive(Debug, Default)]
pub struct Run {
    /// Counts; `None` if the request isn't counted, or was.
    book: Option<Arc<Mutex<Book>>>,
    account: AccountId,
    offered_at: Option<Duration>,
    possible_at: Option<Duration>,
}

impl Run {
    /// Records that the request was handed to an upstream that answers when it has run.
    pub fn offer(&mut self) {
        if self.book.is_some() {
            self.offered_at = Some(Real.boot());
        }
    }

    /// Records that no answer came; `is_not_run` if it is certain that the request has not run.
    pub fn fail(&mut self, is_not_run: bool) {
        let offered_at = self.offered_at.take();
        if !is_not_run {
            self.possible_at = self.possible_at.or(offered_at);
        }
    }

    /// Records the status of an answer by the upstream itself.
    pub fn answer(&mut self, status: StatusCode) {
        self.offered_at = None;
        if status.is_success() || status.is_server_error() {
            self.begin();
        }
    }

    /// Records that an upstream has begun to run the request.
    pub fn begin(&mut self) {
        self.count(Real.boot());
    }

    fn count(&mut self, at: Duration) {
        if let Some(book) = self.book.take() {
            lock(&book).record_run(&self.account, at);
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if let Some(at) = self.possible_at.or(self.offered_at) {
            self.count(at);
        }
    }
}
