//! `cassiagw-load`, the load and experiment tool of cassiagw.

mod arms;
mod drive;
mod fleet;
mod scenario;
mod trace;

fn main() {}
