use std::{io, time::Duration};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    time::timeout,
};

/// Length of the hashed deployment name in the preface, in bytes.
const NAME_BYTES: usize = 16;
/// Length of the preface in bytes: a 4-byte length prefix as in every frame, then the hashed name.
const PREFACE_BYTES: usize = 4 + NAME_BYTES;
/// Time within which the peer must send its preface on a new connection.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(2);

/// Identifies the deployment that a daemon belongs to by a hash of the deployment's name.
///
/// Both sides of a connection send it before anything else. If a daemon reuses the address of a
/// daemon of another deployment, it therefore receives none of the requests meant for that one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deployment([u8; NAME_BYTES]);

impl Deployment {
    /// Hashes a deployment name (BLAKE3, shortened to 16 bytes).
    pub fn new(name: &str) -> Self {
        let mut bytes = [0; NAME_BYTES];
        blake3::Hasher::new().update(name.as_bytes()).finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// Performs the client side of the handshake: sends the preface and expects the same one back.
    ///
    /// # Errors
    /// The server belongs to another deployment or sent no preface in time; no request was sent.
    pub(crate) async fn initiate_handshake<S>(self, stream: &mut S) -> io::Result<()>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        stream.write_all(&self.preface()).await?;
        self.read_preface(stream).await
    }

    /// Performs the server side of the handshake: verifies the client's preface and sends its own.
    ///
    /// # Errors
    /// The client belongs to another deployment or sent no preface in time.
    pub async fn accept_handshake<S>(self, stream: &mut S) -> io::Result<()>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        self.read_preface(stream).await?;
        stream.write_all(&self.preface()).await
    }

    async fn read_preface(self, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<()> {
        let mut received = [0; PREFACE_BYTES];
        timeout(PREFACE_TIMEOUT, stream.read_exact(&mut received)).await??;
        if received != self.preface() {
            let message = "handshake failed: the peer belongs to another deployment";
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
