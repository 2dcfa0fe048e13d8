//! Tests of the whole program.

mod common;
mod decisions;
mod fuzz;
mod gateway;
mod matrix;
mod once;
mod orders;
mod path;
mod streams;
