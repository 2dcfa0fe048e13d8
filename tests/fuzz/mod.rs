//! Stateful fuzz tests of decisions against simple oracles, with mock clocks and networks.
//!
//! `PISTACHIOHALL_CASES` sets the number of cases, `PISTACHIOHALL_SEED` the seed.

mod config;
mod once;
mod orders;

use std::fmt::Debug;
use std::marker::PhantomData;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;

/// Number of cases if `PISTACHIOHALL_CASES` isn't set.
const CASES: u32 = 512;

/// Returns a configuration with a fixed seed, so that every run has the same result.
pub fn configuration() -> Config {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    Config {
        cases: number("PISTACHIOHALL_CASES").map_or(CASES, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(number("PISTACHIOHALL_SEED").unwrap_or(7)),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Returns a configuration with eight times the cases, for tests whose faults are rarely reached.
pub fn many() -> Config {
    let base = configuration();
    Config {
        cases: base.cases * 8,
        ..base
    }
}

/// Event of a simulated world.
pub trait Transition: Clone + Debug + 'static {
    /// Returns the strategy that generates any event.
    fn any() -> BoxedStrategy<Self>;
}

/// Reference model without state, for worlds that contain their oracle.
pub struct Stateless<T>(PhantomData<T>);

impl<T> ReferenceStateMachine for Stateless<T>
where
    T: Transition,
{
    type State = ();
    type Transition = T;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<T> {
        T::any()
    }

    fn apply(state: (), _transition: &T) {
        state
    }
}
