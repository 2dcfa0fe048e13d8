//! Events cut anywhere come out whole, and only whole ones.

use proptest::prelude::ProptestConfig;
use proptest::proptest;

use pistachiohall::gateway::events::EVENT_BYTES;
use pistachiohall::gateway::events::EventTooLarge;
use pistachiohall::gateway::events::Splitter;

/// Guards against an event with a hole where bytes beyond the limit were thrown away.
#[test]
fn an_event_without_end_fails_and_holds_a_bounded_amount() {
    let mut splitter = Splitter::default();
    let piece = vec![b'x'; EVENT_BYTES - 8];
    assert_eq!(splitter.push(&piece), Ok(None));
    assert_eq!(splitter.push(&piece), Err(EventTooLarge));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_cuts_give_the_same_events(count in 1_u64..20, cuts in proptest::collection::vec(0_usize..400, 0..12), carriage in proptest::bool::ANY) {
        let end = if carriage { "\r\n" } else { "\n" };
        let whole: String = (1..=count).map(|id| format!("id: {id}{end}data: token{end}{end}")).collect();
        let partial = "id: 99\nda";
        let bytes = [whole.as_bytes(), partial.as_bytes()].concat();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut % bytes.len()).collect();
        cuts.push(0);
        cuts.push(bytes.len());
        cuts.sort_unstable();
        let mut splitter = Splitter::default();
        let mut out = Vec::new();
        for pair in cuts.windows(2) {
            if let Some(events) = splitter.push(&bytes[pair[0]..pair[1]]).unwrap() {
                assert!(events.ends_with(format!("{end}{end}").as_bytes()));
                out.extend_from_slice(&events);
            }
        }
        assert_eq!(String::from_utf8(out).unwrap(), whole);
        assert_eq!(splitter.last_id(), Some(count));
        assert!(!splitter.is_complete());
    }
}
