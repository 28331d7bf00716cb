//! Orders to the engine.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use rosebend_protocol::table::{row_id, shard_key};
use rosebend_state::id::{Epoch, Shard};
use serde::Serialize;

use super::client::RequestHead;
use super::{Endpoint, OrderJob};
use crate::control::{Command, OrderReply};
use crate::start_epochs::shard_epoch;

/// Longest wait for the engine to do an order, such as loading a model.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);

#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    order_id: &'a str,
    kind: &'a str,
    target: &'a str,
    fence: u64,
}

impl Endpoint {
    /// Reads who owns the order's shard, and lets the control thread decide.
    pub(super) async fn check_order(&self, order: OrderJob) {
        match self.row_epoch(order.fence.shard).await {
            Ok(row_epoch) => self.report(Command::Order { order, row_epoch }).await,
            Err(detail) => {
                // A sender that is gone asks again under the same id.
                let _ = order.reply.send(OrderReply::NoRow(detail));
            }
        }
    }

    /// The epoch of a shard's row; zero when nobody has owned it yet.
    async fn row_epoch(&self, shard: Shard) -> Result<Epoch, String> {
        let row = self.store.read_row(&row_id(shard_key(shard))).await;
        match row.map_err(|error| error.to_string())? {
            None => Ok(0),
            Some(row) => shard_epoch(&row).ok_or_else(|| "its row is damaged".to_owned()),
        }
    }

    pub(super) async fn run_order(&self, job: OrderJob) {
        let outcome = self.send_order(&job).await;
        let done = outcome.is_ok();
        let id = job.id;
        self.report(Command::OrderAnswered { id, done }).await;
        let reply = match outcome {
            Ok(()) => OrderReply::Done,
            Err(detail) => OrderReply::NotDone(detail),
        };
        // A sender that is gone asks again under the same id.
        let _ = job.reply.send(reply);
    }

    async fn send_order(&self, job: &OrderJob) -> Result<(), String> {
        let body = OrderBody {
            order_id: &job.id,
            kind: &job.kind,
            target: &job.target,
            fence: job.fence.epoch,
        };
        let body = serde_json::to_vec(&body).expect("an order has a JSON form");
        let request = RequestHead {
            method: Method::POST,
            path: "/orders",
            headers: &[],
        };
        let sent = self.client.send(request, Bytes::from(body));
        let response = actix_rt::time::timeout(ORDER_TIMEOUT, sent)
            .await
            .map_err(|_| "the engine did not answer in time".to_owned())?
            .map_err(|error| error.to_string())?;
        match response.status() {
            200..=299 => Ok(()),
            status => Err(format!("the engine answered with status {status}")),
        }
    }
}
