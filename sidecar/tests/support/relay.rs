//! A relay whose open connections can go silent for good while new ones work.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Passes bytes between its clients and one address.
pub struct Relay {
    pub address: SocketAddr,
    /// Connections opened before this generation pass nothing.
    generation: watch::Sender<u64>,
    opened: watch::Receiver<u64>,
}

impl Relay {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let generation = watch::Sender::new(0);
        let (count, opened) = watch::channel(0);
        let generations = generation.clone();
        actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let server = TcpStream::connect(target).await.unwrap();
                count.send_modify(|count| *count += 1);
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                let watched = generations.subscribe();
                actix_rt::spawn(pass(client_read, server_write, watched.clone()));
                actix_rt::spawn(pass(server_read, client_write, watched));
            }
        });
        Self {
            address,
            generation,
            opened,
        }
    }

    /// Lets all open connections go silent, without closing them.
    pub fn silence(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// Connections that were opened so far.
    pub fn opened(&self) -> u64 {
        *self.opened.borrow()
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, generation: watch::Receiver<u64>) {
    let born = *generation.borrow();
    let mut buffer = [0; 4096];
    while let Ok(count) = from.read(&mut buffer).await
        && count > 0
    {
        if *generation.borrow() == born && to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    // A silent connection does not tell that the other end closed it either.
    if *generation.borrow() != born {
        std::future::pending::<()>().await;
    }
}
