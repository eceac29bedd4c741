//! The budget of calls: refused before anything is sent.

mod site;

use {
    proptest::prelude::*,
    site::{client_with, standin},
    sycamorerail_platform::{Effect, PlatformErrorKind, budget::CallBudget},
};

#[tokio::test]
async fn refused_unsent() {
    let standin = standin().await;
    let platform = client_with(&standin, 10_000, 3);
    let mut answered = 0;
    let mut refused = 0;
    for _ in 0..50 {
        match platform.get("/k").await {
            Ok(_) => answered += 1,
            Err(error) => {
                assert_eq!((error.kind, error.effect), (PlatformErrorKind::Budget, Effect::None));
                refused += 1;
            }
        }
    }
    assert!(refused > 0);
    assert_eq!(standin.calls().total(), answered);
}

proptest! {
    #[test]
    fn rate_kept(per_s in 1u32..500, pauses_ms in prop::collection::vec(0u64..50, 1..400)) {
        let mut budget = CallBudget::new(per_s, 0);
        let mut now_ms = 0;
        let mut taken = 0;
        for pause_ms in pauses_ms {
            now_ms += pause_ms;
            taken += u64::from(budget.take(now_ms, 0));
        }
        // One second's worth at once, and the rate from then on.
        prop_assert!(taken * 1_000 <= u64::from(per_s) * (1_000 + now_ms));
    }

    #[test]
    fn watches_charged(per_s in 2u32..100) {
        let mut budget = CallBudget::new(per_s, 0);
        let taken = (0..10_000).filter(|step| budget.take(step * 10, 1)).count() as u64;
        let without_watch = u64::from(per_s) + u64::from(per_s) * 100;
        prop_assert!(taken <= without_watch - 99);
    }
}
