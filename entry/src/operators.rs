//! Placeholder.
use rosebend_transport::http_server::{HttpReply, HttpRequest};
/// x
#[derive(Clone, Debug)]
pub struct OperatorContext;
/// x
pub async fn handle(
    _request: HttpRequest,
    _operator: &str,
    _context: &OperatorContext,
) -> HttpReply {
    HttpReply::json(501, &"x")
}
