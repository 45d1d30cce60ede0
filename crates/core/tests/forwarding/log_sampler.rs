//! Which request log lines are written under normal load and under floods.

use cassiagw_core::forwarding::{LogSampler, LogSamplerLimits};
use std::time::{Duration, Instant};

const LIMITS: LogSamplerLimits = LogSamplerLimits { sample_above: 40, max: 200, sample_one_in: 16 };

/// Requests of one second and the number of lines that must be written for them.
struct Case {
    name: &'static str,
    /// Successful requests.
    succeeded: u64,
    /// Failed requests.
    failed: u64,
    /// Lines per request.
    lines: u32,
    written: std::ops::RangeInclusive<u32>,
    failed_written: std::ops::RangeInclusive<u32>,
}

#[rustfmt::skip]
const CASES: [Case; 6] = [
    Case { name: "normal load is logged in full", succeeded: 10, failed: 2, lines: 3, written: 36..=36, failed_written: 6..=6 },
    Case { name: "successful requests are sampled, one in 16", succeeded: 320, failed: 0, lines: 2, written: 60..=80, failed_written: 0..=0 },
    Case { name: "failed requests are kept while successful ones are sampled", succeeded: 320, failed: 30, lines: 2, written: 110..=140, failed_written: 60..=60 },
    Case { name: "a flood of failures is bounded", succeeded: 0, failed: 10_000, lines: 4, written: 200..=200, failed_written: 200..=200 },
    Case { name: "a request is logged in full or not at all", succeeded: 0, failed: 100, lines: 7, written: 196..=196, failed_written: 196..=196 },
    Case { name: "a flood of both is bounded", succeeded: 10_000, failed: 10_000, lines: 3, written: 198..=200, failed_written: 1..=200 },
];

#[test]
fn lines_are_bounded_and_failures_are_dropped_last() {
    for case in CASES {
        let start = Instant::now();
        let mut sampler = LogSampler::new(start, LIMITS);
        let mut dropped = 0;
        // The second window must behave like the first.
        for second in 0..2 {
            let (mut written, mut failed_written) = (0, 0);
            let now = start + Duration::from_secs(second);
            for n in 0..case.succeeded.max(case.failed) {
                if n < case.succeeded && sampler.admit(now, n, true, case.lines) {
                    written += case.lines;
                }
                if n < case.failed && sampler.admit(now, n, false, case.lines) {
                    written += case.lines;
                    failed_written += case.lines;
                }
            }
            assert!(case.written.contains(&written), "{}: {written}", case.name);
            assert!(
                case.failed_written.contains(&failed_written),
                "{}: {failed_written}",
                case.name
            );
            dropped += (case.succeeded + case.failed) * u64::from(case.lines) - u64::from(written);
        }
        assert!(sampler.admit(start + Duration::from_secs(2), 0, true, 1), "{}", case.name);
        assert_eq!(sampler.take_dropped(), dropped, "{}", case.name);
        assert_eq!(sampler.take_dropped(), 0, "{}: reported once", case.name);
    }
}
