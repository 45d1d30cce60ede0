use super::PartHash;
use crate::forwarding::Prompt;

/// Hash of a request as a whole, which is the same each time that the request comes again.
pub type RequestHash = PartHash;

/// What is the same each time that a request comes again.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Workspace of the caller; empty if it belongs to none. The requests of one workspace are never
    /// taken for those of another.
    pub workspace: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request names.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    /// Prompt, for requests to engines.
    pub prompt: Option<&'a Prompt>,
    /// Body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Hash of the request. Its ID, deadline, keys and other fields play no part.
    pub fn hash(&self) -> RequestHash {
        let mut hasher = blake3::Hasher::new();
        let mut add = |field: &[u8]| {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        };
        add(self.workspace.as_bytes());
        add(self.method.as_bytes());
        add(&self.host.to_ascii_lowercase());
        add(self.target.as_bytes());
        if let Some(prompt) = self.prompt {
            add(prompt.model.as_bytes());
            prompt.parts.iter().for_each(|part| add(part.id.as_bytes()));
        }
        add(self.body);
        let hash = hasher.finalize();
        let (first, _) = hash.as_bytes().split_first_chunk().expect("the hash has 32 bytes");
        u64::from_le_bytes(*first)
    }
}
