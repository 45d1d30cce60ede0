//! Client of the weight store, whose bandwidth is shared by all readers. Engines load weights from
//! it themselves.

mod client;

pub use self::client::{WeightsClient, WeightsError};
