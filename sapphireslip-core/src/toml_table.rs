//! Reads the values of one TOML table by key and reports every fault that it meets.

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::{NameError, TomlFaults, ValueFault};

/// A value with its position in the text.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// The byte offset in the text at which the value begins.
    pub offset: usize,
}

/// A TOML table whose known keys are recorded as they are read, so that [`TomlTable::finish`] can
/// report the unknown ones.
///
/// ```
/// use sapphireslip_core::{TomlFaults, TomlTable, ValueFault, VmId};
/// let text = "vm = \"vm-1\"\nzoen = \"a\"\n";
/// let (parsed, _errors) = toml::de::DeTable::parse_recoverable(text);
/// let mut faults = TomlFaults::<ValueFault>::new(text);
/// let mut table = TomlTable::new(parsed.get_ref(), 0, String::new());
/// let vm = table.name::<VmId, _>(&mut faults, "vm", "a name");
/// assert_eq!(vm.map(|vm| vm.value.to_string()).as_deref(), Some("vm-1"));
/// table.finish(&mut faults);
/// assert_eq!(faults.into_sorted()[0].path, "zoen");
/// ```
#[derive(Debug)]
pub struct TomlTable<'t> {
    /// The parsed table.
    table: &'t DeTable<'t>,
    /// The byte offset in the text at which the table begins.
    offset: usize,
    /// The path of the table's key, such as `database.stock`; empty for the whole text.
    path: String,
    /// The keys that have been asked for so far.
    known: Vec<&'static str>,
}

impl<'t> TomlTable<'t> {
    /// Returns a reader for the table with the key `path` that begins at the byte `offset`.
    #[must_use]
    pub const fn new(table: &'t DeTable<'t>, offset: usize, path: String) -> Self {
        Self {
            table,
            offset,
            path,
            known: Vec::new(),
        }
    }

    /// Returns the byte offset in the text at which the table begins.
    #[must_use]
    pub const fn offset(&self) -> usize {
        self.offset
    }

    /// Returns the path of the table's key; empty for the whole text.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the full path of a key of the table, such as `limits.sessions`.
    #[must_use]
    pub fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Replaces the index in the table's path, such as `database[0]`, by the entry's own name.
    pub fn rename(&mut self, array: &str, name: &str) {
        self.path = format!("{array}.{name}");
    }

    /// Returns the value of an optional key and records the key as known.
    pub fn optional(&mut self, key: &'static str) -> Option<&'t Spanned<DeValue<'t>>> {
        self.known.push(key);
        self.table.get(key)
    }

    /// Returns the value of a required key; adds a fault that names what is `expected` if it is
    /// missing.
    pub fn required<F: From<ValueFault>>(
        &mut self,
        faults: &mut TomlFaults<'_, F>,
        key: &'static str,
        expected: &'static str,
    ) -> Option<&'t Spanned<DeValue<'t>>> {
        let value = self.optional(key);
        if value.is_none() {
            let path = self.path_of(key);
            faults.add(self.offset, &path, ValueFault::Missing(expected));
        }
        value
    }

