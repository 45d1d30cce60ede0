//! Whether an answer that has ended is whole, and whether the endpoint that gave it lives.

use super::support::{entry, plain_service};
use cassiagw_core::forwarding::{
    AnswerEnd,
    EndVerdict::{self, Cut, Whole, WholeIfAlive},
    EndpointIdentity,
    Framing::{self, Chunked, Close, Length},
};

struct Case {
    framing: Framing,
    is_event_stream: bool,
    body: &'static str,
    verdict: EndVerdict,
}

#[rustfmt::skip]
const CASES: [Case; 10] = [
    Case { framing: Length,  is_event_stream: false, body: "half",            verdict: Whole },
    Case { framing: Chunked, is_event_stream: false, body: "",                verdict: Whole },
    Case { framing: Close,   is_event_stream: false, body: "half",            verdict: WholeIfAlive },
    Case { framing: Close,   is_event_stream: false, body: "",                verdict: WholeIfAlive },
    Case { framing: Length,  is_event_stream: true,  body: "data: a\n",       verdict: Cut },
    Case { framing: Chunked, is_event_stream: true,  body: "data: a\n",       verdict: Cut },
    Case { framing: Chunked, is_event_stream: true,  body: "",                verdict: Whole },
    Case { framing: Close,   is_event_stream: true,  body: "data: a\n\n",     verdict: WholeIfAlive },
    Case { framing: Close,   is_event_stream: true,  body: "data: a\n\ndata", verdict: Cut },
    Case { framing: Close,   is_event_stream: true,  body: "",                verdict: Cut },
];

#[test]
fn an_end_is_believed_only_where_it_is_marked_or_the_endpoint_lives() {
    for case in CASES {
        let mut end = AnswerEnd::new(case.framing, case.is_event_stream);
        end.push(case.body.as_bytes());
        assert_eq!(end.verdict(), case.verdict, "{:?} {:?}", case.framing, case.body);
    }
}

struct IdentityCase {
    id: Option<&'static str>,
    started: Option<u64>,
    listed: Option<u64>,
    is_boot: bool,
}

#[rustfmt::skip]
const IDENTITIES: [IdentityCase; 8] = [
    IdentityCase { id: Some("e1"), started: Some(5), listed: Some(5), is_boot: true },
    IdentityCase { id: Some("e1"), started: None,    listed: Some(5), is_boot: true },
    IdentityCase { id: None,       started: Some(5), listed: Some(5), is_boot: true },
    IdentityCase { id: Some("e1"), started: Some(6), listed: Some(5), is_boot: false },
    IdentityCase { id: Some("e2"), started: Some(5), listed: Some(5), is_boot: false },
    IdentityCase { id: None,       started: Some(6), listed: Some(5), is_boot: false },
    IdentityCase { id: None,       started: None,    listed: Some(5), is_boot: false },
    IdentityCase { id: None,       started: Some(5), listed: None,    is_boot: false },
];

#[test]
fn only_the_same_boot_proves_that_an_endpoint_lives() {
    for case in IDENTITIES {
        let mut listed = entry("e1", &plain_service(), "z0");
        listed.started_unix_ms = case.listed;
        let id = case.id.map(str::to_owned);
        let started_unix_ms = case.started;
        let said = EndpointIdentity { id, started_unix_ms, ..EndpointIdentity::default() };
        assert_eq!(said.is_boot_of(&listed), case.is_boot, "{said:?} listed {:?}", case.listed);
    }
}
