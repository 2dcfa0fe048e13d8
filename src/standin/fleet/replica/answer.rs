//! What the stand-in upstream answers to each kind of request.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use super::Behavior;
use super::ReceivedRequest;
use super::ResumeError;
use super::STAMP;
use super::State;
use crate::standin::fleet::endless;
use crate::standin::fleet::mortal;
use crate::standin::fleet::mortal::CrashMode;
use crate::standin::fleet::wire;
use crate::standin::fleet::wire::Next;
use crate::standin::fleet::wire::Request;

/// Field of a request whose events are to name the software version that wrote them.
const SHOW_BUILD: &str = "show-build";

/// Longest time that a request hangs.
const HANG_TIME: Duration = Duration::from_secs(20);

/// Answers one request on a connection.
pub(super) fn handle(
    shared: &Mutex<State>,
    request: Request,
    stream: &mut TcpStream,
) -> io::Result<Next> {
    let (id, manner, stage, pause) = {
        let state = shared.lock().expect("replica lock");
        (state.id.clone(), state.manner, state.stage, state.pause)
    };
    if shared.lock().expect("replica lock").is_ended {
        let index = note(shared, &request, false);
        return end(shared, index, stream);
    }
    match request.path.as_str() {
        "/v1/report" if let Some(answer) = endless::Answer::of(manner, "") => {
            let index = note(shared, &request, false);
            return pour(shared, index, &answer, stream);
        }
        "/v1/report" | "/healthz"
            if matches!(manner, Behavior::CutHead(_) | Behavior::HeadOnly) =>
        {
            note(shared, &request, false);
            return head_alone(manner, "", stream);
        }
        "/v1/report" => return report(shared, stream),
        "/healthz" => return health(shared, stream),
        "/v1/order" => return order(shared, &request, stream),
        path if path.starts_with("/v1/kv-handle/") => {
            let name = path.trim_start_matches("/v1/kv-handle/");
            shared.lock().expect("replica lock").handles.remove(name);
            say(shared, stream, 200, &[], b"")?;
            return Ok(Next::Keep);
        }
        _ => (),
    }
    let own_id = request
        .fields
        .get("pistachiohall-request-id")
        .cloned()
        .unwrap_or_default();
    let expected = request.fields.get("pistachiohall-expect-instance");
    let is_other = expected.is_some_and(|expected| *expected != id);
    let reads = request
        .fields
        .get("pistachiohall-stage")
        .is_some_and(|stage| stage == "prefill");
    let is_wrong_stage = stage.is_some() && reads != (stage == Some("prefill"));
    if is_other || is_wrong_stage {
        note(shared, &request, false);
        say(
            shared,
            stream,
            421,
            &[("Pistachiohall-Request-Id", &own_id)],
            b"",
        )?;
        return Ok(Next::Keep);
    }
    if manner == Behavior::Shed {
        let index = note(shared, &request, false);
        {
            let mut state = shared.lock().expect("replica lock");
            state.seen[index].asked_pause = state.retry_after.is_some();
        }
        let fields = [
            ("Pistachiohall-Request-Id", own_id.as_str()),
            ("Pistachiohall-Not-Executed", "1"),
        ];
        say(shared, stream, 503, &fields, b"")?;
        return Ok(Next::Keep);
    }
    if ends(shared, &request, reads) {
        let index = note(shared, &request, !reads);
        shared.lock().expect("replica lock").is_ended = true;
        return end(shared, index, stream);
    }
    if let Some(answer) = endless::Answer::of(manner, &own_id) {
        let index = note(shared, &request, manner != Behavior::EndlessRefusal);
        return pour(shared, index, &answer, stream);
    }
    if matches!(manner, Behavior::CutHead(_) | Behavior::HeadOnly) {
        note(shared, &request, !reads);
        return head_alone(manner, &own_id, stream);
    }
    if reads {
        return read_ahead(shared, &request, &own_id, stream);
    }
    if let Some(source) = request.fields.get("pistachiohall-kv-source")
        && !source.contains('/')
    {
        note(shared, &request, false);
        let fields = [
            ("Pistachiohall-Request-Id", own_id.as_str()),
            ("Pistachiohall-Not-Executed", "1"),
        ];
        say(shared, stream, 503, &fields, b"")?;
        return Ok(Next::Keep);
    }
    let index = note(shared, &request, true);
    thread::sleep(pause);
    if manner == Behavior::RepeatRefusal {
        say(
            shared,
            stream,
            503,
            &[("Pistachiohall-Not-Executed", "1")],
            b"",
        )?;
        return Ok(Next::Keep);
    }
    match stage {
        None => plain(shared, index, manner, &own_id, stream),
        Some(_) => generate(shared, index, &request, &own_id, stream),
    }
}

