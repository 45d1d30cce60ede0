use cassiagw_core::forwarding::{EventBoundary, EventSplitter, EventTooLong};
use proptest::prelude::*;

fn event(id: usize, end: &str) -> String {
    format!("id: {id}{end}data: token {id}{end}{end}")
}

#[test]
fn a_partial_event_is_buffered() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n"), Ok(None));
    let complete = splitter.push(b"\nid: 2\nda").expect("a short event");
    let complete = complete.expect("the first event is complete");
    assert_eq!(&complete.bytes[..], b"id: 1\ndata: a\n\n");
    assert_eq!(complete.last_id.as_deref(), Some("1"));
    assert_eq!(splitter.push(b"ta: b\n"), Ok(None));
    let complete = splitter.push(b"\n").expect("a short event").expect("the second event");
    assert_eq!(&complete.bytes[..], b"id: 2\ndata: b\n\n");
}

struct Case {
    chunks: &'static [&'static str],
    is_between_events: bool,
}

const BOUNDARIES: [Case; 15] = [
    Case { chunks: &[], is_between_events: true },
    Case { chunks: &["data: a\n\n"], is_between_events: true },
    Case { chunks: &["data: a\r\n", "\r", "\n"], is_between_events: true },
    Case { chunks: &["data: a\r\n\r"], is_between_events: false },
    Case { chunks: &["data: a\n", "\n"], is_between_events: true },
    Case { chunks: &["data: a\r\r"], is_between_events: true },
    Case { chunks: &["data: a\r", "\r", "\n"], is_between_events: true },
    Case { chunks: &["data: a\r\n\n"], is_between_events: true },
    Case { chunks: &["data: a\n\r\n"], is_between_events: true },
    Case { chunks: &["data: a\r"], is_between_events: false },
    Case { chunks: &["data: a\r\n"], is_between_events: false },
    Case { chunks: &["data: a\n"], is_between_events: false },
    Case { chunks: &["data: a\n\n", "d"], is_between_events: false },
    Case { chunks: &["data: a\n\n", "data: b\n\ndata:"], is_between_events: false },
    Case { chunks: &["data: a\r\r", "data: b\r"], is_between_events: false },
];

#[test]
fn a_stream_ends_between_events_or_inside_one() {
    for case in BOUNDARIES {
        let mut boundary = EventBoundary::default();
        let mut splitter = EventSplitter::default();
        let mut forwarded = 0;
        for chunk in case.chunks {
            boundary.push(chunk.as_bytes());
            let complete = splitter.push(chunk.as_bytes()).expect("short events");
            forwarded += complete.map_or(0, |complete| complete.bytes.len());
        }
        let received: usize = case.chunks.iter().map(|chunk| chunk.len()).sum();
        assert_eq!(boundary.is_between_events(), case.is_between_events, "{:?}", case.chunks);
        assert_eq!(boundary.is_empty(), received == 0, "{:?}", case.chunks);
        assert_eq!(forwarded == received, case.is_between_events, "{:?}", case.chunks);
    }
}

struct ResumeCase {
    last_id: &'static str,
    events: &'static str,
    continues: bool,
}

#[rustfmt::skip]
const RESUMES: [ResumeCase; 9] = [
    ResumeCase { last_id: "4",  events: "id: 5\ndata: e\n\n",                 continues: true },
    ResumeCase { last_id: "9",  events: "data: j\r\nid: 10\r\n\r\n",         continues: true },
    ResumeCase { last_id: "4",  events: "id: 5\rdata: e\r\r",                 continues: true },
    ResumeCase { last_id: "4",  events: ": ping\n\nid: 5\ndata: e\n\n",       continues: true },
    ResumeCase { last_id: "4",  events: "id: 4\ndata: d\n\n",                 continues: false },
    ResumeCase { last_id: "10", events: "id: 9\ndata: i\n\n",                 continues: false },
    ResumeCase { last_id: "4",  events: "data: e\n\nid: 5\ndata: f\n\n",      continues: false },
    ResumeCase { last_id: "4",  events: "event: error\ndata: out of memory\n\n", continues: false },
    ResumeCase { last_id: "a",  events: "id: b\ndata: e\n\n",                 continues: true },
];

#[test]
fn a_resumed_stream_continues_after_its_last_event() {
    for case in RESUMES {
        let mut splitter = EventSplitter::default();
        let events = splitter.push(case.events.as_bytes()).expect("short events");
        let events = events.expect("a complete event");
        assert_eq!(events.continue_after(case.last_id), case.continues, "{:?}", case.events);
    }
}

#[test]
fn an_event_without_end_is_refused() {
    let mut splitter = EventSplitter::default();
    let pushed: Vec<_> = (0..64).map(|_| splitter.push(&[b'x'; 8_192])).collect();
    assert_eq!(pushed.first(), Some(&Ok(None)));
    assert_eq!(pushed.last(), Some(&Err(EventTooLong)));
}

proptest! {
    #[test]
    fn any_chunking_preserves_the_bytes(
        events in 0..12_usize,
        crlf in any::<bool>(),
        sizes in prop::collection::vec(1..40_usize, 1..60),
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let stream: String = (1..=events).map(|id| event(id, end)).collect();
        let mut splitter = EventSplitter::default();
        let mut forwarded = Vec::new();
        let mut last_id = None;
        let mut rest = stream.as_bytes();
        for size in sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (data, after) = rest.split_at((*size).min(rest.len()));
            rest = after;
            let Some(complete) = splitter.push(data).expect("short events") else { continue };
            let blank_line = end.repeat(2);
            prop_assert!(complete.bytes.ends_with(blank_line.as_bytes()));
            last_id = complete.last_id.or(last_id);
            forwarded.extend_from_slice(&complete.bytes);
        }
        prop_assert_eq!(last_id, (events > 0).then(|| events.to_string()));
        prop_assert_eq!(forwarded, stream.as_bytes());
    }
}
