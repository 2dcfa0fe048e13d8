//! Rate limits that upstreams name.

mod limit;

pub use self::limit::Limit;