/// Returns whether a request ends the upstream as it begins to run.
fn ends(shared: &Mutex<State>, request: &Request, reads: bool) -> bool {
    let nature = shared.lock().expect("replica lock").nature;
    nature.is_some_and(|nature| {
        let is_deadly = request.path.ends_with(mortal::DEADLY);
        (is_deadly && !(reads && nature.spares_prefill_engines))
            || (!reads && has_deadly_block(request))
    })
}

fn has_deadly_block(request: &Request) -> bool {
    let prefix = request.fields.get("pistachiohall-prompt-prefix");
    let mut blocks = prefix.into_iter().flat_map(|prefix| prefix.rsplit(','));
    let _last = blocks.next();
    blocks.any(|block| block.split(':').next() == Some(mortal::DEADLY_BLOCK))
}

/// Ends a connection the way in which the upstream ends.
fn end(shared: &Mutex<State>, index: usize, stream: &mut TcpStream) -> io::Result<Next> {
    let nature = shared.lock().expect("replica lock").nature;
    match nature.map(|nature| nature.death) {
        Some(CrashMode::Dark) => hang(shared, index, stream),
        Some(CrashMode::Reset) | None => Ok(Next::Reset),
    }
}

/// Writes an answer, with the fields by which the upstream speaks of itself.
fn say<W>(
    shared: &Mutex<State>,
    out: &mut W,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()>
where
    W: Write,
{
    let own = own_fields(shared, status);
    let own = own.iter().map(|(name, value)| (*name, value.as_str()));
    let fields: Vec<(&str, &str)> = fields.iter().copied().chain(own).collect();
    wire::answer(out, status, &fields, body)
}

fn own_fields(shared: &Mutex<State>, status: u16) -> Vec<(&'static str, String)> {
    let state = shared.lock().expect("replica lock");
    let mut fields = Vec::new();
    if state.is_leaving {
        fields.push(("Server-Leaving", "1".to_owned()));
    }
    if let (503, Some(value)) = (status, &state.retry_after) {
        fields.push(("Retry-After", value.clone()));
    }
    if let Some(value) = &state.limit {
        fields.push(("Server-Limit", value.clone()));
    }
    fields
}

fn note(shared: &Mutex<State>, request: &Request, ran: bool) -> usize {
    let mut state = shared.lock().expect("replica lock");
    let said_leaving = state.is_leaving;
    state.seen.push(ReceivedRequest {
        at: Instant::now(),
        method: request.method.clone(),
        path: request.path.clone(),
        fields: request.fields.clone(),
        body: request.body.clone(),
        ran,
        left_after: None,
        sent_bytes: 0,
        asked_pause: false,
        said_leaving,
    });
    state.seen.len() - 1
}

fn report(shared: &Mutex<State>, stream: &mut TcpStream) -> io::Result<Next> {
    let (body, fields) = {
        let state = shared.lock().expect("replica lock");
        let fields = match state.is_leaving_in_report {
            true => vec![("Server-Leaving", "1")],
            false => Vec::new(),
        };
        let body = json!({
            "stage": state.stage, "models": [], "busy": false, "sequence": state.orders,
            "queued": 0, "active": 0, "kv_used": 0, "kv_total": 0, "kv_handles": 0,
            "born": state.born,
        });
        (body, fields)
    };
    say(shared, stream, 200, &fields, body.to_string().as_bytes())?;
    Ok(Next::Keep)
}

fn health(shared: &Mutex<State>, stream: &mut TcpStream) -> io::Result<Next> {
    let (id, body) = {
        let state = shared.lock().expect("replica lock");
        (state.id.clone(), json!({"born": state.born}).to_string())
    };
    let fields = [("Pistachiohall-Replica-Id", id.as_str())];
    say(shared, stream, 200, &fields, body.as_bytes())?;
    Ok(Next::Keep)
}

fn order(shared: &Mutex<State>, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
    note(shared, request, false);
    let order: Value = serde_json::from_slice(&request.body)?;
    let status = {
        let mut state = shared.lock().expect("replica lock");
        let fence = order["fence"].as_u64().unwrap_or_default();
        let stage = match order["stage"].as_str() {
            Some("prefill") => "prefill",
            _ => "decode",
        };
        if fence < state.fence {
            412
        } else if order["expect"]
            .as_u64()
            .is_some_and(|expected| expected != state.orders)
        {
            409
        } else if state.stage == Some(stage) {
            200
        } else {
            state.fence = fence;
            state.orders += 1;
            state.stage = Some(stage);
            202
        }
    };
    say(shared, stream, status, &[], b"")?;
    Ok(Next::Keep)
}

fn read_ahead(
    shared: &Mutex<State>,
    request: &Request,
    id: &str,
    stream: &mut TcpStream,
) -> io::Result<Next> {
    note(shared, request, false);
    let pause = shared.lock().expect("replica lock").pause;
    thread::sleep(pause);
    let handle = format!("h{id}");
    shared
        .lock()
        .expect("replica lock")
        .handles
        .insert(handle.clone());
    let body = json!({"kv_handle": handle, "tokens": 100, "version": 1}).to_string();
    say(
        shared,
        stream,
        200,
        &[("Pistachiohall-Request-Id", id)],
        body.as_bytes(),
    )?;
    Ok(Next::Keep)
}

fn plain(
    shared: &Mutex<State>,
    index: usize,
    manner: Behavior,
    id: &str,
    stream: &mut TcpStream,
) -> io::Result<Next> {
    let signed = [
        ("Pistachiohall-Request-Id", id),
        ("Pistachiohall-Server-Stamp", STAMP),
    ];
    let body = b"the whole answer";
    match manner {
        Behavior::Hang => return hang(shared, index, stream),
        Behavior::Reset => return Ok(Next::Reset),
        Behavior::Fail => say(shared, stream, 500, &signed, b"failed")?,
        Behavior::FailWith(status) => say(shared, stream, status, &signed, b"failed")?,
        Behavior::Large(bytes) => say(shared, stream, 200, &signed, &vec![b'x'; bytes])?,
        Behavior::Foreign => {
            let fields = [("Pistachiohall-Request-Id", "another"), signed[1]];
            say(shared, stream, 200, &fields, body)?;
        }
        Behavior::Unsigned => say(shared, stream, 200, &signed[..1], body)?,
        Behavior::Encoded => {
            let fields = [signed[0], signed[1], ("Content-Encoding", "gzip")];
            say(shared, stream, 200, &fields, body)?;
        }
        Behavior::Short => {
            let mut whole = Vec::new();
            say(shared, &mut whole, 200, &signed, body)?;
            stream.write_all(&whole[..whole.len() - 4])?;
            return Ok(Next::Close);
        }
        Behavior::Unframed | Behavior::UnframedBreak(_) => {
            let fields = signed.map(|(name, value)| format!("{name}: {value}\r\n"));
            write!(stream, "HTTP/1.1 200 OK\r\n{}\r\n", fields.concat())?;
            if manner == Behavior::Unframed {
                stream.write_all(body)?;
                return Ok(Next::Close);
            }
            stream.write_all(&body[..body.len() - 4])?;
            return Ok(Next::Reset);
        }
        Behavior::Extra => {
            say(shared, stream, 200, &signed, body)?;
            say(shared, stream, 200, &signed, b"not asked for")?;
        }
        Behavior::Late => {
            let caller = stream.peer_addr()?;
            let is_known = !shared.lock().expect("replica lock").callers.insert(caller);
            if is_known {
                let fields = [("Pistachiohall-Request-Id", "before"), signed[1]];
                say(shared, stream, 200, &fields, b"of before")?;
            }
            say(shared, stream, 200, &signed, body)?;
        }
        _ => say(shared, stream, 200, &signed, body)?,
    }
    Ok(Next::Keep)
}

/// Writes an answer without end, and notes how it went.
fn pour(
    shared: &Mutex<State>,
    index: usize,
    answer: &endless::Answer,
    stream: &mut TcpStream,
) -> io::Result<Next> {
    let poured = answer.pour(stream)?;
    let mut state = shared.lock().expect("replica lock");
    state.seen[index].sent_bytes = poured.bytes;
    state.seen[index].left_after = poured.left_after;
    Ok(Next::Close)
}

/// Returns the head of an answer without its end; a length comes last, if there is one.
///
/// ```
/// use pistachiohall::standin::fleet::replica;
/// assert!(replica::head("r1", true).ends_with("Content-Length: 16\r\n"));
/// ```
pub fn head(id: &str, has_length: bool) -> String {
    let length = if has_length {
        "Content-Length: 16\r\n"
    } else {
        ""
    };
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
         Pistachiohall-Request-Id: {id}\r\nPistachiohall-Server-Stamp: {STAMP}\r\n{length}"
    )
}

