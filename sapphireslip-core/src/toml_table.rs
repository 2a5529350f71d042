//! One table of a document: hands out its values by key and collects every fault on the way.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::document_faults::Faults;
use crate::raw_value::{parse_address, parse_duration};
use crate::{DocumentFault, NameError};

/// A value with its place in the text.
pub(crate) struct Placed<T> {
    pub(crate) value: T,
    pub(crate) offset: usize,
}

/// A table with the path of its key.
pub(crate) struct RawTable<'t> {
    table: &'t DeTable<'t>,
    offset: usize,
    pub(crate) path: String,
    known: Vec<&'static str>,
}

impl<'t> RawTable<'t> {
    pub(crate) const fn new(table: &'t DeTable<'t>, offset: usize, path: String) -> Self {
        Self {
            table,
            offset,
            path,
            known: Vec::new(),
        }
    }

    /// Returns where the table begins in the text.
    pub(crate) const fn offset(&self) -> usize {
        self.offset
    }

    pub(crate) fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Replaces the place in an array, such as `database[0]`, by the entry's own name.
    pub(crate) fn rename(&mut self, array: &str, name: &str) {
        self.path = format!("{array}.{name}");
    }

    /// Returns the value of a key, if it is there, and notes the key as known.
    pub(crate) fn optional(&mut self, key: &'static str) -> Option<&'t Spanned<DeValue<'t>>> {
        self.known.push(key);
        self.table.get(key)
    }

    fn required(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
        expected: &'static str,
    ) -> Option<&'t Spanned<DeValue<'t>>> {
        let value = self.optional(key);
        if value.is_none() {
            let path = self.path_of(key);
            faults.add(self.offset, &path, DocumentFault::Missing(expected));
        }
        value
    }

