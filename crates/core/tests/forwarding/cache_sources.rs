use super::support::Fleet;
use cassiagw_core::{
    forwarding::{CacheSource, CacheSources},
    ids::{DaemonId, FastSet, ServiceId},
};
use std::time::{Duration, Instant};

fn sources(fleet: &Fleet, own: &DaemonId) -> CacheSources {
    let mut sources = CacheSources::default();
    sources.set_members((own, fleet.zone(own)), fleet.others(own));
    sources
}

fn stores() -> Vec<ServiceId> {
    (0..49).map(|number| format!("cache-{number}").into()).collect()
}

#[test]
fn a_store_is_followed_by_few_daemons_and_known_to_all() {
    struct Case {
        zones: usize,
        daemons: usize,
        max_followers: usize,
    }
    for case in [
        Case { zones: 3, daemons: 4, max_followers: 4 },
        Case { zones: 3, daemons: 12, max_followers: 12 },
        Case { zones: 3, daemons: 13, max_followers: 4 },
        Case { zones: 5, daemons: 40, max_followers: 6 },
        Case { zones: 22, daemons: 580, max_followers: 7 },
    ] {
        let fleet = Fleet::new(case.zones, case.daemons);
        let now = Instant::now();
        let all: Vec<_> = fleet.daemons().map(|own| (own, sources(&fleet, own))).collect();
        for store in stores().iter().take(6) {
            let sources = all.iter().map(|(own, sources)| (*own, sources.source(now, store)));
            let (direct, relayed): (Vec<_>, Vec<_>) =
                sources.partition(|(_, source)| *source == CacheSource::Store);
            let direct: FastSet<&DaemonId> = direct.into_iter().map(|(own, _)| own).collect();
            let followers = direct.len();
            assert!((1..=case.max_followers).contains(&followers), "{store}: {followers}");
            for (daemon, source) in relayed {
                let CacheSource::Daemon(from) = source else { unreachable!() };
                assert!(direct.contains(&from), "{daemon} asks {from}, which must ask another");
            }
            let responsible = all.iter().filter(|(_, sources)| sources.is_responsible(store));
            let responsible: Vec<&DaemonId> = responsible.map(|(own, _)| *own).collect();
            assert_eq!(responsible.len(), 1);
            assert!(direct.contains(responsible[0]), "who frees parts must follow the store");
        }
    }
}

#[test]
fn failed_sources_are_passed_over() {
    let fleet = Fleet::new(5, 40);
    let now = Instant::now();
    for store in stores() {
        let own = fleet.daemons().next().expect("a daemon");
        let mut sources = sources(&fleet, own);
        let CacheSource::Daemon(first) = sources.source(now, &store) else { continue };
        sources.on_unreachable(now, first.clone());
        let CacheSource::Daemon(second) = sources.source(now, &store) else { continue };
        assert_ne!(first, second);
        sources.on_unreachable(now, second.clone());
        assert_eq!(sources.source(now, &store), CacheSource::Store, "two did not answer");
        let later = now + Duration::from_secs(5);
        assert_eq!(sources.source(later, &store), CacheSource::Daemon(first.clone()));
        sources.on_ignorant(later, first, store.clone());
        sources.on_ignorant(later, second.clone(), store.clone());
        let source = sources.source(later, &store);
        assert_eq!(source, CacheSource::Daemon(second), "the store itself is lost");
    }
}
