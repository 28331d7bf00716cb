//! Calls of a tool or plain service. The whole body is one part.

use std::time::Duration;

use bytes::Bytes;
use rosebend_coordination::endpoint::outcome::{FailureReason, Outcome};

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
        // A fresh connection for each call: on a reused one that the service
        // has just closed, nobody could tell whether it saw the call.
        let request = self
            .client
            .post(self.url(&format!("/{target}")))
            .force_close()
            .insert_header(("content-type", "application/json"))
            .insert_header(("x-call-id", job.id.to_string()));
        let mut response = match request.send_body(body).await {
            Ok(response) => response,
            Err(error) => return send_error(&error),
        };
        let status = response.status().as_u16();
        let body = match response.body().limit(MAX_ANSWER_BYTES).await {
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
