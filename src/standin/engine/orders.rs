//! How an engine takes orders.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use serde_json::Value;
use tiny_http::Request;

use crate::duty;
use crate::fold::orders::Action;
use crate::id::Offset;
use crate::order::Order;

use super::Shared;
use super::server;

/// Orders that an engine has taken.
#[derive(Debug, Default)]
pub struct OrderQueue {
    highest_token: Offset,
    busy_with: Option<Offset>,
    last_order: Option<Offset>,
    version: String,
}

enum Verdict {
    Old,
    Busy,
    Known,
    Noted,
    Starts(Offset, Action),
}

impl OrderQueue {
    /// Returns the version of the model in force.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Returns the order that is being carried out.
    pub fn busy_with(&self) -> Option<Offset> {
        self.busy_with
    }

    /// Returns the order that was carried out last.
    pub fn last_order(&self) -> Option<Offset> {
        self.last_order
    }

    /// Forgets what was being done; the highest token is kept, as engines that check them do.
    pub fn crash(&mut self) {
        self.busy_with = None;
        self.last_order = None;
    }

    fn judge(&mut self, order: &Order, checks_tokens: bool) -> Verdict {
        if checks_tokens && order.token < self.highest_token {
            return Verdict::Old;
        }
        self.highest_token = self.highest_token.max(order.token);
        let (Some(intent), Some(action)) = (order.intent, order.action.clone()) else {
            return Verdict::Noted;
        };
        if self.busy_with == Some(intent) || self.last_order == Some(intent) {
            return Verdict::Known;
        }
        if self.busy_with.is_some() {
            return Verdict::Busy;
        }
        self.busy_with = Some(intent);
        Verdict::Starts(intent, action)
    }
}

/// Answers an order.
pub fn answer(shared: &Arc<Shared>, request: Request, body: &[u8]) {
    let Ok(order) = serde_json::from_slice::<Order>(body) else {
        return server::json(request, 400, &Value::Null);
    };
    let verdict = {
        let mut desk = shared.desk.lock().expect("desk lock");
        desk.judge(&order, shared.checks_tokens)
    };
    let status = match verdict {
        Verdict::Old => {
            shared.book.lock().expect("book lock").refused_tokens += 1;
            409
        }
        Verdict::Busy => {
            shared.book.lock().expect("book lock").conflicts += 1;
            409
        }
        Verdict::Known | Verdict::Noted => 200,
        Verdict::Starts(intent, action) => {
            start(shared, order.token, intent, action);
            202
        }
    };
    match shared.faults.loses_order_answers.load(Ordering::SeqCst) {
        true => drop(request.into_writer()),
        false => server::json(request, status, &Value::Null),
    }
}

/// Carries out an order; whatever still runs is cut.
fn start(shared: &Arc<Shared>, token: Offset, intent: Offset, action: Action) {
    {
        let mut book = shared.book.lock().expect("book lock");
        book.effects.push((token, intent));
        book.cut += shared.in_flight.load(Ordering::SeqCst);
    }
    let generation = shared.generation.fetch_add(1, Ordering::SeqCst) + 1;
    let shared = Arc::clone(shared);
    duty::spawn("order", move || {
        thread::sleep(shared.speed.change);
        if shared.generation.load(Ordering::SeqCst) != generation {
            return;
        }
        finish(&shared, intent, action);
    });
}

fn finish(shared: &Shared, intent: Offset, action: Action) {
    let mut desk = shared.desk.lock().expect("desk lock");
    match action {
        Action::Role(role) => {
            *shared.role.lock().expect("engine lock") = role;
            shared.book.lock().expect("book lock").role_changes += 1;
        }
        Action::Version(version) | Action::Adapter(version) => desk.version = version.into(),
    }
    desk.busy_with = None;
    desk.last_order = Some(intent);
}
