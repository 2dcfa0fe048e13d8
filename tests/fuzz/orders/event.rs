//! What may happen to hosts, log, engines and time.

use proptest::prelude::*;

use super::super::Transition;
use super::ENGINES;
use super::HOSTS;

#[derive(Debug, Clone, Copy)]
pub enum Append {
    Answers,
    LosesAnswer,
    Late,
    Out,
}

#[derive(Debug, Clone, Copy)]
pub enum Send {
    Arrives,
    /// The holder is paused between its last check and its write.
    Pauses,
    Lost,
}

#[derive(Debug, Clone)]
pub enum Event {
    Lease {
        host: usize,
        append: Append,
    },
    Poll(usize),
    /// One whole look of a host at lease and orders, as its duty takes it.
    Look {
        host: usize,
        engine: usize,
        send: Send,
    },
    Intend {
        host: usize,
        engine: usize,
        append: Append,
    },
    Drive {
        host: usize,
        engine: usize,
        send: Send,
        append: Append,
    },
    Wake,
    Finish(usize),
    CrashEngine(usize),
    Kill(usize),
    ReleaseGone {
        host: usize,
        append: Append,
    },
    DeliverLate,
    Pass(u64),
}

impl Transition for Event {
    fn any() -> BoxedStrategy<Event> {
        let append = || {
            prop_oneof![
                6 => Just(Append::Answers),
                1 => Just(Append::LosesAnswer),
                1 => Just(Append::Late),
                1 => Just(Append::Out),
            ]
        };
        let send = || prop_oneof![4 => Just(Send::Arrives), 3 => Just(Send::Pauses), 1 => Just(Send::Lost)];
        let engine = 0..ENGINES.len();
        prop_oneof![
            6 => (0..HOSTS, append()).prop_map(|(host, append)| Event::Lease { host, append }),
            12 => (0..HOSTS, engine.clone(), send())
                .prop_map(|(host, engine, send)| Event::Look { host, engine, send }),
            8 => (0..HOSTS).prop_map(Event::Poll),
            4 => (0..HOSTS, engine.clone(), append())
                .prop_map(|(host, engine, append)| Event::Intend { host, engine, append }),
            8 => (0..HOSTS, engine.clone(), send(), append())
                .prop_map(|(host, engine, send, append)| Event::Drive { host, engine, send, append }),
            1 => Just(Event::Wake),
            3 => engine.clone().prop_map(Event::Finish),
            1 => engine.prop_map(Event::CrashEngine),
            1 => (0..HOSTS).prop_map(Event::Kill),
            1 => (0..HOSTS, append()).prop_map(|(host, append)| Event::ReleaseGone { host, append }),
            1 => Just(Event::DeliverLate),
            6 => prop_oneof![Just(1u64), Just(4), Just(16)].prop_map(Event::Pass),
        ]
        .boxed()
    }
}
