//! `pistachiohall stand-in`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;

use crate::cli::Part;
use crate::cli::StandIn;
use crate::cli::Upstream;
use crate::log::Host;
use crate::log::Kind;
use crate::log::State;
use crate::log::memory::InMemory;
use crate::standin::Engine;
use crate::standin::Plain;
use crate::standin::Platform;
use crate::standin::engine::Speed;
use crate::upstream::Role;

/// Time that an append takes on the platform's stand-in.
const APPEND_TIME: Duration = Duration::from_millis(2);

/// Runs a stand-in until it is killed.
pub fn run(arguments: StandIn) -> Result<ExitCode> {
    match arguments.part {
        Part::Platform(listen) => {
            let memory = Arc::new(InMemory::default());
            let platform = Platform::start(listen.listen, memory, APPEND_TIME)?;
            serve(platform.address())
        }
        Part::Engine(upstream) => {
            let engine = Engine::start(upstream.listen, Speed::default(), Role::Mixed, true)?;
            enlist(&upstream, engine.address())?;
            serve(engine.address())
        }
        Part::Service(upstream) => {
            let plain = Plain::start(upstream.listen)?;
            enlist(&upstream, plain.address())?;
            serve(plain.address())
        }
    }
}

fn serve(address: SocketAddr) -> Result<ExitCode> {
    println!("listen={address}");
    loop {
        std::thread::park();
    }
}

fn enlist(upstream: &Upstream, address: SocketAddr) -> Result<()> {
    let host = Host {
        name: upstream.name.as_str().into(),
        address,
        peer: None,
        domain: upstream.domain.as_str().into(),
        kind: Kind::Upstream,
        service: Some(upstream.service.as_str().into()),
        state: State::Live,
    };
    put_host(upstream.platform, &host)
}

/// Puts a host on the list of a platform stand-in.
pub fn put_host(platform: SocketAddr, host: &Host) -> Result<()> {
    attohttpc::put(format!("http://{platform}/hosts"))
        .text(serde_json::to_string(host)?)
        .send()
        .context("the platform stand-in does not answer")?
        .error_for_status()?;
    Ok(())
}
