//! Small stand-ins for what surrounds the system: platform, engines, plain services.
//!
//! They speak the same protocols as the real ones and keep their own books of what they ran, by
//! which tests and the demo check the system's promises.

pub mod caller;
pub mod deployment;
pub mod engine;
pub mod fleet;
pub mod plain;
pub mod platform;
mod server;

pub use self::engine::Engine;
pub use self::plain::Plain;
pub use self::platform::Platform;
