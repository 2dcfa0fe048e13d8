//! Replicas that run as processes of their own, so that they can be killed.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::kit;
use crate::kit::Record;
use crate::kit::Store;
use crate::order;

const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Runs one replica: `standin replica ID ADDRESS`. Its log goes to the standard output.
pub fn replica(id: &str, address: &str) {
    let listener = TcpListener::bind(address).unwrap();
    let own = id.to_owned();
    kit::serve(listener, move |request, stream| {
        if request.path == "/healthz" {
            kit::answer(stream, 200, &[("Pistachiohall-Replica-Id", &own)], b"{}")?;
            return Ok(true);
        }
        if request.field("pistachiohall-expect-instance") != own {
            kit::answer(
                stream,
                421,
                &[("Pistachiohall-Request-Id", request.id())],
                b"",
            )?;
            return Ok(true);
        }
        order::generate(&request, stream)
    });
    println!("listening");
    loop {
        thread::park();
    }
}

/// A replica's process, and its entry in the store.
pub struct Process {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
    is_alive: Arc<Mutex<bool>>,
}

impl Process {
    /// Starts a replica of `service`.
    pub fn start(store: &Store, record: &Arc<Record>, service: &str, id: &str) -> Self {
        let address = kit::free_address();
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(["replica", id, &address.to_string()]);
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        kit::end_with_parent(&mut command);
        let mut child = command.spawn().unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let _listening = lines.next();
        let (record, own) = (Arc::clone(record), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(format!("replica {own} {line}"));
            }
        });
        let is_alive = Arc::new(Mutex::new(true));
        let (own, service) = (id.to_owned(), service.to_owned());
        let (store, alive, born) = (store.clone(), Arc::clone(&is_alive), kit::wall_ms());
        let write = move |sequence: u64| {
            let alive = alive.lock().unwrap();
            if *alive {
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"derby\",\"version\":\"v1\",\"slots\":64,\
                     \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
                );
                store.put("keyed.servers", &own, &entry);
            }
            *alive
        };
        write(1);
        thread::spawn(move || {
            let mut sequence = 2;
            while write(sequence) {
                sequence += 1;
                thread::sleep(HEARTBEAT);
            }
        });
        Process {
            id: id.into(),
            address,
            child,
            is_alive,
        }
    }

    /// Returns `true` once if the process has ended by itself; its entry is removed later.
    pub fn has_ended(&mut self, store: &Store) -> bool {
        let has_ended =
            *self.is_alive.lock().unwrap() && matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            self.kill(store);
        }
        has_ended
    }

    /// Returns `true` if the process has ended or was killed.
    pub fn is_down(&self) -> bool {
        !*self.is_alive.lock().unwrap()
    }

    /// Kills the process with SIGKILL; its entry is removed after three intervals of silence.
    pub fn kill(&mut self, store: &Store) {
        *self.is_alive.lock().unwrap() = false;
        let _ = self.child.kill();
        let _ = self.child.wait();
        let (store, id) = (store.clone(), self.id.clone());
        thread::spawn(move || {
            thread::sleep(3 * HEARTBEAT);
            store.put("keyed.servers", &id, "");
        });
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