    /// Returns the text of a required key; adds a fault if it is missing, empty or not a string.
    pub fn text<F: From<ValueFault>>(
        &mut self,
        faults: &mut TomlFaults<'_, F>,
        key: &'static str,
        expected: &'static str,
    ) -> Option<Located<&'t str>> {
        let value = self.required(faults, key, expected)?;
        self.text_of(faults, key, value)
    }

    /// Returns the text of an optional key; adds a fault if it is empty or not a string.
    pub fn optional_text<F: From<ValueFault>>(
        &mut self,
        faults: &mut TomlFaults<'_, F>,
        key: &'static str,
    ) -> Option<Located<&'t str>> {
        let value = self.optional(key)?;
        self.text_of(faults, key, value)
    }

    /// Returns a value of `key` as a text; adds a fault if it is empty or not a string.
    pub fn text_of<F: From<ValueFault>>(
        &self,
        faults: &mut TomlFaults<'_, F>,
        key: &str,
        value: &'t Spanned<DeValue<'t>>,
    ) -> Option<Located<&'t str>> {
        let offset = value.span().start;
        let Some(text) = value.get_ref().as_str() else {
            let fault = ValueFault::Type("a string", value.get_ref().type_str());
            faults.add(offset, &self.path_of(key), fault);
            return None;
        };
        if text.is_empty() {
            faults.add(offset, &self.path_of(key), ValueFault::EmptyText);
            return None;
        }
        Some(Located {
            value: text,
            offset,
        })
    }

    /// Returns the name of a required key; adds a fault if it is missing or not a valid name.
    pub fn name<N, F: From<ValueFault>>(
        &mut self,
        faults: &mut TomlFaults<'_, F>,
        key: &'static str,
        expected: &'static str,
    ) -> Option<Located<N>>
    where
        N: for<'n> TryFrom<&'n str, Error = NameError>,
    {
        let text = self.text(faults, key, expected)?;
        self.name_of(faults, key, &text)
    }

    /// Converts a text of `key` to a name; adds a fault if it is not a valid name.
    pub fn name_of<N, F: From<ValueFault>>(
        &self,
        faults: &mut TomlFaults<'_, F>,
        key: &str,
        text: &Located<&str>,
    ) -> Option<Located<N>>
    where
        N: for<'n> TryFrom<&'n str, Error = NameError>,
    {
        match N::try_from(text.value) {
            Ok(value) => Some(Located {
                value,
                offset: text.offset,
            }),
            Err(err) => {
                faults.add(text.offset, &self.path_of(key), ValueFault::Name(err));
                None
            }
        }
    }

    /// Returns the table of a required key; adds a fault if it is missing or not a table.
    pub fn table<F: From<ValueFault>>(
        &mut self,
        faults: &mut TomlFaults<'_, F>,
        key: &'static str,
    ) -> Option<Self> {
        let value = self.required(faults, key, "a table")?;
        self.table_of(faults, key, value)
    }

    /// Returns the table of an optional key; adds a fault if it is not a table.
    pub fn optional_table<F: From<ValueFault>>(
        &mut self,
        faults: &mut TomlFaults<'_, F>,
        key: &'static str,
    ) -> Option<Self> {
        let value = self.optional(key)?;
        self.table_of(faults, key, value)
    }

    fn table_of<F: From<ValueFault>>(
        &self,
        faults: &mut TomlFaults<'_, F>,
        key: &str,
        value: &'t Spanned<DeValue<'t>>,
    ) -> Option<Self> {
        let path = self.path_of(key);
        let Some(table) = value.get_ref().as_table() else {
            let fault = ValueFault::Type("a table", value.get_ref().type_str());
            faults.add(value.span().start, &path, fault);
            return None;
        };
        Some(Self::new(table, value.span().start, path))
    }

    /// Returns the tables of an optional array; empty if it is missing. Adds a fault if the value is
    /// not an array, and for each entry that is not a table.
    pub fn tables<F: From<ValueFault>>(
        &mut self,
        faults: &mut TomlFaults<'_, F>,
        key: &'static str,
    ) -> Vec<Self> {
        let Some(value) = self.optional(key) else {
            return Vec::new();
        };
        let path = self.path_of(key);
        let Some(items) = value.get_ref().as_array() else {
            let fault = ValueFault::Type("an array of tables", value.get_ref().type_str());
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
                    let fault = ValueFault::Type("a table", item.get_ref().type_str());
                    faults.add(start, &path, fault);
                }
            }
        }
        tables
    }

    /// Adds a fault for each key of the table that was never asked for.
    pub fn finish<F: From<ValueFault>>(self, faults: &mut TomlFaults<'_, F>) {
        let quoted: Vec<String> = self.known.iter().map(|key| format!("`{key}`")).collect();
        for key in self.table.keys() {
            if !self.known.contains(&key.get_ref().as_ref()) {
                let fault = ValueFault::UnknownKey(quoted.join(", "));
                faults.add(key.span().start, &self.path_of(key.get_ref()), fault);
            }
        }
    }
}
