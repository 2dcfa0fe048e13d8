//! Policy that never changes a role.

use super::Change;
use super::Policy;
use super::Sample;

/// Policy that never changes a role.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fixed;

impl Policy for Fixed {
    fn decide(&mut self, _sample: &Sample) -> Option<Change> {
        None
    }
}
