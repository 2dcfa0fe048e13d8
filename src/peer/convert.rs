//! Between messages of the wire and types of this system.

use std::sync::Arc;

use uuid::Uuid;

use crate::id::Incarnation;
use crate::member::Acknowledgement;
use crate::member::Heartbeat;
use crate::once::CallName;
use crate::once::ledger::Stored;
use crate::problem::Outcome;
use crate::quarantine::Suspect;
use crate::wire::Reply;

use super::generated;

/// Reads an identifier.
pub fn uuid(bytes: &[u8]) -> Option<Uuid> {
    Uuid::from_slice(bytes).ok()
}

/// Writes a heartbeat with suspects.
pub fn to_heartbeat(beat: &Heartbeat, suspects: &[Suspect]) -> generated::Heartbeat {
    generated::Heartbeat {
        host: beat.host.to_string(),
        domain: beat.domain.to_string(),
        incarnation: beat.incarnation.as_bytes().to_vec(),
        peer: beat.peer.to_string(),
        config_next: beat.config_next,
        orders_next: beat.orders_next,
        revision: beat.revision.map_or(0, |revision| revision + 1),
        ready: beat.ready,
        leaving: beat.leaving,
        counts: beat
            .counts
            .iter()
            .map(|(upstream, count)| generated::Count {
                upstream: upstream.to_string(),
                in_flight: *count as u32,
            })
            .collect(),
        suspects: suspects.iter().map(to_suspect).collect(),
        out_of_use: beat.out_of_use.iter().map(ToString::to_string).collect(),
        acknowledgements: beat
            .acknowledgements
            .iter()
            .map(|one| generated::Acknowledgement {
                upstream: one.upstream.to_string(),
                order: one.order,
                in_flight: one.in_flight as u32,
            })
            .collect(),
    }
}

/// Reads a heartbeat.
pub fn from_heartbeat(beat: &generated::Heartbeat) -> Option<Heartbeat> {
    Some(Heartbeat {
        host: beat.host.as_str().into(),
        domain: beat.domain.as_str().into(),
        incarnation: uuid(&beat.incarnation)?,
        peer: beat.peer.parse().ok()?,
        config_next: beat.config_next,
        orders_next: beat.orders_next,
        revision: beat.revision.checked_sub(1),
        out_of_use: beat
            .out_of_use
            .iter()
            .map(|name| name.as_str().into())
            .collect(),
        ready: beat.ready,
        leaving: beat.leaving,
        counts: beat
            .counts
            .iter()
            .map(|one| (one.upstream.as_str().into(), one.in_flight as usize))
            .collect(),
        acknowledgements: beat
            .acknowledgements
            .iter()
            .map(|one| Acknowledgement {
                upstream: one.upstream.as_str().into(),
                order: one.order,
                in_flight: one.in_flight as usize,
            })
            .collect(),
    })
}

/// Writes a suspect.
pub fn to_suspect(suspect: &Suspect) -> generated::Suspect {
    generated::Suspect {
        fingerprint: suspect.fingerprint,
        crashes: u32::from(suspect.crashes),
    }
}

/// Reads a suspect.
pub fn from_suspect(suspect: &generated::Suspect) -> Suspect {
    Suspect {
        fingerprint: suspect.fingerprint,
        crashes: suspect.crashes.min(255) as u8,
    }
}

/// Writes an answer.
pub fn to_reply(reply: &Reply) -> generated::Reply {
    generated::Reply {
        status: u32::from(reply.status),
        content_type: reply.content_type.to_string(),
        body: reply.body.to_vec(),
        outcome: reply.outcome.word().to_owned(),
        retry_after_s: reply.retry_after_s.unwrap_or(0),
    }
}

/// Reads an answer; an outcome that is not understood counts as unknown.
pub fn from_reply(reply: generated::Reply) -> Reply {
    Reply {
        status: reply.status as u16,
        content_type: reply.content_type.into(),
        body: Arc::from(reply.body),
        outcome: match reply.outcome.as_str() {
            "not-run" => Outcome::NotRun,
            "ran" => Outcome::Ran,
            _ => Outcome::Unknown,
        },
        retry_after_s: (reply.retry_after_s > 0).then_some(reply.retry_after_s),
    }
}

/// Writes a name as a key and a ticket number, one of which is empty.
pub fn to_name(name: CallName) -> (Vec<u8>, u64) {
    match name {
        CallName::Key(key) => (key.as_bytes().to_vec(), 0),
        CallName::Ticket(number) => (Vec::new(), number),
    }
}

/// Reads a name.
pub fn from_name(key: &[u8], ticket: u64) -> Option<CallName> {
    match key.is_empty() {
        true => Some(CallName::Ticket(ticket)),
        false => uuid(key).map(CallName::Key),
    }
}

/// Writes the calls of a process that leaves.
pub fn to_handover(
    incarnation: Incarnation,
    secret: &[u8],
    calls: &[Stored],
) -> generated::HandoverRequest {
    generated::HandoverRequest {
        incarnation: incarnation.as_bytes().to_vec(),
        ticket_secret: secret.to_vec(),
        answers: calls.iter().map(to_answer).collect(),
    }
}

fn to_answer(stored: &Stored) -> generated::Answer {
    let (key, ticket) = to_name(stored.name);
    let dropped = || generated::Reply {
        outcome: Outcome::Ran.word().to_owned(),
        ..generated::Reply::default()
    };
    generated::Answer {
        account: stored.account.to_string(),
        key,
        ticket,
        digest: stored.digest,
        reply: stored
            .ran
            .as_ref()
            .map(|reply| reply.as_ref().map_or_else(dropped, to_reply)),
    }
}

/// Reads the calls of a process that leaves.
pub fn from_answers(answers: Vec<generated::Answer>) -> Vec<Stored> {
    let read = |answer: generated::Answer| {
        let ran = answer.reply.map(|reply| match reply.status {
            0 => None,
            _ => Some(from_reply(reply)),
        });
        Some(Stored {
            account: answer.account.as_str().into(),
            name: from_name(&answer.key, answer.ticket)?,
            digest: answer.digest,
            ran,
        })
    };
    answers.into_iter().filter_map(read).collect()
}
