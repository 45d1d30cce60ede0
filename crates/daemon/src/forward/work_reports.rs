use super::{boot_clock::boot_time, forwarder::Forwarder};
use cassiagw_core::{
    forwarding::{BootTime, Recipients, ReportCause, ReportRoutes, report_interval},
    ids::DaemonId,
};
use cassiagw_rpc::{WorkReceipt, WorkReport};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time::sleep};

/// Interval between reports while there is nothing new to report.
const IDLE_INTERVAL: Duration = Duration::from_millis(700);

/// Minimum interval between reports, so that what is to be told soon is told together.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// A daemon that was sent a report, and whether it answered.
type Sent = (DaemonId, bool);

/// Reports the requests that this daemon has at engines to the other daemons, and passes on reports
/// from other availability zones in the own one, until the future is dropped.
pub async fn send_work_reports(fw: Arc<Forwarder>) {
    let mut routes = ReportRoutes::default();
    let mut calls: JoinSet<Sent> = JoinSet::new();
    let mut last = (Instant::now(), work_report(&fw));
    loop {
        let interval = report_interval(fw.state().daemon_count());
        let cause = tokio::select! {
            () = sleep(interval) => ReportCause::Interval,
            () = fw.relay_due.notified() => ReportCause::Relay,
            () = fw.report_due.notified() => ReportCause::News,
        };
        if cause == ReportCause::News {
            sleep(MIN_INTERVAL).await;
        }
        while let Some(sent) = calls.try_join_next() {
            if let Ok((daemon, false)) = sent {
                routes.on_unreachable(Instant::now(), daemon);
            }
        }
        fw.state().expire_former_members(Instant::now());
        fw.state().expire_missing_keys(Instant::now());
        let relayed = fw.state().take_reports_to_relay(Instant::now());
        let report = WorkReport { is_urgent: cause.is_urgent(), ..work_report(&fw) };
        let is_idle = cause != ReportCause::News
            && report.work.is_empty()
            && report.places.is_empty()
            && report.position == last.1.position
            && report.limits.is_empty()
            && report.leaving.is_empty()
            && !report.quarantine.has_crashes()
            && report.rollouts.is_empty();
        if is_idle && relayed.is_empty() && last.0.elapsed() < IDLE_INTERVAL {
            continue;
        }
        send(&fw, &routes, &mut calls, &report, &relayed);
        last = (Instant::now(), report);
    }
}

fn send(
    fw: &Arc<Forwarder>,
    routes: &ReportRoutes,
    calls: &mut JoinSet<Sent>,
    report: &WorkReport,
    relayed: &[WorkReport],
) {
    let Recipients { direct, relays } = {
        let cfg = fw.cfg();
        let state = fw.state();
        let members = state.members.iter().map(|(name, member)| (name, &member.zone));
        routes.recipients(Instant::now(), (state.name(), &cfg.zone), members)
    };
    for daemon in direct {
        match relayed.is_empty() {
            true => drop(calls.spawn(send_own(fw.clone(), daemon, report.clone()))),
            false => {
                let reports = relayed.iter().chain([report]).cloned().collect();
                calls.spawn(send_relayed(fw.clone(), daemon, reports));
            }
        }
    }
    for daemon in relays {
        calls.spawn(send_own(fw.clone(), daemon, report.clone()));
    }
}

async fn send_own(fw: Arc<Forwarder>, to: DaemonId, report: WorkReport) -> Sent {
    let Some(address) = fw.state().peer_address(&to) else { return (to, false) };
    let called_at = boot_time();
    let receipt = fw.peers.call(address, async |peer, cx| peer.work(cx, report).await).await;
    record_receipt(&fw, called_at, to, receipt)
}

async fn send_relayed(fw: Arc<Forwarder>, to: DaemonId, reports: Vec<WorkReport>) -> Sent {
    let Some(address) = fw.state().peer_address(&to) else { return (to, false) };
    let called_at = boot_time();
    let receipt =
        fw.peers.call(address, async |peer, cx| peer.relayed_work(cx, reports).await).await;
    record_receipt(&fw, called_at, to, receipt)
}

fn record_receipt(
    fw: &Forwarder,
    called_at: BootTime,
    from: DaemonId,
    receipt: Option<WorkReceipt>,
) -> Sent {
    let has_answered = receipt.is_some();
    match receipt {
        Some(receipt) => {
            fw.state().on_work_receipt(called_at, &from, &receipt);
            fw.receipts.send_modify(|receipts| *receipts += 1);
        }
        None => fw.state().on_unanswered_report(&from),
    }
    (from, has_answered)
}

fn work_report(fw: &Forwarder) -> WorkReport {
    let mut state = fw.state();
    WorkReport {
        from: state.name().clone(),
        position: state.view.as_of(),
        work: state.endpoints.own_work(),
        places: state.endpoints.take_new_part_locations(),
        limits: state.endpoints.limit_statements(Instant::now()),
        leaving: state.endpoints.leaving_statements(Instant::now()),
        quarantine: state.quarantine.report(Instant::now()),
        rollouts: state.rollout_statements(),
        is_urgent: false,
        age: Duration::ZERO,
    }
}
