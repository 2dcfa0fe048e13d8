//! Cost model of engines: prefill time and penalties.

use std::time::Duration;

use crate::gateway::call::Prompt;
use crate::upstream::Role;

/// Prefill speed of an engine with the role prefill, by the users' description of their engines.
/// The slowdown that hosts learn corrects it.
const PREFILL_TOKENS_PER_MS: f64 = 341.0;
/// Share of that speed for an engine that also decodes.
const MIXED_SPEED_SHARE: f64 = 0.5;
/// Attention time for a million pairs of a prefilled token and a token before it.
const ATTENTION_MS_PER_MILLION_PAIRS: f64 = 0.069;
/// Duration of a prefill step without any prompt token.
const STEP_OVERHEAD_MS: f64 = 0.7;
/// Maximum prompt tokens of a prefill step.
const MAX_STEP_TOKENS: f64 = 4096.0;
/// Requests for which one step of an engine generates a token, where it isn't nearly full.
const DECODE_BATCH: f64 = 2.0;
/// Cost in seconds that each running request adds to an engine.
const CONTENTION_S_PER_REQUEST: f64 = 0.0004;
/// Cost of moving a KV cache between failure domains, unless the price of its bytes is known.
pub const CROSS_DOMAIN_PENALTY: Duration = Duration::from_millis(4);

/// Returns the prefill time of a prompt whose first `cached` tokens the engine has cached.
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
    let uncached = prompt.tokens.saturating_sub(cached).max(1) as f64;
    let speed = match role {
        Role::Prefill => PREFILL_TOKENS_PER_MS,
        Role::Decode | Role::Mixed => PREFILL_TOKENS_PER_MS * MIXED_SPEED_SHARE,
    };
    let pairs = uncached * (total - uncached / 2.0);
    let steps = (uncached / MAX_STEP_TOKENS).ceil();
    let millis =
        uncached / speed + pairs * ATTENTION_MS_PER_MILLION_PAIRS / 1e6 + steps * STEP_OVERHEAD_MS;
    Duration::from_secs_f64(millis / 1000.0)
}

/// Returns the time of an engine that one generated token takes, with several generated in a step.
///
/// ```
/// use std::time::Duration;
/// use pistachiohall::placement::cost;
/// assert!(cost::step_time() < Duration::from_millis(1));
/// ```
pub fn step_time() -> Duration {
    Duration::from_secs_f64(STEP_OVERHEAD_MS / DECODE_BATCH / 1000.0)
}

/// Returns the cost that running requests add to an engine, in seconds.
pub fn contention(running: usize) -> f64 {
    running as f64 * CONTENTION_S_PER_REQUEST
}
