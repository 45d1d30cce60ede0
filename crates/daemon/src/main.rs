//! `cassiagwd`, the daemon of cassiagw.

fn main() {}
