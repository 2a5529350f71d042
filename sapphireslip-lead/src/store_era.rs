//! The era of the store, which rises each time that the store comes back from an older copy of its rows, and
//! the versions of rows, which hold it.

use sapphireslip_core::{data, key};

use crate::{RowVersion, StoreTime, StoreWrite};

/// The position of the era in a row version. Below it is the store's own number, for which this leaves a
/// trillion transactions.
const ERA_SHIFT: u32 = 40;

key! {
    /// The number of the store's era; higher after each return from an older copy.
    pub struct StoreEra(pub u64);
}

impl StoreEra {
    /// The era of a store that has never come back from a copy.
    pub const FIRST: Self = Self(1);

    /// The highest era that row versions can carry.
    pub const MAX: Self = Self(1 << 20);
}

impl Default for StoreEra {
    fn default() -> Self {
        Self::FIRST
    }
}

impl RowVersion {
    /// Returns the version that the store gives out as `number` in an era.
    ///
    /// The store gives out numbers again after a return from a copy; versions of a later era are higher than
    /// all of an earlier one. 0 stands for a row that does not exist, in any era.
    ///
    /// ```
    /// use sapphireslip_lead::{RowVersion, StoreEra};
    /// assert_eq!(RowVersion::in_era(StoreEra::FIRST, 57), RowVersion(57));
    /// let later = RowVersion::in_era(StoreEra(2), 41);
    /// assert!(later > RowVersion(57));
    /// assert_eq!((later.era(), later.number()), (StoreEra(2), 41));
    /// assert_eq!(RowVersion::in_era(StoreEra(2), 0), RowVersion(0));
    /// ```
    #[must_use]
    pub const fn in_era(era: StoreEra, number: u64) -> Self {
        if number == 0 {
            return Self(0);
        }
        Self((era.0.saturating_sub(StoreEra::FIRST.0) << ERA_SHIFT) + number)
    }

    /// Returns the era in which the store gave the version out.
    #[must_use]
    pub const fn era(self) -> StoreEra {
        StoreEra((self.0 >> ERA_SHIFT) + StoreEra::FIRST.0)
    }

    /// Returns the store's own number of the version.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0 & ((1 << ERA_SHIFT) - 1)
    }
}

data! {
    /// What a coordinator writes with the leaders that it has confirmed in an era.
    pub struct Confirmation {
        /// The era.
        pub era: StoreEra,
        /// A time by which the era had begun, by the store's clock.
        pub began: StoreTime,
    }
}

impl StoreWrite {
    /// Returns whether the write has a condition on a row of another era than `era`. The store may have given
    /// the number of that row's version to another row since.
    ///
    /// ```
    /// use sapphireslip_core::VmId;
    /// use sapphireslip_lead::{RowVersion, StoreEra, StoreWrite};
    /// let write = StoreWrite::DropPermission {
    ///     vm: VmId::try_from("vm-1")?,
    ///     permission_version: RowVersion(7),
    /// };
    /// assert!(!write.is_void_in(StoreEra::FIRST));
    /// assert!(write.is_void_in(StoreEra(2)));
    /// # Ok::<(), sapphireslip_core::NameError>(())
    /// ```
    #[must_use]
    pub fn is_void_in(&self, era: StoreEra) -> bool {
        let conditions: Vec<RowVersion> = match self {
            Self::RenewPermission {
                permission_version,
                generation,
                coordinator_version,
                ..
            } => [Some(*permission_version), *generation, *coordinator_version]
                .into_iter()
                .flatten()
                .collect(),
            Self::DropPermission {
                permission_version, ..
            } => vec![*permission_version],
            Self::SetCoordinator {
                coordinator_version,
                ended,
                ..
            } => {
                let ended = ended.as_ref().map(|(_, version)| *version);
                [*coordinator_version].into_iter().chain(ended).collect()
            }
            Self::NameLeaders {
                leaders,
                coordinator_version,
                generation,
                ..
            } => {
                let rows = leaders.iter().map(|leader| leader.version);
                rows.chain([*coordinator_version, *generation]).collect()
            }
        };
        let is_void = |version: &RowVersion| version.number() != 0 && version.era() != era;
        conditions.iter().any(is_void)
    }
}
