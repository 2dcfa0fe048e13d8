//! Writes the code of the peer protocol, which is committed, from `proto/peer.proto`.

use std::fs;

use anyhow::Result;

fn main() -> Result<()> {
    let files = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .out_dir("src/peer/generated")
        .build_client(true)
        .build_server(true)
        .build_transport(false)
        .compile_fds(files)?;
    fs::rename(
        "src/peer/generated/pistachiohall.peer.rs",
        "src/peer/generated/peer.rs",
    )?;
    Ok(())
}
