//! Calls of a tool or plain service. The whole body is one part.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use rosebend_coordination::endpoint::outcome::{FailureReason, Outcome};

use super::client::RequestHead;
use super::{Endpoint, RunJob, failed, finished, send_error};

/// Longest run of a tool whose caller names no deadline and that is not
/// declared.
const TOOL_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest answer of a tool.
const MAX_ANSWER_BYTES: usize = 3 << 20;

impl Endpoint {
    pub(super) async fn run_tool(&self, job: &RunJob, target: &str, body: &Bytes) -> Outcome {
        let timeout = job.time_left.unwrap_or(TOOL_TIMEOUT);
        let call = self.call_tool(job, target, body.clone());
        match actix_rt::time::timeout(timeout, call).await {
            Ok(outcome) => outcome,
            Err(_) => failed(
                FailureReason::EndpointTimeout,
                format!("no whole answer within {} ms", timeout.as_millis()),
            ),
        }
    }

    async fn call_tool(&self, job: &RunJob, target: &str, body: Bytes) -> Outcome {
        let request = RequestHead {
            method: Method::POST,
            path: &format!("/{target}"),
            headers: &[("x-call-id", &job.id.to_string())],
        };
        let response = match self.client.send(request, body).await {
            Ok(response) => response,
            Err(error) => return send_error(&error),
        };
        let status = response.status();
        let body = match response.read_to_end(MAX_ANSWER_BYTES).await {
            Ok(body) => body,
            Err(error) => {
                let detail = format!("the answer was cut: {error}");
                return failed(FailureReason::EndpointCrashed, detail);
            }
        };
        if status >= 500 {
            return failed(FailureReason::EndpointError, format!("status {status}"));
        }
        job.answer.push(body);
        Outcome::Finished(finished(&job.answer, status))
    }
}
