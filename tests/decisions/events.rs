//! Tests that a stream split anywhere yields all complete events and nothing else.

use proptest::prelude::ProptestConfig;
use proptest::proptest;

use pistachiohall::gateway::events::EventTooLarge;
use pistachiohall::gateway::events::MAX_EVENT_BYTES;
use pistachiohall::gateway::events::Splitter;

/// Guards against dropping bytes beyond the limit, which would leave a gap in the event.
#[test]
fn an_endless_event_fails_and_memory_is_bounded() {
    let mut splitter = Splitter::default();
    let chunk = vec![b'x'; MAX_EVENT_BYTES - 8];
    assert_eq!(splitter.push(&chunk), Ok(None));
    assert_eq!(splitter.push(&chunk), Err(EventTooLarge));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_split_yields_the_same_events(count in 1_u64..20, splits in proptest::collection::vec(0_usize..400, 0..12), has_carriage_return in proptest::bool::ANY) {
        let end = if has_carriage_return { "\r\n" } else { "\n" };
        let expected: String = (1..=count).map(|id| format!("id: {id}{end}data: token{end}{end}")).collect();
        let partial = "id: 99\nda";
        let bytes = [expected.as_bytes(), partial.as_bytes()].concat();
        let mut splits: Vec<usize> = splits.into_iter().map(|split| split % bytes.len()).collect();
        splits.push(0);
        splits.push(bytes.len());
        splits.sort_unstable();
        let mut splitter = Splitter::default();
        let mut out = Vec::new();
        for pair in splits.windows(2) {
            if let Some(events) = splitter.push(&bytes[pair[0]..pair[1]]).unwrap() {
                assert!(events.ends_with(format!("{end}{end}").as_bytes()));
                out.extend_from_slice(&events);
            }
        }
        assert_eq!(String::from_utf8(out).unwrap(), expected);
        assert_eq!(splitter.last_id(), Some(count));
        assert!(!splitter.is_complete());
    }
}
