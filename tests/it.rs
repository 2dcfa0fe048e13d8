//! Tests of the whole program.

mod common;
mod once;
mod path;
mod streams;
