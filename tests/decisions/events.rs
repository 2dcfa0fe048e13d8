//! Tests that a stream split anywhere yields all complete events and nothing else.

use proptest::prelude::ProptestConfig;
use proptest::proptest;

use pistachiohall::gateway::events::Fault;
use pistachiohall::gateway::events::MAX_EVENT_BYTES;
use pistachiohall::gateway::events::Splitter;
use rstest::rstest;

/// Guards against dropping bytes beyond the limit, which would leave a gap in the event.
#[test]
fn an_endless_event_fails_and_memory_is_bounded() {
    let mut splitter = Splitter::default();
    let chunk = vec![b'x'; MAX_EVENT_BYTES - 8];
    assert_eq!(splitter.push(&chunk), Ok(None));
    assert_eq!(splitter.push(&chunk), Err(Fault::TooLarge));
}

/// Guards against an error among the events of a stream: nothing is passed on from the first bytes that
/// cannot continue it.
#[rstest]
#[case::a_head(Splitter::default(), "HTTP/1.1 500 Status\r\n\r\n", Fault::Head)]
#[case::an_event_once_more(Splitter::default(), "id: 7\n\n", Fault::Order(7, 7))]
#[case::an_event_of_before(Splitter::after(Some(6)), "id: 6\n\n", Fault::Order(6, 7))]
#[case::no_identifier(Splitter::continuing(None), "data: x\n\n", Fault::Unidentified)]
fn nothing_follows_what_cannot_continue_a_stream(
    #[case] mut splitter: Splitter,
    #[case] bytes: &str,
    #[case] fault: Fault,
    #[values(true, false)] is_in_one_piece: bool,
) {
    let valid = "id: 7\ndata: a\n\n";
    let first = match is_in_one_piece {
        true => format!("{valid}{bytes}"),
        false => valid.to_owned(),
    };
    assert_eq!(splitter.push(first.as_bytes()), Ok(Some(valid.into())));
    assert_eq!(splitter.push(bytes.as_bytes()), Err(fault));
    assert_eq!(splitter.push(b"id: 8\n\n"), Err(fault));
    assert_eq!(splitter.last_id(), Some(7));
    assert!(!splitter.is_complete());
}

/// Guards against streams that are broken off although nothing is wrong: comments and other fields come before,
/// between and after identifiers.
#[test]
fn comments_and_other_fields_continue_a_stream() {
    let mut splitter = Splitter::continuing(Some(6));
    let events = ": still here\n\nversions: 3\nid: 7\ndata: HTTP/1.1 500\n\n";
    assert_eq!(splitter.push(events.as_bytes()), Ok(Some(events.into())));
    assert_eq!(splitter.last_id(), Some(7));
    let mut splitter = Splitter::default();
    let events = "data: a\n\nid: 7\ndata: b\n\ndata: c\n\n";
    assert_eq!(splitter.push(events.as_bytes()), Ok(Some(events.into())));
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
