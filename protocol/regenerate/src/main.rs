//! Regenerates `protocol/src/peer/generated.rs` from `protocol/proto`.
//!
//! Run it from the workspace's root after each change of a message:
//! `cargo run --locked -p rosebend-regenerate`. The build itself needs no
//! generator, because the output is committed.

use std::{error::Error, fs, path::Path};

const PROTO: &str = "protocol/proto/peer.proto";
const OUTPUT_DIR: &str = "protocol/src/peer";
const PACKAGE_FILE: &str = "rosebend.peer.v1.rs";
const COMMITTED_FILE: &str = "generated.rs";

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile([PROTO], ["protocol/proto"])?;
    tonic_prost_build::configure()
        .out_dir(OUTPUT_DIR)
        .bytes(".rosebend.peer.v1.DispatchRequest.body")
        .bytes(".rosebend.peer.v1.DispatchRequest.record")
        .bytes(".rosebend.peer.v1.RetainedCall.record")
        .bytes(".rosebend.peer.v1.Part.data")
        .bytes(".rosebend.peer.v1.ForwardRequest.body")
        .bytes(".rosebend.peer.v1.ForwardEvent.body")
        .compile_fds(descriptors)?;
    let directory = Path::new(OUTPUT_DIR);
    fs::rename(directory.join(PACKAGE_FILE), directory.join(COMMITTED_FILE))?;
    Ok(())
}