/// Writes a head, whole or not, and no body.
fn head_alone(manner: Behavior, id: &str, stream: &mut TcpStream) -> io::Result<Next> {
    let Behavior::CutHead(cut) = manner else {
        write!(stream, "{}\r\n", head(id, false))?;
        return Ok(Next::Close);
    };
    if cut.has_interim {
        stream.write_all(b"HTTP/1.1 102 Processing\r\n\r\n")?;
    }
    stream.write_all(&head(id, true).as_bytes()[..cut.bytes])?;
    match cut.resets {
        true => Ok(Next::Reset),
        false => Ok(Next::Close),
    }
}

/// Waits until the caller leaves, and notes when.
fn hang(shared: &Mutex<State>, index: usize, stream: &mut TcpStream) -> io::Result<Next> {
    let begun = Instant::now();
    stream.set_read_timeout(Some(HANG_TIME))?;
    let mut byte = [0];
    let has_left =
        matches!(stream.read(&mut byte), Ok(0)) || matches!(stream.take_error(), Ok(Some(_)));
    if has_left {
        let mut state = shared.lock().expect("replica lock");
        state.seen[index].left_after = Some(begun.elapsed());
    }
    Ok(Next::Close)
}

/// Answers a request that resumes a stream with an error.
fn resume_error(error: ResumeError, id: &str, stream: &mut TcpStream) -> io::Result<Next> {
    let (status, kind, body) = match error {
        ResumeError::Status => (500, "text/plain", "overloaded\n\n"),
        ResumeError::Event => (
            200,
            "text/event-stream",
            "event: error\ndata: overloaded\n\n",
        ),
        ResumeError::Text | ResumeError::UnframedText => {
            (200, "text/plain", "overloaded\n\ntry again\n\n")
        }
        ResumeError::UnframedNothing | ResumeError::Restart => (200, "text/event-stream", ""),
    };
    let signed = [
        ("Content-Type", kind),
        ("Pistachiohall-Request-Id", id),
        ("Pistachiohall-Server-Stamp", STAMP),
    ];
    if !matches!(
        error,
        ResumeError::UnframedText | ResumeError::UnframedNothing
    ) {
        wire::answer(stream, status, &signed, body.as_bytes())?;
        return Ok(Next::Keep);
    }
    let fields = signed.map(|(name, value)| format!("{name}: {value}\r\n"));
    write!(
        stream,
        "HTTP/1.1 {status} Status\r\n{}\r\n{body}",
        fields.concat()
    )?;
    Ok(Next::Close)
}

