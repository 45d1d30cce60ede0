use super::log_line::LogLine;
use crate::{CliError, ExitStatus};
use std::{
    collections::BTreeSet,
    fmt::{self, Display, Formatter},
    io::{self, BufRead},
    time::Duration,
};

/// Period before the end of a request whose log lines are considered as context.
const CONTEXT_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of context lines shown; the latest are kept.
const MAX_CONTEXT_LINES: usize = 20;
/// Event that is logged once, when a request ends.
const REQUEST_END_EVENT: &str = "request";

/// Log lines about one request.
#[derive(Clone, Debug, Default)]
pub struct Explanation {
    /// Decisions about the request in order of time, ending with its `request` line if logged.
    pub decisions: Vec<LogLine>,
    /// Lines that the same daemon logged shortly before the end about the endpoints that the
    /// request was sent to, or about no particular endpoint (settings, weights, the store).
    pub context: Vec<LogLine>,
}

/// Prints how a request ended and why, from log lines on standard input.
///
/// # Errors
/// [`CliError::Usage`] if standard input cannot be read or no line has the request ID.
pub fn explain(id: &str) -> Result<ExitStatus, CliError> {
    let lines = io::stdin().lock().lines().collect::<Result<Vec<_>, _>>();
    let lines = lines.map_err(|error| CliError::Usage(format!("standard input: {error}")))?;
    let explanation = Explanation::new(id, lines.iter().map(String::as_str))
        .ok_or_else(|| CliError::Usage(format!("no log line has request id {id}")))?;
    print!("{explanation}");
    Ok(ExitStatus::Ok)
}

impl Explanation {
    /// Collects the lines about a request from the logs of any number of daemons; `None` if no
    /// line has the request ID.
    pub fn new<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Option<Self> {
        let lines = lines.filter_map(LogLine::parse).collect::<Vec<_>>();
        let (mut decisions, others): (Vec<_>, Vec<_>) =
            lines.into_iter().partition(|line| line.get("id") == Some(id));
        decisions
            .sort_by_key(|line| (line.event == REQUEST_END_EVENT, line.millis("at_ms"), line.at));
        let end = decisions.last()?;
        let endpoints = decisions.iter().filter_map(|line| line.get("endpoint"));
        let endpoints = endpoints.collect::<BTreeSet<_>>();
        let context = others.into_iter().filter(|line| is_context(line, end, &endpoints));
        let mut context = context.collect::<Vec<_>>();
        context.sort_by_key(|line| line.at);
        context.drain(..context.len().saturating_sub(MAX_CONTEXT_LINES));
        Some(Self { decisions, context })
    }

    /// Summarizes in one line how the request ended: outcome, status, cause, last failed attempt
    /// and, for a late request, a latency breakdown.
    pub fn cause(&self) -> String {
        let end = self.decisions.last().expect("an explanation has at least one decision");
        let field = |key| end.get(key).unwrap_or("unknown");
        if end.event != REQUEST_END_EVENT {
            return "end of request not logged: the daemon stopped or the line was dropped"
                .to_owned();
        }
        let last_failed = self.decisions.iter().rev().find(|line| line.get("fault").is_some());
        let failure = last_failed.map(|line| {
            let attempt_field = |key| line.get(key).unwrap_or("unknown");
            format!(
                "; last failed attempt: {} at {}, execution state {}",
                attempt_field("fault"),
                attempt_field("endpoint"),
                attempt_field("proof")
            )
        });
        let latency = (end.get("late") == Some("true")).then(|| self.latency_breakdown()).flatten();
        format!(
            "{} with status {}: {}{}{}",
            field("outcome"),
            field("status"),
            field("cause"),
            failure.unwrap_or_default(),
            latency.unwrap_or_default()
        )
    }

    /// Splits the time to the first response bytes into the time before the last placement that
    /// preceded them and the time after it; `None` if the caller got no bytes or no such placement
    /// was logged.
    fn latency_breakdown(&self) -> Option<String> {
        let end = self.decisions.last()?;
        let first = end.millis("first_ms")?;
        let placements = self.decisions.iter().filter(|line| line.event == "request_placed");
        let placements =
            placements.filter_map(|line| Some((line.millis("at_ms")?, line.get("endpoint")?)));
        let (at, endpoint) = placements.rev().find(|(at, _)| *at <= first)?;
        let pause = end.millis("longest_pause_ms").unwrap_or_default();
        Some(format!(
            "; late: placed after {at} ms, first bytes from {endpoint} {} ms after that, \
             longest pause {pause} ms",
            first - at
        ))
    }
}

/// Whether a line is context of a request: it has no request ID, and the same daemon logged it
/// within [`CONTEXT_WINDOW`] before the end, about one of these endpoints or about none.
fn is_context(line: &LogLine, end: &LogLine, endpoints: &BTreeSet<&str>) -> bool {
    let is_recent = match (line.at, end.at) {
        (Some(at), Some(end)) => at <= end && end <= at + CONTEXT_WINDOW,
        _ => false,
    };
    let subject = line.get("endpoint").or_else(|| line.get("engine"));
    let is_related = subject.is_none_or(|subject| endpoints.contains(subject));
    is_recent && is_related && line.get("id").is_none() && line.daemon() == end.daemon()
}

impl Display for Explanation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for line in &self.context {
            writeln!(f, "   before  {}{}", line.event, Fields(line))?;
        }
        for line in &self.decisions {
            let at = line.millis("at_ms").unwrap_or_default();
            writeln!(f, "{at:>6} ms  {}{}", line.event, Fields(line))?;
        }
        writeln!(f, "cause: {}", self.cause())
    }
}

/// Formats the fields of a line, without those that are shown elsewhere.
struct Fields<'a>(&'a LogLine);

impl Display for Fields<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut shown =
            self.0.fields.iter().filter(|field| !["id", "at_ms"].contains(&&*field.key));
        shown.try_for_each(|field| write!(f, " {}={}", field.key, field.value))
    }
}
