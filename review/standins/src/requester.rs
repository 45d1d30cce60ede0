//! Stand-in for requesters: each request comes on a new channel, with an id of its own.

use crate::{daemon::Daemon, http, record::Record};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
    time::Duration,
};

pub const HOST: &str = "shop.example";
/// Time for which a requester waits for an answer.
const TIME_LEFT: Duration = Duration::from_secs(3);

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent_at: Duration,
    /// Status of the answer; `None` without a whole one.
    pub status: Option<u16>,
}

/// What is sent.
#[derive(Clone)]
pub struct Load {
    pub name: &'static str,
    pub method: &'static str,
    /// Path; `{id}` in it stands for the request's id.
    pub path: &'static str,
    pub key: &'static str,
    /// Header fields of a prompt.
    pub prompt: Vec<(&'static str, String)>,
}

/// Sends one request and waits for the answer.
pub fn send(record: &Record, front: SocketAddr, load: &Load, id: &str) -> Outcome {
    let sent_at = record.now();
    record.add(format!("requester: sends {id}"));
    let line = format!("{} {} HTTP/1.1", load.method, load.path.replace("{id}", id));
    let mut fields = vec![
        ("Host", HOST.to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", TIME_LEFT.as_millis().to_string()),
        ("Authorization", format!("Token {}", load.key)),
    ];
    fields.extend(load.prompt.iter().cloned());
    let limit = TIME_LEFT + Duration::from_secs(1);
    let answer = http::call(front, &line, &fields, b"order", limit);
    let status = answer.as_ref().ok().map(http::Message::status);
    match &answer {
        Ok(answer) => record.add(format!("requester: {id} is answered {}", answer.status())),
        Err(error) => record.add(format!("requester: {id} gets no answer: {error}")),
    }
    Outcome { id: id.to_owned(), sent_at, status }
}

/// Sends `per_s` requests a second to the daemons in turn until a time, then waits for all answers.
pub fn send_until(
    record: &Record,
    daemons: &[Daemon],
    load: Load,
    per_s: u32,
    until: Duration,
) -> JoinHandle<Vec<Outcome>> {
    let fronts: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.front).collect();
    let record = record.clone();
    thread::spawn(move || {
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let started = record.now();
        let mut senders = Vec::new();
        let mut sent = 0;
        while record.now() < until {
            let due = started + Duration::from_secs(1) * sent / per_s;
            record.wait_until(due);
            let id = format!("{}-{sent}", load.name);
            let front = fronts[sent as usize % fronts.len()];
            let (record, load, outcomes) = (record.clone(), load.clone(), outcomes.clone());
            senders.push(thread::spawn(move || {
                let outcome = send(&record, front, &load, &id);
                outcomes.lock().unwrap().push(outcome);
            }));
            sent += 1;
        }
        senders.into_iter().for_each(|sender| drop(sender.join()));
        std::mem::take(&mut *outcomes.lock().unwrap())
    })
}
