//! Answers to peers.

use std::sync::Arc;

use log::debug;
use log::warn;
use serde::Serialize;
use tokio::sync::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::clock::Clock;
use crate::core::Core;
use crate::duty::Pool;
use crate::fold::Fold;
use crate::log::List;
use crate::log::Log;
use crate::once::CallName;
use crate::once::Ticket;
use crate::pipeline;
use crate::pipeline::Call;
use crate::pipeline::account::Trace;
use crate::pipeline::call::Work;
use crate::problem::Problem;
use crate::replay::Replica;
use crate::wire::Reply;

use super::convert;
use super::duty;
use super::generated;
use super::generated::peer_server::Peer;

/// Most relayed calls that run at once.
const MOST_RELAYS: usize = 256;

struct Relayed {
    call: Call,
    name: CallName,
    answer: oneshot::Sender<Reply>,
}

type Relays = Pool<Relayed, Box<dyn Fn(Relayed) + Send + Sync>>;

/// Answers peers from the shared state of the process.
pub struct Server<C, P>
where
    C: Clock,
{
    core: Arc<Core<C, P>>,
    relays: Relays,
}

impl<C, P> Server<C, P>
where
    C: Clock + Clone,
    P: Log + List,
{
    /// Returns a server for `core`.
    pub fn new(core: Arc<Core<C, P>>) -> Self {
        let runner = Arc::clone(&core);
        let run = move |relayed: Relayed| {
            let mut course = Trace::default();
            let reply = pipeline::once::run_own(&runner, &relayed.call, relayed.name, &mut course);
            if relayed.answer.send(reply).is_err() {
                debug!(outcome = "dropped"; "the host that relayed a call no longer waits");
            }
        };
        Server {
            core,
            relays: Pool::new("relay", MOST_RELAYS, Box::new(run)),
        }
    }

    fn call_of(&self, request: generated::RelayRequest) -> Result<(Call, CallName), Problem> {
        let refuse = |detail: &str| Problem::unknown(format!("relay refused: {detail}"));
        if convert::uuid(&request.incarnation) != Some(self.core.incarnation) {
            return Err(Problem::unknown(
                "the process that may run the call is gone",
            ));
        }
        let directory = self.core.directory();
        let service = directory
            .service(&request.service)
            .ok_or_else(|| refuse("unknown service"))?;
        let account = service
            .accounts
            .values()
            .find(|account| account.name == request.account)
            .ok_or_else(|| refuse("unknown account"))?;
        let class = service
            .classes
            .get(&account.class)
            .ok_or_else(|| refuse("unknown class"))?;
        let name = convert::from_name(&request.key, request.ticket)
            .ok_or_else(|| refuse("no key or ticket"))?;
        let call = Call {
            request: convert::uuid(&request.request).ok_or_else(|| refuse("no request id"))?,
            service: Arc::clone(service),
            account: account.clone(),
            class: class.clone(),
            method: request.method.into(),
            path: request.path,
            content_type: request.content_type.into(),
            body: request.body,
            work: Work::Plain,
            right: None,
            arrived: self.core.clock.now(),
        };
        self.check(&call, name, &request.ticket_text)?;
        Ok((call, name))
    }

    fn check(&self, call: &Call, name: CallName, text: &str) -> Result<(), Problem> {
        let refuse = |detail: String| Problem::unknown(format!("ticket refused: {detail}"));
        match name {
            CallName::Key(key) => {
                let held = self
                    .core
                    .claim_queue(key)
                    .replica()
                    .with(|claims| claims.get(&call.scope(), key).cloned());
                match held.is_some_and(|held| held.incarnation == self.core.incarnation) {
                    true => Ok(()),
                    false => Err(Problem::unknown(
                        "this host has not read the claim back yet",
                    )),
                }
            }
            CallName::Ticket(number) => {
                let ticket: Ticket = text.parse().map_err(|_| refuse("no ticket".to_owned()))?;
                let now = self.core.clock.now();
                let checked = self.core.issuer.check(&ticket, &call.scope(), now);
                checked.map_err(|fault| refuse(fault.to_string()))?;
                match ticket.number == number {
                    true => Ok(()),
                    false => Err(refuse("the number is another ticket's".to_owned())),
                }
            }
        }
    }
}

