//! Client of the weight store, whose rate all readers share; engines read weights themselves.

mod client;

pub use self::client::{WeightsClient, WeightsError};
