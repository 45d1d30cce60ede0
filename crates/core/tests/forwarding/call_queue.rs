use cassiagw_core::forwarding::{CallQueue, Waiter};
use std::time::{Duration, Instant};

fn waiter(id: u64, priority: u8, target_ms: u64, start: Instant) -> Waiter {
    let start_by = start + Duration::from_millis(target_ms);
    Waiter {
        id,
        priority,
        start_by,
        deadline: start_by + Duration::from_secs(2),
        work_tokens: 1_000,
    }
}

#[test]
fn requests_that_can_be_on_time_are_served_first() {
    struct Case {
        after_ms: u64,
        order: &'static [u64],
    }
    let cases = [
        Case { after_ms: 0, order: &[3, 1, 2, 4] },
        Case { after_ms: 150, order: &[1, 2, 4, 3] },
        Case { after_ms: 350, order: &[2, 4, 3, 1] },
        Case { after_ms: 900, order: &[3, 1, 2, 4] },
    ];
    for case in cases {
        let start = Instant::now();
        let mut queue = CallQueue::default();
        queue.push(waiter(1, 0, 300, start));
        queue.push(waiter(2, 1, 400, start));
        queue.push(waiter(3, 0, 100, start));
        queue.push(waiter(4, 1, 500, start));
        let now = start + Duration::from_millis(case.after_ms);
        assert_eq!(queue.serving_order(now), case.order, "after {} ms", case.after_ms);
    }
}

#[test]
fn requests_that_cannot_start_before_the_deadline_are_not_admitted() {
    let start = Instant::now();
    let mut queue = CallQueue::default();
    for id in 0..100 {
        queue.push(waiter(id, 0, 300, start));
    }
    let next = waiter(100, 0, 301, start);
    // 100 requests of 1,000 tokens each.
    assert_eq!(queue.wait(start, &next, 100.0), Duration::from_secs(1));
    assert!(queue.can_serve(start, &next, 100.0));
    assert!(!queue.can_serve(start, &next, 40.0), "2.5 s are more than 2.301 s");
    let urgent = waiter(101, 0, 200, start);
    assert!(queue.can_serve(start, &urgent, 40.0), "it is served before the others");
    queue.remove(7);
    assert_eq!((queue.len(), queue.is_empty()), (99, false));
}

/// Simulates a server that processes one request at a time, in serving order or in order of arrival,
/// and counts the requests started on time. Each arrives 500 ms before its `start_by`.
fn on_time(
    requests: &[Waiter],
    start: Instant,
    tokens_per_ms: u64,
    in_serving_order: bool,
) -> usize {
    let mut queue = CallQueue::default();
    let mut waiting: Vec<Waiter> = Vec::new();
    let mut arriving = requests.iter().peekable();
    let mut now = start;
    let mut on_time = 0;
    loop {
        while let Some(next) =
            arriving.next_if(|next| next.start_by - Duration::from_millis(500) <= now)
        {
            queue.push(*next);
            waiting.push(*next);
        }
        let order = queue.serving_order(now);
        let first =
            if in_serving_order { order.first().copied() } else { waiting.first().map(|w| w.id) };
        let Some(id) = first else {
            match arriving.peek() {
                Some(next) => now = next.start_by - Duration::from_millis(500),
                None => return on_time,
            }
            continue;
        };
        let at = waiting.iter().position(|waiter| waiter.id == id).expect("the waiter is queued");
        let served = waiting.remove(at);
        queue.remove(id);
        if now >= served.deadline {
            continue;
        }
        on_time += usize::from(now <= served.start_by);
        now += Duration::from_millis(served.work_tokens / tokens_per_ms);
    }
}

#[test]
fn above_capacity_more_requests_start_on_time_than_in_order_of_arrival() {
    let start = Instant::now();
    // For 4 s the load is 1.5 times the server's capacity, then half of it.
    let arrivals = (0..600).map(|n| if n < 300 { n * 13 } else { 4_000 + (n - 300) * 40 });
    let requests: Vec<Waiter> =
        arrivals.enumerate().map(|(id, at)| waiter(id as u64, 0, at + 500, start)).collect();
    let by_arrival = on_time(&requests, start, 50, false);
    let by_urgency = on_time(&requests, start, 50, true);
    assert!(by_urgency >= by_arrival + 100, "{by_urgency} against {by_arrival}");
    assert!(by_urgency >= 480, "{by_urgency} of 600");
}
