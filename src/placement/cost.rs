//! How long engines take.

use std::time::Duration;

use crate::gateway::call::Prompt;
use crate::upstream::Role;

/// Prompt tokens that an engine reads in a millisecond if that is its only role; from the users'
/// description of their engines. An engine's measured pace corrects it.
const READ_TOKENS_PER_MS: f64 = 341.0;
/// Share of that speed at which an engine reads that also generates.
const MIXED_SPEED: f64 = 0.5;
/// Milliseconds for a million pairs of a token read and a token before it.
const PAIRS_MS_PER_MILLION: f64 = 0.069;
/// Milliseconds that a step takes without any prompt token.
const STEP_MS: f64 = 0.7;
/// Prompt tokens that a step reads at most.
const STEP_TOKENS: f64 = 4096.0;
/// Seconds that one more running request adds to the cost of an engine.
const CROWDING_S: f64 = 0.0004;
/// Seconds that a move between failure domains adds to the cost of an engine.
const DISTANCE_S: f64 = 0.004;

/// Returns how long an engine reads a prompt of which it keeps the first `cached` tokens.
///
/// ```
/// use pistachiohall::gateway::call::Prompt;
/// use pistachiohall::placement::cost;
/// use pistachiohall::upstream::Role;
/// let prompt = Prompt { tokens: 9190, ..Prompt::default() };
/// let cold = cost::prefill_time(&prompt, 0, Role::Prefill);
/// let warm = cost::prefill_time(&prompt, 6300, Role::Prefill);
/// assert!(warm < cold / 2);
/// assert!(cost::prefill_time(&prompt, 0, Role::Decode) > cold);
/// ```
pub fn prefill_time(prompt: &Prompt, cached: u64, role: Role) -> Duration {
    let total = prompt.tokens as f64;
    let unread = prompt.tokens.saturating_sub(cached).max(1) as f64;
    let speed = match role {
        Role::Prefill => READ_TOKENS_PER_MS,
        Role::Decode | Role::Mixed => READ_TOKENS_PER_MS * MIXED_SPEED,
    };
    let pairs = unread * (total - unread / 2.0);
    let steps = (unread / STEP_TOKENS).ceil();
    let millis = unread / speed + pairs * PAIRS_MS_PER_MILLION / 1e6 + steps * STEP_MS;
    Duration::from_secs_f64(millis / 1000.0)
}

/// Returns what requests that run already add to the cost of an engine, in seconds.
pub fn contention(running: usize) -> f64 {
    running as f64 * CROWDING_S
}

/// Returns what a move adds to the cost, in seconds.
pub fn cross_domain_penalty(is_far: bool) -> f64 {
    match is_far {
        true => DISTANCE_S,
        false => 0.0,
    }
}
