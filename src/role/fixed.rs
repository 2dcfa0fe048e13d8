//! A split that never changes.

use super::Change;
use super::Policy;
use super::Sample;

/// A split that never changes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fixed;

impl Policy for Fixed {
    fn decide(&mut self, _seen: &Sample) -> Option<Change> {
        None
    }
}
