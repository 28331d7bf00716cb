//! Replies that several stand-ins give.

use rosebend_protocol::problem::{Problem, Ran};
use rosebend_transport::http_server::{HttpReply, HttpRequest};
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

/// Reads a JSON body, or says what is wrong with it.
pub fn parse<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, HttpReply> {
    serde_json::from_slice(&request.body)
        .map_err(|error| problem(400, "bad-json", Ran::No, &error.to_string()))
}

/// A problem document.
pub fn problem(status: u16, reason: &str, ran: Ran, detail: &str) -> HttpReply {
    HttpReply::problem(&Problem::new(status, reason, ran, detail))
}

/// Nothing is served under this method and path.
pub fn not_found(request: &HttpRequest) -> HttpReply {
    let detail = format!("nothing answers {} {}", request.method, request.path);
    problem(404, "not-found", Ran::No, &detail)
}

/// A reply that cuts the connection instead of answering.
pub fn cut() -> HttpReply {
    let (_, pieces) = mpsc::channel(1);
    HttpReply::stream(200, "application/json", pieces)
}

/// Takes one from a count of faults that are left.
pub fn take_one(left: &mut u64) -> bool {
    let taken = *left > 0;
    *left = left.saturating_sub(1);
    taken
}

/// Decodes `%XX` in a part of a path; what is no valid escape stays.
pub fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let escaped = (first == b'%').then(|| hex_byte(tail)).flatten();
        decoded.push(escaped.unwrap_or(first));
        rest = if escaped.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(digits.get(..2)?).ok()?;
    u8::from_str_radix(digits, 16).ok()
}
