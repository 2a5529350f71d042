//! Access to the arguments of a script command.

use std::error::Error;
use std::str::FromStr;

use goldenscript::{ArgumentConsumer, Command};

/// The arguments of a command that have not been taken yet.
pub struct ScriptArgs<'a> {
    /// The source of the arguments, which tracks the ones taken.
    rest: ArgumentConsumer<'a>,
}

impl<'a> ScriptArgs<'a> {
    /// Returns the arguments of a command.
    pub fn new(command: &'a Command) -> Self {
        Self {
            rest: command.consume_args(),
        }
    }

    /// Takes the next positional argument.
    ///
    /// # Errors
    ///
    /// Returns an error that names `what` is missing if there is none.
    pub fn next(&mut self, what: &str) -> Result<&'a str, Box<dyn Error>> {
        self.rest
            .next_pos()
            .ok_or_else(|| format!("give {what}").into())
    }

    /// Takes the value of a key; `None` if the key is not given.
    pub fn text(&mut self, key: &str) -> Option<&'a str> {
        self.rest.take_key(key)
    }

    /// Takes and parses the value of a key; `None` if the key is not given.
    ///
    /// # Errors
    ///
    /// Returns an error if the value can't be parsed.
    pub fn parse<T>(&mut self, key: &str) -> Result<Option<T>, Box<dyn Error>>
    where
        T: FromStr,
        T::Err: Error + 'static,
    {
        Ok(self.rest.take_key(key).map(str::parse).transpose()?)
    }

    /// Returns an error if an argument has not been taken, such as a misspelled key.
    pub fn reject_rest(&self) -> Result<(), Box<dyn Error>> {
        self.rest.reject_next()
    }
}
