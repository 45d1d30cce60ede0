//! Which hosts, availability zones and daemons may take work.

mod view;

pub use self::view::View;
