use cassiagw_core::forwarding::{LeaseStep, OrderLease};
use proptest::prelude::*;
use std::time::Duration;

const LEASE: Duration = Duration::from_millis(2_400);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_lease_is_acquired_renewed_and_lost() {
    let mut holder = OrderLease::new(LEASE);
    assert_eq!(holder.step(ms(0), false), LeaseStep::Acquire);
    assert_eq!(holder.fence(ms(0)), None);
    holder.on_granted(ms(10), 7);
    assert_eq!(holder.fence(ms(20)), Some(7));
    assert_eq!(holder.step(ms(20), false), LeaseStep::Wait(ms(610)));
    assert_eq!(holder.step(ms(610), false), LeaseStep::Renew);
    holder.on_unanswered(ms(700));
    assert_eq!(holder.fence(ms(1_209)), Some(7));
    assert_eq!(holder.fence(ms(1_210)), None, "no order without a recent renewal");
    assert!(holder.is_held());
    holder.step(ms(2_410), false);
    assert!(!holder.is_held(), "the lease has expired");
    assert!(matches!(holder.step(ms(5_000), true), LeaseStep::Wait(_)));
    assert_eq!(holder.step(ms(5_000), false), LeaseStep::Acquire);
}

#[test]
fn after_the_store_came_back_older_only_the_holder_acquires_the_lease_at_once() {
    struct Case {
        name: &'static str,
        /// Last renewal before the loss is heard of, in milliseconds.
        renewed_ms: Option<u64>,
        first_ms: u64,
    }
    let cases = [
        Case { name: "holder", renewed_ms: Some(8_000), first_ms: 10_000 },
        Case { name: "former holder", renewed_ms: Some(7_600), first_ms: 12_400 },
        Case { name: "another daemon", renewed_ms: None, first_ms: 12_400 },
    ];
    for Case { name, renewed_ms, first_ms } in cases {
        let mut lease = OrderLease::new(LEASE);
        if let Some(at) = renewed_ms {
            lease.on_granted(ms(at), 7);
        }
        lease.on_store_restored(ms(10_000));
        assert_eq!(lease.fence(ms(10_000)), None, "{name}");
        let first = (10_000..20_000).find(|at| lease.step(ms(*at), false) == LeaseStep::Acquire);
        assert_eq!(first, Some(first_ms), "{name}");
    }
}

proptest! {
    /// Daemons that are suspended, or whose renewals are lost, never give orders at the same time,
    /// and a later holder has a higher fencing token.
    #[test]
    fn two_holders_never_order_at_once(
        steps in prop::collection::vec((0..3_usize, 0..900_u64, any::<bool>()), 1..200),
    ) {
        let mut holders = vec![OrderLease::new(LEASE); 3];
        // State of the store: the lease holder with the expiry, and the last fencing token.
        let mut lease: Option<(usize, Duration)> = None;
        let mut fence = 0;
        let mut now = Duration::ZERO;
        let mut highest = 0;
        for (index, pause_ms, answers) in steps {
            now += ms(pause_ms);
            lease = lease.filter(|(_, until)| now < *until);
            let is_taken = lease.is_some_and(|(other, _)| other != index);
            let holder = &mut holders[index];
            match holder.step(now, is_taken) {
                LeaseStep::Acquire if lease.is_none() => {
                    fence += 1;
                    lease = Some((index, now + LEASE));
                    if answers {
                        holder.on_granted(now, fence);
                    } else {
                        holder.on_lost(now);
                    }
                }
                LeaseStep::Acquire => holder.on_lost(now),
                LeaseStep::Renew if lease.is_some_and(|(other, _)| other == index) => {
                    lease = Some((index, now + LEASE));
                    if answers {
                        holder.on_granted(now, holder.fence(now).unwrap_or(fence));
                    } else {
                        holder.on_unanswered(now);
                    }
                }
                LeaseStep::Renew => holder.on_lost(now),
                LeaseStep::Wait(_) => {}
            }
            let ordering: Vec<u64> = holders.iter().filter_map(|holder| holder.fence(now)).collect();
            prop_assert!(ordering.len() <= 1, "{ordering:?}");
            if let Some(fence) = ordering.first() {
                prop_assert!(*fence >= highest);
                highest = *fence;
            }
        }
    }
}
