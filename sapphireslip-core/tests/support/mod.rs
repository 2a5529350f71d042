//! A simulated database group and the checker of its history.

#![allow(dead_code, reason = "no test file uses all of it")]

pub mod checker;
pub mod fake_server;
pub mod single_home;
pub mod world;
