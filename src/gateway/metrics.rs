//! Serves counters, gauges and histograms as text over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use log::info;
use log::warn;
use tiny_http::Response;
use tiny_http::Server;

use super::record::Metrics;

/// Path at which metrics are served.
const PATH: &str = "/metrics";

/// Starts the thread that serves metrics; if that fails, the process continues without metrics.
pub fn start(address: SocketAddr, metrics: &Arc<Metrics>) {
    let server = match Server::http(address) {
        Ok(server) => server,
        Err(cause) => {
            warn!(
                metrics:% = address,
                outcome = "not-served",
                cause:% = cause;
                "metrics not served"
            );
            return;
        }
    };
    let address = server.server_addr();
    let metrics = Arc::clone(metrics);
    let thread = thread::Builder::new()
        .name("metrics".into())
        .spawn(move || serve(&server, &metrics));
    match thread {
        Ok(_) => info!(metrics:% = address, path:% = PATH, outcome = "served"; "metrics served"),
        Err(cause) => warn!(
            metrics:% = address,
            outcome = "not-served",
            cause:% = cause;
            "metrics not served"
        ),
    }
}

fn serve(server: &Server, metrics: &Metrics) {
    for request in server.incoming_requests() {
        let response = match request.url() == PATH {
            true => Response::from_string(metrics.text()),
            false => Response::from_string("not found\n").with_status_code(404),
        };
        if let Err(cause) = request.respond(response) {
            log::debug!(cause:% = cause; "metrics not delivered");
        }
    }
}
