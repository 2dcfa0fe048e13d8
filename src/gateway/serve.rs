//! Decodes a request, matches it with a route and passes it to the route's service.

use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use log::info;
use tokio::time;

use super::Gateway;
use super::account;
use super::account::Refusal;
use super::call;
use super::call::Call;
use super::generate;
use super::held;
use super::held::Excess;
use super::plain;
use super::record::Trace;
use super::reply;
use super::reply::Reply;
use super::shutdown;
use crate::catalog::Catalog;
use crate::catalog::Kind;
use crate::logging::sample::Verdict;
use crate::platform::ingress;

/// Time after which a caller should retry whose request could not be read or has no service.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Time after which a caller should retry at a host that has no configuration yet.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Serves one request of a caller.
pub async fn serve(gateway: Rc<Gateway>, request: Request<Incoming>) -> Reply {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let Some(catalog) = gateway.catalog() else {
        let id = ingress::id(&head.headers);
        info!(request = id, outcome = "refused", reason = "no-config"; "request refused");
        gateway.metrics.add("requests_refused");
        return reply::refuse(
            "not run: this host has no configuration yet",
            STARTUP_RETRY_AFTER,
        );
    };
    let identified = tokio::select! {
        biased;
        identified = identify(&gateway, &head, body, &catalog, arrived) => identified,
        () = gateway.shutdown_end.notified() => {
            let id = ingress::id(&head.headers);
            let reason = shutdown::REFUSAL_REASON;
            info!(request = id, outcome = "refused", reason = reason; "request refused");
            gateway.metrics.add("requests_refused");
            return reply::refuse("not run: the host shuts down", Duration::ZERO);
        }
    };
    match identified {
        Ok(call) => tokio::select! {
            biased;
            reply = run(&gateway, call) => reply,
            () = gateway.shutdown_end.notified() => {
                let id = ingress::id(&head.headers);
                let reason = shutdown::REFUSAL_REASON;
                info!(request = id, outcome = "failed", reason = reason; "request abandoned");
                reply::own(
                    StatusCode::BAD_GATEWAY,
                    "the host shuts down; the request may have run",
                )
            }
        },
        Err(rejection) => reject(&gateway, ingress::id(&head.headers), &catalog, rejection),
    }
}

/// Reason for not serving a request, which has not run.
struct Rejection {
    status: StatusCode,
    text: String,
    retry_after: Duration,
    /// Refusal of the request's key, if that is the reason.
    refusal: Option<Refusal>,
}

impl From<(StatusCode, String)> for Rejection {
    fn from((status, text): (StatusCode, String)) -> Self {
        Rejection {
            status,
            text,
            retry_after: RETRY_AFTER,
            refusal: None,
        }
    }
}

/// Logs that a request is not served, and returns the reply. Lines about keys are sampled: a host that
/// cannot verify keys refuses most of its requests.
fn reject(gateway: &Gateway, id: &str, catalog: &Catalog, rejection: Rejection) -> Reply {
    let Rejection {
        status,
        text,
        retry_after,
        refusal,
    } = rejection;
    if let Some(refusal) = refusal {
        gateway.metrics.add_decision(refusal.reason());
    }
    let sampled = refusal.map(|_| gateway.keys.sample_line(Instant::now()));
    if sampled != Some(Verdict::LeaveOut) {
        info!(
            request = id,
            outcome = "rejected",
            status = status.as_u16(),
            config = catalog.version(),
            reason:% = text,
            left_out = match sampled {
                Some(Verdict::Keep(left_out)) => left_out,
                _ => 0,
            };
            "request rejected"
        );
    }
    gateway.metrics.add("requests_rejected");
    match status {
        StatusCode::SERVICE_UNAVAILABLE => reply::refuse(&text, retry_after),
        _ => reply::own(status, &text),
    }
}

async fn identify(
    gateway: &Gateway,
    head: &http::request::Parts,
    body: Incoming,
    catalog: &Catalog,
    arrived: Instant,
) -> Result<Call, Rejection> {
    let mut request = ingress::parse_request(head)
        .map_err(|fault| (StatusCode::BAD_REQUEST, fault.to_string()))?;
    let Some(route) = catalog.route(&request.host, request.uri.path()) else {
        let text = format!(
            "no route for host {:?} and path {:?}",
            request.host,
            request.uri.path()
        );
        return Err((StatusCode::NOT_FOUND, text).into());
    };
    let (newest, freshness) = gateway.newest_config();
    let newest = newest.as_deref().unwrap_or(catalog);
    let account =
        account::identify(newest, route, request.key.as_ref(), freshness).map_err(|refusal| {
            Rejection {
                status: refusal.status(),
                text: refusal.to_string(),
                retry_after: gateway.key_retry_after(request.timeout.min(route.timeout)),
                refusal: Some(refusal),
            }
        })?;
    let deadline = arrived + request.timeout.min(route.timeout);
    let max_bytes = catalog.limits().max_body_bytes;
    let body = read_body(body, max_bytes, &gateway.held_requests, deadline).await?;
    let mut hasher = std::hash::DefaultHasher::new();
    request.id.hash(&mut hasher);
    let Some(service) = route.service(hasher.finish()) else {
        let text = format!("route {:?} leads to no service", route.name);
        return Err((StatusCode::SERVICE_UNAVAILABLE, text).into());
    };
    let fingerprint = call::fingerprint(&request, &body);
    if newest.accounts().is_some() || catalog.accounts().is_some() {
        let name = account.as_ref().map(|account| &account.name);
        ingress::set_account(&mut request.forward, name);
    }
    Ok(Call {
        account,
        service: service.clone(),
        route: route.clone(),
        version: catalog.version(),
        fingerprint,
        blocks: request
            .prompt
            .as_ref()
            .map_or_else(Vec::new, call::block_fingerprints)
            .into(),
        request,
        body,
        arrived,
        deadline,
    })
}

async fn read_body(
    body: Incoming,
    max_bytes: usize,
    budget: &held::Budget,
    deadline: Instant,
) -> Result<Bytes, (StatusCode, String)> {
    match time::timeout_at(deadline.into(), collect(body, max_bytes, budget)).await {
        Err(_) => Err((
            StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive in time".into(),
        )),
        Ok(collected) => collected,
    }
}

async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    budget: &held::Budget,
) -> Result<Bytes, (StatusCode, String)> {
    let mut full = held::Body::new(budget);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|cause| {
            let text = format!("the body is not whole: {cause}");
            (StatusCode::BAD_REQUEST, text)
        })?;
        let part = frame.data_ref().map_or(&[][..], |part| part);
        full.push(part, max_bytes).map_err(|excess| {
            let status = match excess {
                Excess::Own(_) => StatusCode::PAYLOAD_TOO_LARGE,
                Excess::All(_) => StatusCode::SERVICE_UNAVAILABLE,
            };
            (status, format!("not run: the body is {excess}"))
        })?;
    }
    Ok(full.into_bytes())
}

async fn run(gateway: &Rc<Gateway>, call: Call) -> Reply {
    let mut trace = Trace::new(&call, &gateway.metrics);
    trace.run = gateway.usage.run(&call);
    gateway.record_request(&call.service, call.arrived);
    gateway.record_offered(&call, call.arrived);
    match call.route.kind {
        Kind::Safe | Kind::Unsafe => plain::serve(gateway, &call, &mut trace).await,
        Kind::Stream => generate::serve(gateway, call, trace).await,
    }
}