fn generate(
    shared: &Mutex<State>,
    index: usize,
    request: &Request,
    id: &str,
    stream: &mut TcpStream,
) -> io::Result<Next> {
    let (manner, pause, build) = {
        let state = shared.lock().expect("replica lock");
        (state.manner, state.pause, state.build.clone())
    };
    match manner {
        Behavior::Hang => return hang(shared, index, stream),
        Behavior::Reset => return Ok(Next::Reset),
        Behavior::FailWith(status) => {
            let signed = [
                ("Pistachiohall-Request-Id", id),
                ("Pistachiohall-Server-Stamp", STAMP),
            ];
            say(shared, stream, status, &signed, b"failed")?;
            return Ok(Next::Keep);
        }
        _ => (),
    }
    if let (Behavior::BreakThen(error), true) =
        (manner, request.fields.contains_key("last-event-id"))
        && error != ResumeError::Restart
    {
        return resume_error(error, id, stream);
    }
    let number = |text: Option<&str>| text.and_then(|text| text.parse::<u64>().ok());
    let sizes = request.fields.get("pistachiohall-token-count");
    let count = number(sizes.and_then(|sizes| sizes.split(',').nth(1))).unwrap_or(3);
    let after = match manner {
        Behavior::BreakThen(ResumeError::Restart) => 0,
        _ => number(request.fields.get("last-event-id").map(String::as_str)).unwrap_or(0),
    };
    let is_framed = !matches!(
        manner,
        Behavior::Unframed | Behavior::UnframedBreak(_) | Behavior::HeadWithin
    );
    let breaks_at = match manner {
        Behavior::Break(number) | Behavior::UnframedBreak(number) => Some(number),
        Behavior::BreakThen(_) => Some(3),
        _ => None,
    };
    let framing = if is_framed {
        "Transfer-Encoding: chunked\r\n"
    } else {
        ""
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\
         Pistachiohall-Request-Id: {id}\r\nPistachiohall-Server-Stamp: {STAMP}\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for (name, value) in own_fields(shared, 200) {
        write!(stream, "{name}: {value}\r\n")?;
    }
    stream.write_all(b"\r\n")?;
    let filler = match manner {
        Behavior::Large(bytes) => "x".repeat(bytes),
        _ if request.fields.contains_key(SHOW_BUILD) => format!(" of {build}"),
        _ => String::new(),
    };
    for number in after + 1..=count {
        let event = format!("id: {number}\ndata: token {number}{filler}\n\n");
        if manner == Behavior::HeadWithin && number == 3 {
            wire::answer(stream, 500, &[], b"overloaded\n\n")?;
            return Ok(Next::Close);
        }
        let is_last = breaks_at == Some(number);
        let part = if is_last {
            &event[..event.len() / 2]
        } else {
            &event
        };
        match is_framed {
            true => write!(stream, "{:x}\r\n{part}\r\n", part.len())?,
            false => write!(stream, "{part}")?,
        }
        if is_last {
            return Ok(Next::Close);
        }
        thread::sleep(pause);
    }
    if !is_framed {
        return Ok(Next::Close);
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(Next::Keep)
}
