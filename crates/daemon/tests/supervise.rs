//! Background tasks that panic.

use cassiagwd::supervise::supervise;
use std::{
    future::pending,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::sleep;

#[tokio::test]
async fn a_task_that_panics_is_started_anew() {
    let starts = Arc::new(AtomicUsize::new(0));
    let panics = Mutex::new(Vec::new());
    let task = || {
        let starts = starts.clone();
        async move {
            let earlier = starts.fetch_add(1, Ordering::SeqCst);
            sleep(Duration::from_millis(10)).await;
            assert!(earlier >= 2, "an odd value was read");
            pending().await
        }
    };
    let on_panic = |name| panics.lock().expect("no panic holds the lock").push(name);
    let third_start = async {
        while starts.load(Ordering::SeqCst) < 3 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        () = supervise("reader", on_panic, task) => panic!("it goes on"),
        () = third_start => {}
    }
    assert_eq!(starts.load(Ordering::SeqCst), 3);
    assert_eq!(*panics.lock().expect("no panic holds the lock"), ["reader", "reader"]);
}

#[tokio::test]
async fn a_task_that_ends_is_not_started_anew() {
    let starts = Arc::new(AtomicUsize::new(0));
    let task = || {
        let starts = starts.clone();
        async move {
            starts.fetch_add(1, Ordering::SeqCst);
        }
    };
    supervise("once", |_| {}, task).await;
    assert_eq!(starts.load(Ordering::SeqCst), 1);
}
