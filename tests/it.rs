//! Tests of the whole program.

mod common;
mod once;
mod orders;
mod path;
mod streams;
