//! Parses a settings file as TOML and reads its names, addresses and durations.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use sapphireslip_core::{Located, NameError, TomlFaults, TomlTable, line_of};
use toml::Spanned;
use toml::de::DeTable;

use crate::{SettingsError, SettingsErrors, SettingsFault};

/// The faults of a settings file found so far.
pub(crate) type Faults<'a> = TomlFaults<'a, SettingsFault>;

/// A settings file that is valid TOML, before its values are checked; values keep their position in
/// the text.
#[derive(Debug)]
pub struct RawSettings<'a> {
    /// The whole text of the file.
    text: &'a str,
    table: Spanned<DeTable<'a>>,
}

impl<'a> TryFrom<&'a [u8]> for RawSettings<'a> {
    type Error = SettingsErrors;

    fn try_from(bytes: &'a [u8]) -> Result<Self, SettingsErrors> {
        let text = std::str::from_utf8(bytes).map_err(|err| {
            SettingsErrors(vec![SettingsError {
                line: None,
                path: String::new(),
                fault: SettingsFault::Utf8(err.valid_up_to()),
            }])
        })?;
        let (table, errors) = DeTable::parse_recoverable(text);
        if errors.is_empty() {
            return Ok(Self { text, table });
        }
        let error = |err: toml::de::Error| SettingsError {
            line: err.span().map(|span| line_of(text, span.start)),
            path: String::new(),
            fault: SettingsFault::Syntax(err.message().to_owned()),
        };
        Err(SettingsErrors(errors.into_iter().map(error).collect()))
    }
}

impl<'a> RawSettings<'a> {
    /// Returns the settings that `check` reads from the root table.
    ///
    /// # Errors
    ///
    /// Returns all faults that `check` added.
    pub(crate) fn check<T>(
        &self,
        check: impl FnOnce(TomlTable<'_>, &mut Faults<'a>) -> Option<T>,
    ) -> Result<T, SettingsErrors> {
        let table = TomlTable::new(self.table.get_ref(), 0, String::new());
        let mut faults = TomlFaults::new(self.text);
        let settings = check(table, &mut faults);
        let errors: Vec<_> = faults.into_sorted().into_iter().map(Into::into).collect();
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(SettingsErrors(errors)),
        }
    }
}

/// Reads a required name; adds a fault if it is missing or invalid.
pub(crate) fn name<N>(
    table: &mut TomlTable<'_>,
    faults: &mut Faults<'_>,
    key: &'static str,
) -> Option<Located<N>>
where
    N: for<'n> TryFrom<&'n str, Error = NameError>,
{
    table.name(faults, key, "a name such as `vm-1`")
}

/// Reads a required IP address with a port; adds a fault if it is missing or invalid.
pub(crate) fn address(
    table: &mut TomlTable<'_>,
    faults: &mut Faults<'_>,
    key: &'static str,
) -> Option<Located<SocketAddr>> {
    let expected = "an IP address and a port, such as `10.0.0.1:5432`";
    let text = table.text(faults, key, expected)?;
    address_of(table, faults, key, &text)
}

/// Reads an optional IP address with a port; adds a fault if it is invalid.
pub(crate) fn optional_address(
    table: &mut TomlTable<'_>,
    faults: &mut Faults<'_>,
    key: &'static str,
) -> Option<Located<SocketAddr>> {
    let text = table.optional_text(faults, key)?;
    address_of(table, faults, key, &text)
}

/// Parses a text as an IP address with a port other than 0; adds a fault if it is not one.
fn address_of(
    table: &TomlTable<'_>,
    faults: &mut Faults<'_>,
    key: &str,
    text: &Located<&str>,
) -> Option<Located<SocketAddr>> {
    let &Located { value, offset } = text;
    let fault = match value.parse::<SocketAddr>() {
        Ok(address) if address.port() == 0 => SettingsFault::PortZero(value.to_owned()),
        Ok(value) => return Some(Located { value, offset }),
        Err(_) => SettingsFault::InvalidAddress(value.to_owned()),
    };
    faults.add(offset, &table.path_of(key), fault);
    None
}

/// Reads an optional duration; adds a fault if it is invalid or longer than `max`.
pub(crate) fn duration(
    table: &mut TomlTable<'_>,
    faults: &mut Faults<'_>,
    key: &'static str,
    range: RangeInclusive<Duration>,
) -> Option<Duration> {
    let Located { value, offset } = table.optional_text(faults, key)?;
    let fault = match parse_duration(value) {
        None => SettingsFault::InvalidDuration(value.to_owned()),
        Some(duration) if duration > *range.end() => {
            SettingsFault::DurationTooLong(*range.end(), value.to_owned())
        }
        Some(duration) if duration < *range.start() => {
            SettingsFault::DurationTooShort(*range.start(), value.to_owned())
        }
        duration => return duration,
    };
    faults.add(offset, &table.path_of(key), fault);
    None
}

/// Parses a whole number of milliseconds, seconds or minutes, such as `250ms`, `30s` or `5m`.
fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let millis_per_unit = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        _ => return None,
    };
    let millis = number.parse::<u64>().ok()?.checked_mul(millis_per_unit)?;
    Some(Duration::from_millis(millis))
}
