//! Small pieces that several crates of rosebend share and that belong to none
//! of them: stable hashing, digests and comparison of secrets.
//!
//! It is private to the workspace; nothing outside may depend on it.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use xxhash_rust::xxh3::Xxh3;

/// Hashes byte strings so that neither their order nor the boundary between
/// them is lost. The result is the same on every host and in every version.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// The SHA-256 of some bytes.
pub fn digest(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}

/// The SHA-256 of some bytes, in hexadecimal.
pub fn digest_hex(bytes: &[u8]) -> String {
    to_hex(&digest(bytes))
}

/// Bytes in hexadecimal.
pub fn to_hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut hex = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        write!(hex, "{byte:02x}").expect("writing to a string does not fail");
    }
    hex
}

/// Compares secrets in a time that depends only on their lengths.
pub fn secrets_equal(a: &[u8], b: &[u8]) -> bool {
    a.ct_eq(b).into()
}

/// A random id of 16 hexadecimal digits, for runs of processes.
pub fn random_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
