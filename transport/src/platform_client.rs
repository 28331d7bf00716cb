//! Client of the platform's table, object store and host list.
//!
//! The outcome of a write is one of three: it took effect, it had no effect,
//! or nobody knows. A lost answer is never guessed; the caller settles it by
//! reading back.

use std::time::Duration;

use awc::Client;
use bytes::Bytes;
use rosebend_protocol::platform::{
    Committed, Conflict, HostList, ReadReply, ReadRequest, Row, ScanReply, ScanRequest, Transaction,
};
use serde::{Serialize, de::DeserializeOwned};

/// Longest reply that is read from the platform.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Why the platform did not do what was asked.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PlatformError {
    /// A row's condition did not hold; nothing was written.
    #[error("the row {} has another version", .0.key)]
    Conflict(Conflict),
    /// The platform refused; nothing was written.
    #[error("the platform refused with status {0}")]
    Refused(u16),
    /// No answer came; a write may have taken effect.
    #[error("no answer from the platform: {0}")]
    NoAnswer(String),
    /// The object is not there.
    #[error("there is no such object")]
    Absent,
}

/// Client of one platform. It belongs to the thread that made it.
#[derive(Clone)]
pub struct PlatformClient {
    client: Client,
    base_url: String,
    timeout: Duration,
}

impl std::fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformClient")
            .field("base_url", &self.base_url)
            .finish_non_exhaustive()
    }
}

impl PlatformClient {
    /// A client of the platform at `base_url`, such as `http://127.0.0.1:7000`,
    /// that waits at most `timeout` for each answer.
    pub fn new(base_url: &str, timeout: Duration) -> Self {
        let client = Client::builder().timeout(timeout).finish();
        Self {
            client,
            base_url: base_url.trim_end_matches('/').to_owned(),
            timeout,
        }
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// Only after [`PlatformError::NoAnswer`] may it have taken effect.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Committed, PlatformError> {
        self.post("/table/transact", transaction).await
    }

    /// Reads rows by key; absent ones are left out.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer.
    pub async fn read(&self, keys: Vec<String>) -> Result<Vec<Row>, PlatformError> {
        let reply: ReadReply = self.post("/table/read", &ReadRequest { keys }).await?;
        Ok(reply.rows)
    }

    /// Reads one page of the rows under a prefix.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer.
    pub async fn scan(&self, request: &ScanRequest) -> Result<ScanReply, PlatformError> {
        self.post("/table/scan", request).await
    }

    /// Reads all rows under a prefix, page by page.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer one of the pages.
    pub async fn scan_all(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        const PAGE_ROWS: usize = 1000;
        let mut rows = Vec::new();
        let mut after = String::new();
        loop {
            let request = ScanRequest {
                prefix: prefix.to_owned(),
                after,
                limit: PAGE_ROWS,
            };
            let page = self.scan(&request).await?;
            rows.extend(page.rows);
            match rows.last() {
                Some(last) if page.more => after = last.key.clone(),
                _ => return Ok(rows),
            }
        }
    }

    /// Stores an object; storing the same name again replaces it.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let url = format!("{}/objects/{name}", self.base_url);
        let sent = self.client.put(url).send_body(body);
        let reply = actix_rt::time::timeout(self.timeout, sent)
            .await
            .map_err(no_answer)?
            .map_err(no_answer)?;
        match reply.status().as_u16() {
            200..=299 => Ok(()),
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Fetches an object.
    ///
    /// # Errors
    ///
    /// Tells an absent object from a store that does not answer.
    pub async fn get_object(&self, name: &str) -> Result<Bytes, PlatformError> {
        let url = format!("{}/objects/{name}", self.base_url);
        let mut reply = self.client.get(url).send().await.map_err(no_answer)?;
        match reply.status().as_u16() {
            200 => reply.body().limit(MAX_REPLY_BYTES).await.map_err(no_answer),
            404 => Err(PlatformError::Absent),
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// The platform's list of hosts, which lags.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn hosts(&self) -> Result<HostList, PlatformError> {
        let url = format!("{}/hosts", self.base_url);
        let mut reply = self.client.get(url).send().await.map_err(no_answer)?;
        match reply.status().as_u16() {
            200 => reply.json().limit(MAX_REPLY_BYTES).await.map_err(no_answer),
            status => Err(PlatformError::Refused(status)),
        }
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let url = format!("{}{path}", self.base_url);
        let sent = self.client.post(url).send_json(body);
        let mut reply = sent.await.map_err(no_answer)?;
        match reply.status().as_u16() {
            200 => reply.json().limit(MAX_REPLY_BYTES).await.map_err(no_answer),
            409 => {
                let conflict = reply
                    .json()
                    .limit(MAX_REPLY_BYTES)
                    .await
                    .map_err(no_answer)?;
                Err(PlatformError::Conflict(conflict))
            }
            status @ (429 | 503) => Err(PlatformError::Refused(status)),
            status => Err(PlatformError::NoAnswer(format!("status {status}"))),
        }
    }
}

fn no_answer(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::NoAnswer(error.to_string())
}
