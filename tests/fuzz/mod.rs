//! Stateful fuzzing of the decisions against plain oracles, on fake clocks and networks.
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

/// Cases run where nothing else is asked for.
const CASES: u32 = 512;

/// Returns a configuration that gives the same verdict every time.
pub fn configuration() -> Config {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    Config {
        cases: number("PISTACHIOHALL_CASES").map_or(CASES, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(number("PISTACHIOHALL_SEED").unwrap_or(7)),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Returns the same with eight times the cases, for machines whose faults need long runs.
pub fn many() -> Config {
    let one = configuration();
    Config {
        cases: one.cases * 8,
        ..one
    }
}

/// What may happen next in a world.
pub trait Transition: Clone + Debug + 'static {
    /// Returns any one of them.
    fn any() -> BoxedStrategy<Self>;
}

/// A reference that keeps nothing, for worlds that have the oracle in themselves.
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
