//! Decisions without network and clock, each under the load or trouble that it answers.

mod availability;
mod budget;
mod catalog;
mod doubt;
mod events;
mod fleet;
mod gossip;
mod logging;
mod pace;
mod placement;
mod reassign;
mod share;
mod target;
mod term;
