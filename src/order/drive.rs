//! What to do next about one open order.

use std::time::Duration;
use std::time::Instant;

use uuid::Uuid;

use crate::fold::orders::Close;
use crate::fold::orders::Open;
use crate::id::Incarnation;
use crate::member::FAR_PERMISSION;
use crate::upstream::Load;

/// Time for which an engine may take to become idle before its order is given up.
const DRAIN_LIMIT: Duration = Duration::from_secs(300);
/// Pause between two tries to send the same order.
const RESEND_PAUSE: Duration = Duration::from_secs(1);
/// Allowance on top of the permission of other failure domains.
const FAR_ALLOWANCE: Duration = Duration::from_secs(1);

/// What is known about one open order.
#[derive(Debug, Clone)]
pub struct OrderState<'a> {
    /// The order.
    pub open: &'a Open,
    /// This process.
    pub own: Incarnation,
    /// Now.
    pub now: Instant,
    /// When this process first saw the order open.
    pub opened: Instant,
    /// Since when every host of the failure domain has acknowledged with nothing in flight.
    pub acknowledged: Option<Instant>,
    /// The engine's report, asked for after all of the above was read.
    pub engine: Option<&'a Load>,
    /// Life of the engine's process when the order was opened.
    pub boot_id: Option<Uuid>,
    /// When the order was last sent.
    pub sent: Option<Instant>,
    /// Whether the engine has taken note of this process's token.
    pub fenced: bool,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Wait.
    Wait,
    /// Send the order.
    Send,
    /// Send the token alone, so that older ones lose their effect.
    Fence,
    /// Close the order in the log.
    Close(Close),
}

/// Decides what to do next about an open order.
pub fn drive(view: &OrderState<'_>) -> Step {
    let intent = Some(view.open.intent);
    if view
        .engine
        .is_some_and(|engine| engine.last_order == intent)
    {
        return Step::Close(Close::Done);
    }
    if view.engine.is_some_and(|engine| engine.busy_with == intent) {
        return Step::Wait;
    }
    match view.open.holder == view.own {
        true => drive_own(view),
        false => drive_inherited(view),
    }
}

/// An order of an earlier holder is not carried on: the engine's own report decides anew.
fn drive_inherited(view: &OrderState<'_>) -> Step {
    match (view.engine, view.fenced) {
        (None, _) => Step::Wait,
        (Some(_), false) => Step::Fence,
        (Some(_), true) => Step::Close(Close::Abandoned),
    }
}

fn drive_own(view: &OrderState<'_>) -> Step {
    let since = |at: Instant| view.now.saturating_duration_since(at);
    let Some(engine) = view.engine else {
        return Step::Wait;
    };
    if view
        .boot_id
        .is_some_and(|boot_id| boot_id != engine.boot_id)
    {
        return Step::Close(Close::Abandoned);
    }
    if let Some(sent) = view.sent {
        return match since(sent) >= RESEND_PAUSE {
            true => Step::Send,
            false => Step::Wait,
        };
    }
    let is_known_afar = |at: Instant| since(at) >= FAR_PERMISSION + FAR_ALLOWANCE;
    if view.acknowledged.is_some_and(is_known_afar) && engine.in_flight == 0 {
        return Step::Send;
    }
    match since(view.opened) >= DRAIN_LIMIT {
        true => Step::Close(Close::Abandoned),
        false => Step::Wait,
    }
}

#[cfg(test)]
mod tests {
    use crate::fold::orders::Action;
    use crate::upstream::Role;

    use super::*;

    const LONG: Duration = Duration::from_secs(20);

    fn open(holder: u128) -> Open {
        Open {
            intent: 5,
            holder: Uuid::from_u128(holder),
            action: Action::Role(Role::Decode),
        }
    }

    fn view<'a>(open: &'a Open, engine: &'a Load, opened: Instant) -> OrderState<'a> {
        OrderState {
            open,
            own: Uuid::from_u128(1),
            now: opened + LONG,
            opened,
            acknowledged: Some(opened),
            engine: Some(engine),
            boot_id: Some(engine.boot_id),
            sent: None,
            fenced: false,
        }
    }

    #[test]
    fn an_engine_with_work_gets_no_order() {
        let (open, opened) = (open(1), Instant::now());
        let idle = Load::default();
        let busy = Load {
            in_flight: 1,
            ..Load::default()
        };
        assert_eq!(drive(&view(&open, &idle, opened)), Step::Send);
        assert_eq!(drive(&view(&open, &busy, opened)), Step::Wait);
        let unacknowledged = OrderState {
            acknowledged: None,
            ..view(&open, &idle, opened)
        };
        assert_eq!(drive(&unacknowledged), Step::Wait);
    }

    #[test]
    fn other_domains_get_time_to_learn_of_it() {
        let (open, opened) = (open(1), Instant::now());
        let idle = Load::default();
        let early = OrderState {
            now: opened + FAR_PERMISSION,
            ..view(&open, &idle, opened)
        };
        assert_eq!(drive(&early), Step::Wait);
    }

    #[test]
    fn an_inherited_order_is_fenced_off_before_it_is_closed() {
        let (open, opened) = (open(2), Instant::now());
        let idle = Load::default();
        let seen = view(&open, &idle, opened);
        assert_eq!(drive(&seen), Step::Fence);
        let fenced = OrderState {
            fenced: true,
            ..seen
        };
        assert_eq!(drive(&fenced), Step::Close(Close::Abandoned));
    }

    #[test]
    fn a_lost_answer_is_settled_by_the_engines_report() {
        let (open, opened) = (open(1), Instant::now());
        let done = Load {
            last_order: Some(5),
            ..Load::default()
        };
        assert_eq!(drive(&view(&open, &done, opened)), Step::Close(Close::Done));
    }
}