#[tonic::async_trait]
impl<C, P> Peer for Server<C, P>
where
    C: Clock + Clone,
    P: Log + List,
{
    async fn exchange(
        &self,
        request: Request<generated::Heartbeat>,
    ) -> Result<Response<generated::Heartbeat>, Status> {
        let heartbeat = request.into_inner();
        let is_near = heartbeat.domain == self.core.settings.domain.as_str();
        duty::take_heartbeat(&self.core, &heartbeat);
        Ok(Response::new(duty::heartbeat(&self.core, is_near)))
    }

    async fn relay(
        &self,
        request: Request<generated::RelayRequest>,
    ) -> Result<Response<generated::RelayReply>, Status> {
        let reply = match self.call_of(request.into_inner()) {
            Err(problem) => problem.into(),
            Ok((call, name)) => {
                let (answer, answered) = oneshot::channel();
                match self.relays.submit(Relayed { call, name, answer }) {
                    Err(_) => Problem::unknown("too many relayed calls").into(),
                    Ok(()) => answered
                        .await
                        .unwrap_or_else(|_| Problem::unknown("the call failed").into()),
                }
            }
        };
        let reply = Some(convert::to_reply(&reply));
        Ok(Response::new(generated::RelayReply { reply }))
    }

    async fn suffix(
        &self,
        request: Request<generated::SuffixRequest>,
    ) -> Result<Response<generated::SuffixReply>, Status> {
        let request = request.into_inner();
        let core = &self.core;
        let suffix = if request.stream == core.config.stream() {
            suffix_of(&core.config, request.from)?
        } else if request.stream == core.authority.replica().stream() {
            suffix_of(core.authority.replica(), request.from)?
        } else if request.stream == duty::HOSTS {
            let hosts = core.hosts.read().expect("host lock").clone();
            encode(&hosts)?
        } else {
            return Err(Status::not_found("stream not followed here"));
        };
        Ok(Response::new(generated::SuffixReply { suffix }))
    }

    async fn handover(
        &self,
        request: Request<generated::HandoverRequest>,
    ) -> Result<Response<generated::Taken>, Status> {
        let request = request.into_inner();
        let invalid = || Status::invalid_argument("not a handover");
        let incarnation = convert::uuid(&request.incarnation).ok_or_else(invalid)?;
        let secret = request.ticket_secret.try_into().map_err(|_| invalid())?;
        let calls = convert::from_answers(request.answers);
        self.core.inherited.insert(incarnation, secret, calls);
        Ok(Response::new(generated::Taken {}))
    }

    async fn suspects(
        &self,
        request: Request<generated::SuspectList>,
    ) -> Result<Response<generated::Taken>, Status> {
        let now = self.core.clock.now();
        for suspect in &request.into_inner().suspects {
            self.core
                .quarantine
                .merge(convert::from_suspect(suspect), now);
        }
        Ok(Response::new(generated::Taken {}))
    }
}

fn suffix_of<S>(replica: &Replica<S>, from: u64) -> Result<Vec<u8>, Status>
where
    S: Fold,
{
    encode(&replica.suffix(from))
}

/// Encodes what a peer asked for; an empty answer would look like one without news.
fn encode<T>(value: &T) -> Result<Vec<u8>, Status>
where
    T: Serialize,
{
    serde_json::to_vec(value).map_err(|cause| {
        warn!(cause:% = cause, outcome = "failed"; "answer to a peer not encoded");
        Status::internal(format!("answer not encoded: {cause}"))
    })
}
