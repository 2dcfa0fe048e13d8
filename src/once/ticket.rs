//! Tickets, each of which allows one call. Only the process that issued a ticket may run the call.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;
use thiserror::Error;
use uuid::Uuid;

use crate::id::Incarnation;

/// Time after its issue for which a ticket may be used.
pub const TICKET_TTL: Duration = Duration::from_secs(12 * 3600);

/// Length of the authentication code.
const CODE_BYTES: usize = 16;
/// Length of a complete ticket before encoding.
const TICKET_BYTES: usize = 16 + 8 + 8 + CODE_BYTES;

/// Key that authenticates the tickets of one incarnation.
pub type Secret = [u8; 32];

/// Reason for refusing a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Fault {
    /// The text is not a well-formed ticket.
    #[error("the text is no ticket")]
    Form,
    /// The ticket was forged or altered, or belongs to another account.
    #[error("the ticket does not belong to this account")]
    Code,
    /// The ticket is past its lifetime.
    #[error("the ticket has expired")]
    Expired,
}

/// Permission to run one call, once, in one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    /// Incarnation that issued it and may run the call.
    pub incarnation: Incarnation,
    /// Number, unique within the incarnation.
    pub number: u64,
    /// Age of the issuer at the time of issue, in milliseconds.
    pub issued_ms: u64,
    code: [u8; CODE_BYTES],
}

impl Ticket {
    /// Returns `true` if `secret` authenticates the ticket for `account`.
    pub fn is_genuine(&self, secret: &Secret, account: &str) -> bool {
        let expected = code(
            secret,
            self.incarnation,
            self.number,
            self.issued_ms,
            account,
        );
        expected == self.code
    }
}

fn code(
    secret: &Secret,
    incarnation: Incarnation,
    number: u64,
    issued_ms: u64,
    account: &str,
) -> [u8; CODE_BYTES] {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(secret).expect("any key length fits");
    mac.update(incarnation.as_bytes());
    mac.update(&number.to_be_bytes());
    mac.update(&issued_ms.to_be_bytes());
    mac.update(account.as_bytes());
    let mut code = [0; CODE_BYTES];
    code.copy_from_slice(&mac.finalize().into_bytes()[..CODE_BYTES]);
    code
}

impl fmt::Display for Ticket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut bytes = Vec::with_capacity(TICKET_BYTES);
        bytes.extend_from_slice(self.incarnation.as_bytes());
        bytes.extend_from_slice(&self.number.to_be_bytes());
        bytes.extend_from_slice(&self.issued_ms.to_be_bytes());
        bytes.extend_from_slice(&self.code);
        formatter.write_str(&BASE64_URL_SAFE_NO_PAD.encode(bytes))
    }
}

impl FromStr for Ticket {
    type Err = Fault;

    fn from_str(text: &str) -> Result<Self, Fault> {
        let bytes = BASE64_URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| Fault::Form)?;
        if bytes.len() != TICKET_BYTES {
            return Err(Fault::Form);
        }
        let number = |offset: usize| {
            let field: [u8; 8] = bytes[offset..offset + 8].try_into().expect("8 bytes");
            u64::from_be_bytes(field)
        };
        let mut code = [0; CODE_BYTES];
        code.copy_from_slice(&bytes[32..]);
        Ok(Ticket {
            incarnation: Uuid::from_slice(&bytes[..16]).map_err(|_| Fault::Form)?,
            number: number(16),
            issued_ms: number(24),
            code,
        })
    }
}

/// Issues the tickets of one incarnation and checks them.
#[derive(Debug)]
pub struct Issuer {
    incarnation: Incarnation,
    secret: Secret,
    next_number: AtomicU64,
    started_at: Instant,
}

impl Issuer {
    /// Returns an issuer with a fresh secret.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::once::ticket::{Fault, Issuer};
    /// let now = Instant::now();
    /// let issuer = Issuer::new(uuid::Uuid::now_v7(), now);
    /// let ticket = issuer.issue("desk", now).to_string().parse().unwrap();
    /// assert_eq!(issuer.check(&ticket, "desk", now), Ok(()));
    /// assert_eq!(issuer.check(&ticket, "other", now), Err(Fault::Code));
    /// ```
    pub fn new(incarnation: Incarnation, now: Instant) -> Self {
        Issuer {
            incarnation,
            secret: rand::random(),
            next_number: AtomicU64::new(1),
            started_at: now,
        }
    }

    /// Issues a ticket for `account`.
    pub fn issue(&self, account: &str, now: Instant) -> Ticket {
        let number = self.next_number.fetch_add(1, Ordering::SeqCst);
        let issued_ms = self.age_ms(now);
        Ticket {
            incarnation: self.incarnation,
            number,
            issued_ms,
            code: code(&self.secret, self.incarnation, number, issued_ms, account),
        }
    }

    /// Checks that `account` may use a ticket of this incarnation now.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Code`] if the ticket isn't this incarnation's or the account's, and
    /// [`Fault::Expired`] if it is past its lifetime.
    pub fn check(&self, ticket: &Ticket, account: &str, now: Instant) -> Result<(), Fault> {
        if ticket.incarnation != self.incarnation || !ticket.is_genuine(&self.secret, account) {
            return Err(Fault::Code);
        }
        let age_ms = self.age_ms(now).saturating_sub(ticket.issued_ms);
        match u128::from(age_ms) > TICKET_TTL.as_millis() {
            true => Err(Fault::Expired),
            false => Ok(()),
        }
    }

    /// Returns the secret, which peers need to check tickets of a process that has left.
    pub fn secret(&self) -> Secret {
        self.secret
    }

    fn age_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started_at).as_millis() as u64
    }
}
