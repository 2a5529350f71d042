//! The arguments of a script's command.

use std::error::Error;
use std::str::FromStr;

use goldenscript::{ArgumentConsumer, Command};

/// Arguments that are taken out one by one; what is left over is refused.
pub struct ScriptArgs<'a> {
    rest: ArgumentConsumer<'a>,
}

impl<'a> ScriptArgs<'a> {
    pub fn new(command: &'a Command) -> Self {
        Self {
            rest: command.consume_args(),
        }
    }

    /// Takes the next argument without a key.
    pub fn next(&mut self, what: &str) -> Result<&'a str, Box<dyn Error>> {
        self.rest
            .next_pos()
            .ok_or_else(|| format!("give {what}").into())
    }

    /// Takes the value of a key.
    pub fn text(&mut self, key: &str) -> Option<&'a str> {
        self.rest.take_key(key)
    }

    /// Takes and parses the value of a key.
    pub fn parse<T>(&mut self, key: &str) -> Result<Option<T>, Box<dyn Error>>
    where
        T: FromStr,
        T::Err: Error + 'static,
    {
        Ok(self.rest.take_key(key).map(str::parse).transpose()?)
    }

    pub fn reject_rest(&self) -> Result<(), Box<dyn Error>> {
        self.rest.reject_next()
    }
}
