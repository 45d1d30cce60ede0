//! Output streams of attempts, buffered until the entry has read them.

mod stream_buffer;
mod stream_table;

pub use self::{
    stream_buffer::{Chunk, StreamBuffer},
    stream_table::StreamTable,
};
