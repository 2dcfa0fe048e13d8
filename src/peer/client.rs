//! Calls of peers.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::runtime::Handle;
use tonic::Code;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::member::Member;
use crate::once::OneTimeKey;
use crate::once::ledger::Stored;
use crate::once::ticket::Secret;
use crate::pipeline::Call;
use crate::problem::Problem;
use crate::quarantine::Suspect;
use crate::wire::Reply;

use super::convert;
use super::generated;
use super::generated::peer_client::PeerClient;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for short answers.
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a state to be handed over.
const LONG_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between probes of an open connection, which finds those that have gone silent.
const PROBE: Duration = Duration::from_secs(1);
/// Largest message, in bytes.
pub const MESSAGE_BYTES: usize = 80 << 20;

/// Calls of peers, from any thread.
#[derive(Debug)]
pub struct Client {
    runtime: Handle,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Client {
    /// Returns a client whose connections live on `runtime`.
    pub fn new(runtime: Handle) -> Self {
        Client {
            runtime,
            channels: Mutex::default(),
        }
    }

    fn peer(&self, address: SocketAddr) -> PeerClient<Channel> {
        let mut channels = self.channels.lock().expect("channel lock");
        let channel = channels.entry(address).or_insert_with(|| {
            let _runtime = self.runtime.enter();
            Endpoint::from_shared(format!("http://{address}"))
                .expect("an address makes a URI")
                .connect_timeout(CONNECT_TIMEOUT)
                .http2_keep_alive_interval(PROBE)
                .keep_alive_timeout(PROBE)
                .tcp_nodelay(true)
                .connect_lazy()
        });
        PeerClient::new(channel.clone())
            .max_decoding_message_size(MESSAGE_BYTES)
            .max_encoding_message_size(MESSAGE_BYTES)
    }

    /// Drops the connection to a peer, so that the next call opens a new one.
    pub fn forget(&self, address: SocketAddr) {
        self.channels.lock().expect("channel lock").remove(&address);
    }

    async fn within<T, F>(&self, address: SocketAddr, limit: Duration, call: F) -> Result<T, Status>
    where
        F: Future<Output = Result<tonic::Response<T>, Status>>,
    {
        let result = match tokio::time::timeout(limit, call).await {
            Ok(result) => result.map(tonic::Response::into_inner),
            Err(_) => Err(Status::deadline_exceeded("no answer in time")),
        };
        if let Err(status) = &result
            && matches!(status.code(), Code::DeadlineExceeded | Code::Unavailable)
        {
            self.forget(address);
        }
        result
    }

    /// Exchanges heartbeats.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        beat: generated::Heartbeat,
    ) -> Result<generated::Heartbeat, Status> {
        let mut peer = self.peer(address);
        self.within(address, SHORT_TIMEOUT, peer.exchange(beat))
            .await
    }

    /// Asks for the records of a stream from an offset, or for what else has a stream's name.
    pub async fn suffix<T>(&self, address: SocketAddr, stream: &str, from: Offset) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let mut peer = self.peer(address);
        let request = generated::SuffixRequest {
            stream: stream.to_owned(),
            from,
        };
        let reply = self
            .within(address, LONG_TIMEOUT, peer.suffix(request))
            .await
            .ok()?;
        serde_json::from_slice(&reply.suffix).ok()
    }

    /// Tells peers of suspects and waits a short time until they know.
    pub fn tell_suspects(&self, members: &[(HostId, Member)], suspects: &[Suspect]) {
        let list = generated::SuspectList {
            suspects: suspects.iter().map(convert::to_suspect).collect(),
        };
        let calls: Vec<_> = members
            .iter()
            .map(|(_, member)| member.peer)
            .map(|address| {
                let mut peer = self.peer(address);
                let list = list.clone();
                self.runtime.spawn(async move {
                    let call = peer.suspects(list);
                    match tokio::time::timeout(SHORT_TIMEOUT, call).await {
                        Ok(Ok(_)) => (),
                        Ok(Err(cause)) => {
                            log::warn!(peer:% = address, cause:% = cause; "suspects not told");
                        }
                        Err(cause) => {
                            log::warn!(peer:% = address, cause:% = cause; "suspects not told");
                        }
                    }
                })
            })
            .collect();
        self.runtime.block_on(async {
            for call in calls {
                if let Err(cause) = call.await {
                    log::warn!(cause:% = cause; "suspects not told");
                }
            }
        });
    }

    /// Hands stored calls to a peer; returns whether it took them.
    pub fn hand_over(
        &self,
        address: SocketAddr,
        incarnation: Incarnation,
        secret: &Secret,
        calls: &[Stored],
    ) -> bool {
        let request = convert::to_handover(incarnation, secret, calls);
        let mut peer = self.peer(address);
        let call = self.within(address, LONG_TIMEOUT, peer.handover(request));
        self.runtime.block_on(call).is_ok()
    }

    /// Has the process that may run a call run it, or repeat its answer.
    pub fn relay(
        &self,
        address: SocketAddr,
        call: &Call,
        to: Incarnation,
        right: OneTimeKey,
        limit: Duration,
    ) -> Reply {
        self.relay_request(address, relay_request(call, to, right), limit)
    }

    fn relay_request(
        &self,
        address: SocketAddr,
        request: generated::RelayRequest,
        limit: Duration,
    ) -> Reply {
        let mut peer = self.peer(address);
        let call = self.within(address, limit, peer.relay(request));
        match self.runtime.block_on(call) {
            Ok(generated::RelayReply { reply: Some(reply) }) => convert::from_reply(reply),
            Ok(_) => Problem::unknown("the peer's answer was empty").into(),
            Err(status) => Problem::unknown(format!(
                "the host that may run the call was not reached: {}",
                status.message()
            ))
            .into(),
        }
    }
}

fn relay_request(call: &Call, to: Incarnation, right: OneTimeKey) -> generated::RelayRequest {
    let (key, ticket, ticket_text) = match right {
        OneTimeKey::Key(key) => (key.as_bytes().to_vec(), 0, String::new()),
        OneTimeKey::Ticket(ticket) => (Vec::new(), ticket.number, ticket.to_string()),
    };
    generated::RelayRequest {
        service: call.service.name.to_string(),
        account: call.account.name.to_string(),
        key,
        ticket,
        method: call.method.to_string(),
        path: call.path.clone(),
        content_type: call.content_type.to_string(),
        body: call.body.clone(),
        digest: call.digest(),
        request: call.request.as_bytes().to_vec(),
        incarnation: to.as_bytes().to_vec(),
        ticket_text,
    }
}
