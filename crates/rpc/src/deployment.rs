use std::{io, time::Duration};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    time::timeout,
};

/// Bytes of a deployment's name on the wire.
const NAME_BYTES: usize = 16;
/// Bytes of the preface: its length as in every frame, then the name.
const PREFACE_BYTES: usize = 4 + NAME_BYTES;
/// Time for the preface of a new connection.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(2);

/// Deployment that a daemon belongs to, by a hash of its name.
///
/// Each connection begins with it in both directions, so that a daemon that took over the address
/// of another deployment's daemon gets none of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deployment([u8; NAME_BYTES]);

impl Deployment {
    /// Makes the wire form of a deployment's name.
    pub fn new(name: &str) -> Self {
        let mut bytes = [0; NAME_BYTES];
        blake3::Hasher::new().update(name.as_bytes()).finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// Greets the other side of a new connection and checks that it answers alike.
    ///
    /// # Errors
    /// It belongs to another deployment, or said nothing; no request was sent.
    pub(crate) async fn greet<S>(self, stream: &mut S) -> io::Result<()>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        stream.write_all(&self.preface()).await?;
        self.expect(stream).await
    }

    /// Waits for the greeting of a new connection and answers it.
    ///
    /// # Errors
    /// The other side belongs to another deployment, or said nothing.
    pub async fn answer<S>(self, stream: &mut S) -> io::Result<()>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        self.expect(stream).await?;
        stream.write_all(&self.preface()).await
    }

    async fn expect(self, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<()> {
        let mut read = [0; PREFACE_BYTES];
        timeout(PREFACE_TIMEOUT, stream.read_exact(&mut read)).await??;
        if read != self.preface() {
            let message = "the other side belongs to another deployment";
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(())
    }

    fn preface(self) -> [u8; PREFACE_BYTES] {
        let mut preface = [0; PREFACE_BYTES];
        preface[..4].copy_from_slice(&(NAME_BYTES as u32).to_be_bytes());
        preface[4..].copy_from_slice(&self.0);
        preface
    }
}
