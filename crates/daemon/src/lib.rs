//! Daemon of cassiagw: the entry and endpoint roles.

pub mod config;
