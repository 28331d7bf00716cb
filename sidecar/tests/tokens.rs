//! Only hosts are served.

mod support;

use rosebend_protocol::peer::{StatusRequest, sidecar_client::SidecarClient};
use support::{TestSidecar, fake::Fake};
use tonic::Code;

#[actix_rt::test]
async fn a_request_without_the_token_of_a_host_is_refused() {
    let engine = Fake::start();
    let sidecar = TestSidecar::start("engine", engine.address, "");
    let url = format!("http://{}", sidecar.bound.listen);
    let mut stranger = SidecarClient::connect(url).await.unwrap();
    let refused = stranger.status(StatusRequest::default()).await.unwrap_err();
    assert_eq!(refused.code(), Code::Unauthenticated);
    let mut host = sidecar.client().await;
    host.status(StatusRequest::default()).await.unwrap();
    sidecar.stopped().await;
}
