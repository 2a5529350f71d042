//! What daemons and the coordinator tell each other about shares of accounts' limits, and the bounds
//! that both keep.

use std::time::Duration;

use sapphireslip_core::{AccountName, Incarnation, VmId, data};

/// How long a share is lent. A new coordinator needs up to 6 s and about 1 s more to take over, and
/// borrowers go on with their shares until then.
pub const SHARE_LEASE: Duration = Duration::from_secs(8);

/// The part of the slack, in tenths, that goes to the coordinator's own bucket. The smallest accounts
/// need it: a bucket of few tokens is too often full or empty when operations arrive at random.
const COORDINATOR_SLACK_TENTHS: u64 = 4;

data! {
    /// How far the operations of an account may exceed its limit.
    ///
    /// In any span of `window`, at most `(rate * window + burst) * (1 + overshoot) + slack` operations
    /// run.
    pub struct RateBounds {
        /// The length of the span.
        pub window: Duration,
        /// The overshoot, in thousandths.
        pub overshoot_millis: u32,
        /// The operations beyond the limit and the overshoot.
        pub slack: u64,
    }

    /// A daemon's request to the coordinator for shares and tokens.
    pub struct ShareRequest {
        /// The VM of the daemon.
        pub vm: VmId,
        /// The run of the daemon.
        pub incarnation: Incarnation,
        /// The number of the request; it rises with each request of a run.
        pub sequence: u64,
        /// Whether the request lists every account of which the daemon uses a share. Shares of the
        /// others are then returned.
        pub is_complete: bool,
        /// What the daemon asks for.
        pub accounts: Vec<AccountAsk>,
    }

    /// What a daemon uses and asks for of one account's limit.
    pub struct AccountAsk {
        /// The account.
        pub account: AccountName,
        /// The share that the daemon uses, in millionths of the limit.
        pub share: u32,
        /// The operations that clients ask for per second, in thousandths.
        pub demand_millis: u64,
        /// The number of tokens that the daemon wants at once.
        pub wanted: u64,
    }

    /// The coordinator's answer to a request for shares and tokens.
    pub struct ShareAnswer {
        /// The number of the request.
        pub sequence: u64,
        /// How long the shares are lent, counted from the sending of the request.
        pub lease: Duration,
        /// What the coordinator gives.
        pub accounts: Vec<AccountLoan>,
    }

    /// What the coordinator gives of one account's limit.
    pub struct AccountLoan {
        /// The account.
        pub account: AccountName,
        /// The share, in millionths of the limit.
        pub share: u32,
        /// The number of tokens.
        pub tokens: u64,
    }
}

impl Default for RateBounds {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overshoot_millis: 100,
            slack: 20,
        }
    }
}

impl RateBounds {
    /// Returns how long a token that the coordinator issued is valid, counted from the sending of
    /// the request.
    ///
    /// ```
    /// use std::time::Duration;
    /// let bounds = sapphireslip_lead::RateBounds::default();
    /// assert_eq!(bounds.token_time(), Duration::from_millis(500));
    /// ```
    #[must_use]
    pub fn token_time(&self) -> Duration {
        self.window * self.overshoot_millis / 1_000
    }

    /// Returns the tokens that the coordinator's bucket holds beyond its share of the burst.
    ///
    /// ```
    /// assert_eq!(sapphireslip_lead::RateBounds::default().coordinator_spare(), 8);
    /// ```
    #[must_use]
    pub const fn coordinator_spare(&self) -> u64 {
        self.slack * COORDINATOR_SLACK_TENTHS / 10
    }

    /// Returns the most daemons that may have a share of one account's limit at a time. Each holds
    /// up to one token of the slack.
    ///
    /// ```
    /// assert_eq!(sapphireslip_lead::RateBounds::default().borrowers_max(), 12);
    /// ```
    #[must_use]
    pub const fn borrowers_max(&self) -> u64 {
        self.slack - self.coordinator_spare()
    }
}
