//! Daemon of cassiagw.

pub mod control;
pub mod operators;
