//! Events of hosts, log, engines and time.

use proptest::prelude::*;

use super::super::Transition;
use super::ENGINES;
use super::HOSTS;

/// Outcome of an append to the log.
#[derive(Debug, Clone, Copy)]
pub enum Append {
    Acknowledged,
    /// The record is appended, but the host gets no response.
    ResponseLost,
    /// The host gets no response, and the record is appended later.
    Delayed,
    /// The record is never appended.
    Unavailable,
}

/// Outcome of sending an order to an engine.
#[derive(Debug, Clone, Copy)]
pub enum Send {
    Delivered,
    /// The host is paused between its last check of the lease and its write.
    Paused,
    /// The engine gets the order, but the host gets no response.
    ResponseLost,
}

/// Event of one host, of one engine, of the log or of the clock.
#[derive(Debug, Clone)]
pub enum Event {
    Lease {
        host: usize,
        append: Append,
    },
    Poll(usize),
    /// A step of a host's controller: lease, announcement and order, with a poll before each.
    Step {
        host: usize,
        engine: usize,
        send: Send,
    },
    Announce {
        host: usize,
        engine: usize,
        append: Append,
    },
    Advance {
        host: usize,
        engine: usize,
        send: Send,
        append: Append,
    },
    /// Paused hosts write their orders.
    ResumePaused,
    FinishOrder(usize),
    CrashEngine(usize),
    KillHost(usize),
    ReleaseDeparted {
        host: usize,
        append: Append,
    },
    DeliverDelayed,
    PassTime(u64),
}

impl Transition for Event {
    fn any() -> BoxedStrategy<Event> {
        let append = || {
            prop_oneof![
                6 => Just(Append::Acknowledged),
                1 => Just(Append::ResponseLost),
                1 => Just(Append::Delayed),
                1 => Just(Append::Unavailable),
            ]
        };
        let send = || prop_oneof![4 => Just(Send::Delivered), 3 => Just(Send::Paused), 1 => Just(Send::ResponseLost)];
        let engine = 0..ENGINES.len();
        prop_oneof![
            6 => (0..HOSTS, append()).prop_map(|(host, append)| Event::Lease { host, append }),
            12 => (0..HOSTS, engine.clone(), send())
                .prop_map(|(host, engine, send)| Event::Step { host, engine, send }),
            8 => (0..HOSTS).prop_map(Event::Poll),
            4 => (0..HOSTS, engine.clone(), append())
                .prop_map(|(host, engine, append)| Event::Announce { host, engine, append }),
            8 => (0..HOSTS, engine.clone(), send(), append())
                .prop_map(|(host, engine, send, append)| Event::Advance { host, engine, send, append }),
            1 => Just(Event::ResumePaused),
            3 => engine.clone().prop_map(Event::FinishOrder),
            1 => engine.prop_map(Event::CrashEngine),
            1 => (0..HOSTS).prop_map(Event::KillHost),
            1 => (0..HOSTS, append()).prop_map(|(host, append)| Event::ReleaseDeparted { host, append }),
            1 => Just(Event::DeliverDelayed),
            6 => prop_oneof![Just(1u64), Just(4), Just(16)].prop_map(Event::PassTime),
        ]
        .boxed()
    }
}
