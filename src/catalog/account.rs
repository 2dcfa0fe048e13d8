//! Client accounts and the keys that identify them.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;

use crate::id::AccountId;

/// Digest of a caller's key. The catalog holds no keys, and looking one up by its digest takes the
/// same time however many of its bytes are right.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    ///
    /// ```
    /// use pistachiohall::catalog::KeyDigest;
    /// assert_eq!(KeyDigest::of("k1"), KeyDigest::of("k1"));
    /// assert_ne!(KeyDigest::of("k1"), KeyDigest::of("k2"));
    /// assert_eq!(format!("{:?}", KeyDigest::of("k1")), "KeyDigest");
    /// ```
    pub fn of(key: &str) -> Self {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyDigest {
    /// Omits the digest, so that logs cannot be searched for a key.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name.
    pub name: AccountId,
    /// Urgency of its requests, which goes before their routes' priorities; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Client accounts by the digests of their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Accounts {
    by_key: HashMap<KeyDigest, Arc<Account>>,
    by_name: HashMap<AccountId, Arc<Account>>,
}

impl Accounts {
    /// Adds an account with its keys. Of two accounts with the same name or the same key, the first
    /// one keeps it; the names of those that keep a key of this account are returned.
    pub fn add<I>(&mut self, account: Account, keys: I) -> Vec<AccountId>
    where
        I: IntoIterator<Item = KeyDigest>,
    {
        let account = Arc::new(account);
        let account = self
            .by_name
            .entry(account.name.clone())
            .or_insert(account)
            .clone();
        let mut others = Vec::new();
        for key in keys {
            let holder = self.by_key.entry(key).or_insert_with(|| account.clone());
            if holder.name != account.name {
                others.push(holder.name.clone());
            }
        }
        others
    }

    /// Returns the account that holds a key.
    ///
    /// ```
    /// use pistachiohall::catalog::{Account, Accounts, KeyDigest};
    /// let mut accounts = Accounts::default();
    /// let account = Account { name: "desk".into(), priority: Some(1) };
    /// accounts.add(account, [KeyDigest::of("k1")]);
    /// assert_eq!(accounts.holder(&KeyDigest::of("k1")).unwrap().name, "desk");
    /// assert!(accounts.holder(&KeyDigest::of("k2")).is_none());
    /// ```
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }

    /// Returns `true` if there is an account of this name.
    pub fn contains(&self, name: &AccountId) -> bool {
        self.by_name.contains_key(name)
    }

    /// Returns all accounts.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns `true` if there are no accounts, so that only public routes are served.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
