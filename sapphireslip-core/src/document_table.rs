//! Readers for the values of a document: numbers in a range, durations, addresses, lists of names.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use toml::de::DeValue;

use crate::raw_value::{parse_address, parse_duration};
use crate::{DocumentFault, Located, NameError, TomlFaults, TomlTable, ValueFault};

/// The faults found so far in the text of a document.
pub(crate) type Faults<'a> = TomlFaults<'a, DocumentFault>;

/// The expected type of a required text, for error messages.
const STRING_EXPECTED: &str = "a string";

impl<'t> TomlTable<'t> {
    /// Returns the text of a required key.
    pub(crate) fn document_text(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
    ) -> Option<Located<&'t str>> {
        self.text(faults, key, STRING_EXPECTED)
    }

    /// Returns the name that a required key gives.
    pub(crate) fn document_name<N>(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
    ) -> Option<Located<N>>
    where
        N: for<'n> TryFrom<&'n str, Error = NameError>,
    {
        self.name(faults, key, STRING_EXPECTED)
    }

    /// Returns an optional, non-empty list of names; `None` if it is missing, empty or not a list.
    /// Adds a fault if it is empty or not a list, and for each entry that is not a name; such
    /// entries are left out.
    pub(crate) fn names<N>(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
    ) -> Option<Vec<Located<N>>>
    where
        N: for<'n> TryFrom<&'n str, Error = NameError>,
    {
        let value = self.optional(key)?;
        let Some(items) = value.get_ref().as_array() else {
            let fault = ValueFault::Type("a list of strings", value.get_ref().type_str());
            faults.add(value.span().start, &self.path_of(key), fault);
            return None;
        };
        if items.is_empty() {
            faults.add(
                value.span().start,
                &self.path_of(key),
                DocumentFault::NoZones,
            );
            return None;
        }
        let mut names = Vec::new();
        for item in items.iter() {
            let text = self.text_of(faults, key, item);
            names.extend(text.and_then(|text| self.name_of(faults, key, &text)));
        }
        Some(names)
    }

    /// Returns a required whole number; `None`, with a fault, if it is outside `range`.
    pub(crate) fn number(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<Located<u64>> {
        let value = self.required(faults, key, "a whole number")?;
        let offset = value.span().start;
        let Some(number) = value.get_ref().as_integer() else {
            let fault = ValueFault::Type("a whole number", value.get_ref().type_str());
            faults.add(offset, &self.path_of(key), fault);
            return None;
        };
        match u64::from_str_radix(number.as_str(), number.radix()) {
            Ok(value) if range.contains(&value) => Some(Located { value, offset }),
            _ => {
                let (min, max) = range.into_inner();
                let fault = DocumentFault::OutOfRange(min, max, number.to_string());
                faults.add(offset, &self.path_of(key), fault);
                None
            }
        }
    }

    /// Returns an optional boolean; `false` if it is missing.
    pub(crate) fn flag(&mut self, faults: &mut Faults<'_>, key: &'static str) -> bool {
        let Some(value) = self.optional(key) else {
            return false;
        };
        if let Some(flag) = value.get_ref().as_bool() {
            return flag;
        }
        let fault = ValueFault::Type("`true` or `false`", value.get_ref().type_str());
        faults.add(value.span().start, &self.path_of(key), fault);
        false
    }

    /// Returns a required duration, written as a number with a unit; `None`, with a fault, if it is
    /// outside `range`.
    pub(crate) fn duration(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
        range: RangeInclusive<Duration>,
    ) -> Option<Duration> {
        let value = self.required(faults, key, "a duration such as `250ms`")?;
        let offset = value.span().start;
        let path = self.path_of(key);
        let text = match value.get_ref() {
            DeValue::String(text) => text.to_string(),
            DeValue::Integer(number) => number.to_string(),
            other => {
                let fault = ValueFault::Type("a duration such as `250ms`", other.type_str());
                faults.add(offset, &path, fault);
                return None;
            }
        };
        let Some(duration) = parse_duration(&text) else {
            faults.add(offset, &path, DocumentFault::InvalidDuration(text));
            return None;
        };
        if !range.contains(&duration) {
            let (min, max) = range.into_inner();
            faults.add(
                offset,
                &path,
                DocumentFault::DurationOutOfRange(min, max, text),
            );
            return None;
        }
        Some(duration)
    }

    /// Returns a required socket address, written as an IP address and a port.
    pub(crate) fn address(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
    ) -> Option<Located<SocketAddr>> {
        let text = self.text(faults, key, STRING_EXPECTED)?;
        match parse_address(text.value) {
            Ok(value) => Some(Located {
                value,
                offset: text.offset,
            }),
            Err(fault) => {
                faults.add(text.offset, &self.path_of(key), fault);
                None
            }
        }
    }
}
