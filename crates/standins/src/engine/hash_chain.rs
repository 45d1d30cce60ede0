use blake3::Hash;

/// Number of leading hash bytes that form a generated token.
const TOKEN_BYTES: usize = 4;

/// Rolling hash over the model, its weights and all tokens so far. It determines the next generated
/// token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HashChain(Hash);

impl HashChain {
    /// Chain before the first token.
    pub fn new(model: &str, version: &str, adapter: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [model, version, adapter] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self(hasher.finalize())
    }

    /// Appends a token.
    pub fn push(&mut self, token: &str) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.0.as_bytes());
        hasher.update(token.as_bytes());
        self.0 = hasher.finalize();
    }

    /// Generates the next token and appends it.
    pub fn generate_token(&mut self) -> String {
        let token = self.0.as_bytes()[..TOKEN_BYTES]
            .iter()
            .fold(String::from("t"), |token, byte| format!("{token}{byte:02x}"));
        self.push(&token);
        token
    }

    /// Changes the hash so that the generated tokens differ from those of a valid cache.
    pub fn poison(&mut self) {
        self.push("\0damaged cache");
    }

    /// Hash in hex.
    pub fn to_hex(self) -> String {
        self.0.to_hex().to_string()
    }
}

/// A prompt split into whitespace-separated tokens and hashed.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Number of tokens.
    pub tokens: usize,
    /// Chain at the end of each complete piece.
    pub pieces: Vec<HashChain>,
    /// Chain at the end of the prompt.
    pub end: HashChain,
}

impl Prompt {
    /// Hashes a prompt in pieces of `piece_tokens` tokens.
    pub fn new(start: HashChain, text: &str, piece_tokens: usize) -> Self {
        let mut prompt = Self { tokens: 0, pieces: Vec::new(), end: start };
        for token in text.split_whitespace() {
            prompt.end.push(token);
            prompt.tokens += 1;
            if prompt.tokens.is_multiple_of(piece_tokens) {
                prompt.pieces.push(prompt.end);
            }
        }
        prompt
    }
}

/// Tokens that an engine with a valid cache generates for a prompt.
pub fn expected_completion(
    model: &str,
    version: &str,
    adapter: Option<&str>,
    prompt: &str,
    max_tokens: usize,
) -> Vec<String> {
    let start = HashChain::new(model, version, adapter.unwrap_or_default());
    let mut chain = Prompt::new(start, prompt, usize::MAX).end;
    (0..max_tokens).map(|_| chain.generate_token()).collect()
}
