//! Next step for an open order.

use std::time::Duration;
use std::time::Instant;

use uuid::Uuid;

use crate::fold::orders::Close;
use crate::fold::orders::Open;
use crate::id::Incarnation;
use crate::member::CROSS_DOMAIN_WINDOW;
use crate::upstream::Load;

/// Time that an engine has to become idle before its order is abandoned.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(300);
/// Time between two attempts to send the same order.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Margin on top of the time for which hosts of other failure domains may still use an engine.
const REMOTE_MARGIN: Duration = Duration::from_secs(1);

/// State of an open order, from which its next step is decided.
#[derive(Debug, Clone)]
pub struct OrderState<'a> {
    /// Order, as read from the log.
    pub open: &'a Open,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Current time.
    pub now: Instant,
    /// Time at which this process first saw the order open.
    pub opened_at: Instant,
    /// Time since which every host of the failure domain has acknowledged the order with no
    /// request in flight on the engine.
    pub acknowledged_since: Option<Instant>,
    /// Engine's load report, requested after all of the above was read.
    pub engine: Option<&'a Load>,
    /// Incarnation of the engine's process when the order was opened.
    pub boot_id: Option<Uuid>,
    /// Time at which the order was last sent.
    pub sent_at: Option<Instant>,
    /// Whether the engine has accepted this process's fencing token.
    pub is_fenced: bool,
}

/// Next step for an open order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Wait.
    Wait,
    /// Send the order.
    Send,
    /// Send the fencing token alone, so that the engine rejects older ones.
    Fence,
    /// Close the order in the log.
    Close(Close),
}

/// Returns the next step for an open order.
pub fn next_step(state: &OrderState<'_>) -> Step {
    let intent = Some(state.open.intent);
    if state
        .engine
        .is_some_and(|engine| engine.last_order == intent)
    {
        return Step::Close(Close::Done);
    }
    if state
        .engine
        .is_some_and(|engine| engine.busy_with == intent)
    {
        return Step::Wait;
    }
    match state.open.holder == state.incarnation {
        true => next_step_own(state),
        false => next_step_inherited(state),
    }
}

/// Returns the next step for an order that an earlier holder of the lease announced.
///
/// Such an order isn't sent again. It is abandoned once the engine rejects the tokens of earlier
/// holders, and the engine's own report shows its state.
fn next_step_inherited(state: &OrderState<'_>) -> Step {
    match (state.engine, state.is_fenced) {
        (None, _) => Step::Wait,
        (Some(_), false) => Step::Fence,
        (Some(_), true) => Step::Close(Close::Abandoned),
    }
}

/// Returns the next step for an order that this process announced.
fn next_step_own(state: &OrderState<'_>) -> Step {
    let since = |at: Instant| state.now.saturating_duration_since(at);
    let Some(engine) = state.engine else {
        return Step::Wait;
    };
    if state
        .boot_id
        .is_some_and(|boot_id| boot_id != engine.boot_id)
    {
        return Step::Close(Close::Abandoned);
    }
    if let Some(sent_at) = state.sent_at {
        return match since(sent_at) >= RESEND_INTERVAL {
            true => Step::Send,
            false => Step::Wait,
        };
    }
    let is_known_remotely = |at: Instant| since(at) >= CROSS_DOMAIN_WINDOW + REMOTE_MARGIN;
    if state.acknowledged_since.is_some_and(is_known_remotely) && engine.in_flight == 0 {
        return Step::Send;
    }
    match since(state.opened_at) >= DRAIN_TIMEOUT {
        true => Step::Close(Close::Abandoned),
        false => Step::Wait,
    }
}

#[cfg(test)]
mod tests {
    use crate::fold::orders::Action;
    use crate::upstream::Role;

    use super::*;

    const ELAPSED: Duration = Duration::from_secs(20);

    fn open(holder: u128) -> Open {
        Open {
            intent: 5,
            holder: Uuid::from_u128(holder),
            action: Action::Role(Role::Decode),
        }
    }

    fn state<'a>(open: &'a Open, engine: &'a Load, opened_at: Instant) -> OrderState<'a> {
        OrderState {
            open,
            incarnation: Uuid::from_u128(1),
            now: opened_at + ELAPSED,
            opened_at,
            acknowledged_since: Some(opened_at),
            engine: Some(engine),
            boot_id: Some(engine.boot_id),
            sent_at: None,
            is_fenced: false,
        }
    }

    #[test]
    fn no_order_is_sent_before_the_engine_is_idle_and_all_hosts_acknowledge() {
        let (open, opened_at) = (open(1), Instant::now());
        let idle = Load::default();
        let busy = Load {
            in_flight: 1,
            ..Load::default()
        };
        assert_eq!(next_step(&state(&open, &idle, opened_at)), Step::Send);
        assert_eq!(next_step(&state(&open, &busy, opened_at)), Step::Wait);
        let unacknowledged = OrderState {
            acknowledged_since: None,
            ..state(&open, &idle, opened_at)
        };
        assert_eq!(next_step(&unacknowledged), Step::Wait);
    }

    #[test]
    fn no_order_is_sent_before_other_domains_stop_using_the_engine() {
        let (open, opened_at) = (open(1), Instant::now());
        let idle = Load::default();
        let early = OrderState {
            now: opened_at + CROSS_DOMAIN_WINDOW,
            ..state(&open, &idle, opened_at)
        };
        assert_eq!(next_step(&early), Step::Wait);
    }

    #[test]
    fn an_inherited_order_is_fenced_before_it_is_abandoned() {
        let (open, opened_at) = (open(2), Instant::now());
        let idle = Load::default();
        let inherited = state(&open, &idle, opened_at);
        assert_eq!(next_step(&inherited), Step::Fence);
        let fenced = OrderState {
            is_fenced: true,
            ..inherited
        };
        assert_eq!(next_step(&fenced), Step::Close(Close::Abandoned));
    }

    #[test]
    fn an_order_whose_response_was_lost_is_closed_by_the_engines_report() {
        let (open, opened_at) = (open(1), Instant::now());
        let done = Load {
            last_order: Some(5),
            ..Load::default()
        };
        assert_eq!(
            next_step(&state(&open, &done, opened_at)),
            Step::Close(Close::Done)
        );
    }
}
