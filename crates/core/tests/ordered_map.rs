//! `OrderedMap` compared with `BTreeMap` as the model, clones included.

use cassiagw_core::ids::OrderedMap;
use proptest::prelude::*;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Insert(u16, u32),
    Remove(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..400_u16, any::<u32>()).prop_map(|(key, value)| Step::Insert(key, value)),
        2 => (0..400_u16).prop_map(Step::Remove),
    ]
}

proptest! {
    #[test]
    fn behaves_like_btree_map(
        steps in prop::collection::vec(step(), 0..1_200),
        from in 0..400_u16,
    ) {
        let mut map = OrderedMap::new();
        let mut model = BTreeMap::new();
        for (number, step) in steps.iter().enumerate() {
            let earlier = (number % 50 == 0).then(|| (map.clone(), model.clone()));
            match *step {
                Step::Insert(key, value) => {
                    prop_assert_eq!(map.insert(key, value), model.insert(key, value));
                }
                Step::Remove(key) => prop_assert_eq!(map.remove(&key), model.remove(&key)),
            }
            if let Some((shared, copied)) = earlier {
                prop_assert!(shared.iter().eq(copied.iter()), "a clone changed with its original");
            }
        }
        prop_assert_eq!(map.len(), model.len());
        prop_assert!(map.iter().eq(model.iter()));
        prop_assert!(map.iter_from(&from).eq(model.range(from..)));
        prop_assert!((0..400).all(|key| map.get(&key) == model.get(&key)));
    }
}