    /// Returns a required text.
    pub(crate) fn text(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
    ) -> Option<Placed<&'t str>> {
        let value = self.required(faults, key, "a string")?;
        self.text_of(faults, key, value)
    }

    fn text_of(
        &self,
        faults: &mut Faults<'_>,
        key: &str,
        value: &'t Spanned<DeValue<'t>>,
    ) -> Option<Placed<&'t str>> {
        let offset = value.span().start;
        let Some(text) = value.get_ref().as_str() else {
            let fault = DocumentFault::Type("a string", value.get_ref().type_str());
            faults.add(offset, &self.path_of(key), fault);
            return None;
        };
        if text.is_empty() {
            faults.add(offset, &self.path_of(key), DocumentFault::EmptyText);
            return None;
        }
        Some(Placed {
            value: text,
            offset,
        })
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
        let text = self.text(faults, key)?;
        self.name_of(faults, key, &text)
    }

    fn name_of<N>(
        &self,
        faults: &mut Faults<'_>,
        key: &str,
        text: &Placed<&str>,
    ) -> Option<Placed<N>>
    where
        N: for<'n> TryFrom<&'n str, Error = NameError>,
    {
        match N::try_from(text.value) {
            Ok(value) => Some(Placed {
                value,
                offset: text.offset,
            }),
            Err(err) => {
                faults.add(text.offset, &self.path_of(key), DocumentFault::Name(err));
                None
            }
        }
    }

    /// Returns an optional list of names; none if it is not there or has a fault.
    pub(crate) fn names<N>(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
    ) -> Option<Vec<Placed<N>>>
    where
        N: for<'n> TryFrom<&'n str, Error = NameError>,
    {
        let value = self.optional(key)?;
        let Some(items) = value.get_ref().as_array() else {
            let fault = DocumentFault::Type("a list of strings", value.get_ref().type_str());
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

    /// Returns a required whole number in a range.
    pub(crate) fn number(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<Placed<u64>> {
        let value = self.required(faults, key, "a whole number")?;
        let offset = value.span().start;
        let Some(number) = value.get_ref().as_integer() else {
            let fault = DocumentFault::Type("a whole number", value.get_ref().type_str());
            faults.add(offset, &self.path_of(key), fault);
            return None;
        };
        match u64::from_str_radix(number.as_str(), number.radix()) {
            Ok(value) if range.contains(&value) => Some(Placed { value, offset }),
            _ => {
                let (min, max) = range.into_inner();
                let fault = DocumentFault::Range(min, max, number.to_string());
                faults.add(offset, &self.path_of(key), fault);
                None
            }
        }
    }

    /// Returns an optional yes or no; `false` if it is not there.
    pub(crate) fn flag(&mut self, faults: &mut Faults<'_>, key: &'static str) -> bool {
        let Some(value) = self.optional(key) else {
            return false;
        };
        if let Some(flag) = value.get_ref().as_bool() {
            return flag;
        }
        let fault = DocumentFault::Type("`true` or `false`", value.get_ref().type_str());
        faults.add(value.span().start, &self.path_of(key), fault);
        false
    }

    /// Returns a required duration in a range, written as a number with its unit.
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
                let fault = DocumentFault::Type("a duration such as `250ms`", other.type_str());
                faults.add(offset, &path, fault);
                return None;
            }
        };
        let Some(duration) = parse_duration(&text) else {
            faults.add(offset, &path, DocumentFault::Duration(text));
            return None;
        };
        if !range.contains(&duration) {
            let (min, max) = range.into_inner();
            faults.add(offset, &path, DocumentFault::DurationRange(min, max, text));
            return None;
        }
        Some(duration)
    }

    /// Returns a required IP number with a port.
    pub(crate) fn address(
        &mut self,
        faults: &mut Faults<'_>,
        key: &'static str,
    ) -> Option<Placed<SocketAddr>> {
        let text = self.text(faults, key)?;
        match parse_address(text.value) {
            Ok(value) => Some(Placed {
                value,
                offset: text.offset,
            }),
            Err(fault) => {
                faults.add(text.offset, &self.path_of(key), fault);
                None
            }
        }
    }

    /// Returns a required table; an empty one, with a fault noted, if it is not there.
    pub(crate) fn table(&mut self, faults: &mut Faults<'_>, key: &'static str) -> Option<Self> {
        let value = self.required(faults, key, "a table")?;
        let path = self.path_of(key);
        let Some(table) = value.get_ref().as_table() else {
            let fault = DocumentFault::Type("a table", value.get_ref().type_str());
            faults.add(value.span().start, &path, fault);
            return None;
        };
        Some(Self::new(table, value.span().start, path))
    }

    /// Returns the tables of an array, none if it is not there.
    pub(crate) fn tables(&mut self, faults: &mut Faults<'_>, key: &'static str) -> Vec<Self> {
        let Some(value) = self.optional(key) else {
            return Vec::new();
        };
        let path = self.path_of(key);
        let Some(items) = value.get_ref().as_array() else {
            let fault = DocumentFault::Type("an array of tables", value.get_ref().type_str());
            faults.add(value.span().start, &path, fault);
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (index, item) in items.iter().enumerate() {
            let path = format!("{path}[{index}]");
            let start = item.span().start;
            match item.get_ref().as_table() {
                Some(table) => tables.push(Self::new(table, start, path)),
                None => {
                    let fault = DocumentFault::Type("a table", item.get_ref().type_str());
                    faults.add(start, &path, fault);
                }
            }
        }
        tables
    }

    /// Notes every key that nothing asked for.
    pub(crate) fn finish(self, faults: &mut Faults<'_>) {
        let quoted: Vec<String> = self.known.iter().map(|key| format!("`{key}`")).collect();
        for key in self.table.keys() {
            if !self.known.contains(&key.get_ref().as_ref()) {
                let fault = DocumentFault::UnknownKey(quoted.join(", "));
                faults.add(key.span().start, &self.path_of(key.get_ref()), fault);
            }
        }
    }
}
