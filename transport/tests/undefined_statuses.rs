//! Answers of the store with a status that HTTP does not define leave open what was done.

use std::time::Duration;

use rosebend_state::deployment::{RowId, Transaction};
use rosebend_transport::clock::Clock;
use rosebend_transport::store::{StoreClient, StoreError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Guards against a rejection, or an answer, that the store never gave.
#[actix_rt::test]
async fn the_outcome_of_a_call_that_is_answered_so_is_not_known() {
    for status in ["000", "099", "101", "600", "999"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                let answer = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\n{{}}");
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        });
        let client = StoreClient::new(address, Duration::from_secs(1), Clock::start());
        let row = RowId::new("programs", "p00", "a".to_owned());
        let read = client.read_row(&row).await;
        assert!(
            matches!(read, Err(StoreError::NoAnswer(_))),
            "{status}: {read:?}"
        );
        let write = Transaction::default().write(row, b"1".to_vec());
        let outcome = client.transact(&write).await;
        assert!(
            matches!(outcome, Err(StoreError::NoAnswer(_))),
            "{status}: {outcome:?}"
        );
    }
}
