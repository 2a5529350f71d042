//! Client accounts: who may open sessions, and how much each account may ask for.

use std::collections::{BTreeMap, HashMap};

use sapphireslip_core::{AccountName, Text, data, key};

key! {
    /// A digest of the key by which a client identifies its account.
    ///
    /// Only the decoders of the wire formats see the key itself.
    pub struct KeyDigest(pub [u8; 16]);

    /// A limit on the operations of an account, in thousandths of an operation.
    ///
    /// An operation is a single statement or a transaction.
    pub struct RateLimit {
        /// The operations per second.
        pub per_second: u64,
        /// The operations that may come at once after a pause.
        pub burst: u64,
    }
}

data! {
    /// A client account of the configuration.
    pub struct Account {
        /// The name, which backend servers are told.
        pub name: AccountName,
        /// The limit on the operations that the account may run, over all daemons; none if they are
        /// not limited.
        pub limit: Option<RateLimit>,
    }

    /// The client accounts of a configuration.
    #[derive(Default)]
    pub struct Accounts {
        /// The accounts by name.
        by_name: BTreeMap<AccountName, Account>,
        /// The account of each key; none for a key of several accounts.
        by_key: HashMap<KeyDigest, Option<AccountName>>,
        /// Why accounts or keys of the configuration were left out.
        faults: Vec<Text>,
        /// Whether clients need a key although no account may be named.
        are_required: bool,
    }
}

impl Accounts {
    /// Adds an account with its keys.
    ///
    /// A key that several accounts have belongs to none of them. Of two accounts with one
    /// name, the first is kept.
    ///
    /// ```
    /// use sapphireslip_core::AccountName;
    /// use sapphireslip_lead::{Account, Accounts, KeyDigest};
    /// let key = KeyDigest([1; 16]);
    /// let account = |name| AccountName::try_from(name).map(|name| Account { name, limit: None });
    /// let mut accounts = Accounts::default();
    /// accounts.add(account("mill")?, [key]);
    /// assert_eq!(accounts.by_key(&key), Some(&account("mill")?));
    /// accounts.add(account("dock")?, [key]);
    /// assert_eq!(accounts.by_key(&key), None);
    /// # Ok::<(), sapphireslip_core::NameError>(())
    /// ```
    pub fn add(&mut self, account: Account, keys: impl IntoIterator<Item = KeyDigest>) {
        if self.by_name.contains_key(&account.name) {
            return self.leave_out(format!("there are two accounts `{}`", account.name).into());
        }
        for key in keys {
            let name = Some(account.name.clone());
            let held = self.by_key.entry(key).or_insert_with(|| name.clone());
            if *held == name {
                continue;
            }
            let other = held.take();
            let other =
                other.map_or_else(|| "other accounts".to_owned(), |name| format!("`{name}`"));
            let fault = format!("{other} and `{}` have the same key", account.name);
            self.leave_out(fault.into());
        }
        self.by_name.insert(account.name.clone(), account);
    }

    /// Records why an account or a key of the configuration was left out.
    pub fn leave_out(&mut self, fault: Text) {
        self.faults.push(fault);
    }

    /// Returns why accounts or keys of the configuration were left out.
    #[must_use]
    pub fn faults(&self) -> &[Text] {
        &self.faults
    }

    /// Returns the account that a key belongs to.
    #[must_use]
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Account> {
        self.by_name.get(self.by_key.get(key)?.as_ref()?)
    }

    /// Returns the account of a name.
    #[must_use]
    pub fn get(&self, name: &AccountName) -> Option<&Account> {
        self.by_name.get(name)
    }

    /// Returns all accounts, by name.
    pub fn all(&self) -> impl Iterator<Item = &Account> {
        self.by_name.values()
    }

    /// Returns the keys that belong to one account each, and those accounts.
    pub fn keys(&self) -> impl Iterator<Item = (&KeyDigest, &AccountName)> {
        let held = self.by_key.iter();
        held.filter_map(|(key, name)| Some((key, name.as_ref()?)))
    }

    /// Returns whether the configuration names no accounts, not even unreadable ones.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty() && self.faults.is_empty()
    }

    /// Has clients need a key although no account has been added: then nobody has one.
    pub fn require(&mut self) {
        self.are_required |= self.is_empty();
    }

    /// Returns whether clients need a key of an account, unless their route is public.
    ///
    /// ```
    /// use sapphireslip_lead::Accounts;
    /// let mut accounts = Accounts::default();
    /// assert!(!accounts.are_required(), "a deployment without accounts");
    /// accounts.require();
    /// assert!(accounts.are_required(), "the last account was removed");
    /// ```
    #[must_use]
    pub fn are_required(&self) -> bool {
        self.are_required || !self.is_empty()
    }
}
