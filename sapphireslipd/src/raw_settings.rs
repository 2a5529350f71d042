//! A settings file as TOML, before its values are checked; hands them out and collects faults.

use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::NameError;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::{SettingsError, SettingsErrors, SettingsFault};

/// A settings file that is TOML; every value keeps its place in the text.
#[derive(Debug)]
pub struct RawSettings<'a> {
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
    /// Returns the outermost table, and a collector for its faults.
    pub(crate) fn open(&self) -> (RawSection<'_>, Faults<'a>) {
        let section = RawSection::new(self.table.get_ref(), 0, String::new());
        let faults = Faults {
            text: self.text,
            found: Vec::new(),
        };
        (section, faults)
    }
}

/// Returns the line of a byte of the text, from 1 on.
fn line_of(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    1 + before.filter(|byte| **byte == b'\n').count()
}

/// The faults found so far.
#[derive(Debug)]
pub(crate) struct Faults<'a> {
    text: &'a str,
    found: Vec<SettingsError>,
}

impl Faults<'_> {
    /// Adds a fault at a place of the text.
    pub(crate) fn add(&mut self, offset: usize, path: String, fault: SettingsFault) {
        self.found.push(SettingsError {
            line: Some(self.line(offset)),
            path,
            fault,
        });
    }

    /// Returns the line of a place in the text.
    pub(crate) fn line(&self, offset: usize) -> usize {
        line_of(self.text, offset)
    }

    /// Returns all faults in the order of their lines, if there are any.
    pub(crate) fn into_errors(mut self) -> Option<SettingsErrors> {
        self.found.sort_by_key(|err| err.line);
        (!self.found.is_empty()).then_some(SettingsErrors(self.found))
    }
}

/// A checked value with its place in the text.
#[derive(Clone, Debug)]
pub(crate) struct Placed<T> {
    pub(crate) value: T,
    pub(crate) offset: usize,
}

/// A table with the path of its key.
#[derive(Debug)]
pub(crate) struct RawSection<'t> {
    table: &'t DeTable<'t>,
    offset: usize,
    path: String,
    known: Vec<&'static str>,
}

impl<'t> RawSection<'t> {
    const fn new(table: &'t DeTable<'t>, offset: usize, path: String) -> Self {
        Self {
            table,
            offset,
            path,
            known: Vec::new(),
        }
    }

    /// Returns the path of a key of this table.
    pub(crate) fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    fn optional(&mut self, key: &'static str) -> Option<&'t Spanned<DeValue<'t>>> {
        self.known.push(key);
        self.table.get(key)
    }

    /// Returns a text that may be left out.
    pub(crate) fn optional_text(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
    ) -> Option<Placed<&'t str>> {
        let value = self.optional(key)?;
        let offset = value.span().start;
        let fault = match value.get_ref().as_str() {
            Some("") => SettingsFault::EmptyText,
            Some(value) => return Some(Placed { value, offset }),
            None => SettingsFault::Type("a string", value.get_ref().type_str()),
        };
        faults.add(offset, self.path_of(key), fault);
        None
    }

    /// Returns a required text.
    pub(crate) fn text(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
        expected: &'static str,
    ) -> Option<Placed<&'t str>> {
        if !self.table.contains_key(key) {
            let fault = SettingsFault::Missing(expected);
            faults.add(self.offset, self.path_of(key), fault);
        }
        self.optional_text(faults, key)
    }

    /// Returns a required name.
    pub(crate) fn name<N>(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
    ) -> Option<Placed<N>>
    where
        N: for<'n> TryFrom<&'n str, Error = NameError>,
    {
        let Placed { value, offset } = self.text(faults, key, "a name such as `vm-1`")?;
        match N::try_from(value) {
            Ok(value) => Some(Placed { value, offset }),
            Err(err) => {
                faults.add(offset, self.path_of(key), SettingsFault::Name(err));
                None
            }
        }
    }

    /// Returns a required IP number with a port.
    pub(crate) fn address(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
    ) -> Option<Placed<SocketAddr>> {
        let expected = "an IP number and a port, such as `10.0.0.1:5432`";
        let text = self.text(faults, key, expected)?;
        self.address_of(faults, key, &text)
    }

    /// Returns an IP number with a port that may be left out.
    pub(crate) fn optional_address(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
    ) -> Option<Placed<SocketAddr>> {
        let text = self.optional_text(faults, key)?;
        self.address_of(faults, key, &text)
    }

    fn address_of(
        &self,
        faults: &mut Faults<'_>,
        key: &str,
        text: &Placed<&str>,
    ) -> Option<Placed<SocketAddr>> {
        let &Placed { value, offset } = text;
        let fault = match value.parse::<SocketAddr>() {
            Ok(address) if address.port() == 0 => SettingsFault::PortZero(value.to_owned()),
            Ok(value) => return Some(Placed { value, offset }),
            Err(_) => SettingsFault::Address(value.to_owned()),
        };
        faults.add(offset, self.path_of(key), fault);
        None
    }

    /// Returns a duration that may be left out.
    pub(crate) fn duration(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
        max: Duration,
    ) -> Option<Duration> {
        let Placed { value, offset } = self.optional_text(faults, key)?;
        let fault = match parse_duration(value) {
            None => SettingsFault::Duration(value.to_owned()),
            Some(duration) if duration > max => SettingsFault::DurationRange(max, value.to_owned()),
            duration => return duration,
        };
        faults.add(offset, self.path_of(key), fault);
        None
    }

    /// Returns a table that may be left out.
    pub(crate) fn section(&mut self, faults: &mut Faults<'_>, key: &'static str) -> Option<Self> {
        let value = self.optional(key)?;
        let path = self.path_of(key);
        let offset = value.span().start;
        if let Some(table) = value.get_ref().as_table() {
            return Some(Self::new(table, offset, path));
        }
        let fault = SettingsFault::Type("a table", value.get_ref().type_str());
        faults.add(offset, path, fault);
        None
    }

    /// Returns the tables of an array, none if it is not there.
    pub(crate) fn sections(&mut self, faults: &mut Faults<'_>, key: &'static str) -> Vec<Self> {
        let Some(value) = self.optional(key) else {
            return Vec::new();
        };
        let path = self.path_of(key);
        let Some(items) = value.get_ref().as_array() else {
            let fault = SettingsFault::Type("an array of tables", value.get_ref().type_str());
            faults.add(value.span().start, path, fault);
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, item) in items.iter().enumerate() {
            let path = format!("{path}[{index}]");
            let offset = item.span().start;
            match item.get_ref().as_table() {
                Some(table) => sections.push(Self::new(table, offset, path)),
                None => {
                    let fault = SettingsFault::Type("a table", item.get_ref().type_str());
                    faults.add(offset, path, fault);
                }
            }
        }
        sections
    }

    /// Adds a fault for every key that nothing asked for.
    pub(crate) fn finish(self, faults: &mut Faults<'_>) {
        let quoted: Vec<_> = self.known.iter().map(|key| format!("`{key}`")).collect();
        for key in self.table.keys() {
            if !self.known.contains(&key.get_ref().as_ref()) {
                let fault = SettingsFault::UnknownKey(quoted.join(", "));
                faults.add(key.span().start, self.path_of(key.get_ref()), fault);
            }
        }
    }
}

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
