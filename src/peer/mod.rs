//! What entry hosts tell one another, over gRPC.

mod client;
mod convert;
mod duty;
mod server;

/// Code generated from `proto/peer.proto`.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod generated {
    include!("generated/peer.rs");
}

pub use self::client::Client;
pub use self::duty::start;
