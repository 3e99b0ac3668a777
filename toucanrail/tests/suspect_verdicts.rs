//! Verdicts on requests under which servers end: what counts, what clears, and what is bounded.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::holds::{HoldReply, HoldScope, HoldTable};
use toucanrail::statements::ServerProcess;
use toucanrail::suspects::{
    self, EndNote, HeldSuspect, RunStage, SuspectKey, SuspectNote, SuspectTable,
};

const KEY: SuspectKey = SuspectKey::Content(7);
const NOW: Duration = Duration::from_secs(100);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A note of a server that ended just now, `sent_ago` after it had got the request.
fn note(server: u64, sent_ago: Duration) -> EndNote {
    EndNote {
        process: ServerProcess { id: Arc::from(format!("i-{server}")), started_at: 1 },
        content: server,
        stage: RunStage::Waiting,
        sent_ago,
        ended_ago: Duration::ZERO,
        served_ago: Some(Duration::ZERO),
        suspects: vec![SuspectNote { key: KEY, succeeded_ago: None }],
    }
}

/// Records ends that follow one another every 100 ms. Returns the time of the last one.
fn record_chain(table: &mut SuspectTable, count: u64) -> Duration {
    let mut at = NOW;
    for server in 0..count {
        at = NOW + millis(100) * server as u32;
        table.record_end(&note(server, millis(50)), at);
    }
    at
}

/// Three ends one after the other are a verdict, two are none.
#[test]
fn successive_ends() {
    let mut table = SuspectTable::new();
    let at = record_chain(&mut table, 2);
    assert!(!table.is_held(KEY, at));
    let at = record_chain(&mut table, 3);
    assert!(table.is_held(KEY, at));
}

/// Servers that end together, in a power loss say, are one reason and no verdict.
#[test]
fn simultaneous_ends() {
    let mut table = SuspectTable::new();
    for server in 0..20 {
        table.record_end(&note(server, millis(500)), NOW + millis(server));
    }
    assert!(!table.is_held(KEY, NOW + millis(20)));
}

/// Several requests with the same content report the end of one server, the last one of them sent
/// after the end before.
#[test]
fn shared_end() {
    let mut table = SuspectTable::new();
    for server in 0..3 {
        let at = NOW + millis(100) * server as u32;
        table.record_end(&note(server, millis(5_000)), at);
        table.record_end(&note(server, millis(50)), at);
        table.record_end(&note(server, millis(50)), at);
    }
    assert!(table.is_held(KEY, NOW + millis(200)));
    let mut table = SuspectTable::new();
    for _ in 0..5 {
        table.record_end(&note(1, millis(50)), NOW);
    }
    assert!(!table.is_held(KEY, NOW));
}

/// A success clears the ends before it, whether it is told with a note or later.
#[test]
fn success_between() {
    let mut table = SuspectTable::new();
    let at = record_chain(&mut table, 2) + millis(200);
    let mut third = note(9, millis(50));
    third.suspects[0].succeeded_ago = Some(millis(60));
    assert!(!table.record_end(&third, at));
    let mut table = SuspectTable::new();
    let at = record_chain(&mut table, 3);
    let version = table.version();
    assert!(table.record_success(KEY, millis(150), at));
    assert!(!table.is_held(KEY, at) && table.version() > version);
}

/// A success before all ends clears nothing.
#[test]
fn earlier_success() {
    let mut table = SuspectTable::new();
    let at = record_chain(&mut table, 3);
    assert!(!table.record_success(KEY, millis(10_000), at));
    assert!(table.is_held(KEY, at));
}

/// A verdict lapses by itself.
#[test]
fn lapsed_verdict() {
    let mut table = SuspectTable::new();
    let at = record_chain(&mut table, 3) + KEY.evidence_time();
    assert!(!table.is_held(KEY, at) && table.held(at).is_empty());
}

/// Callers that invent contents fill no memory, and do not wash a verdict out.
#[test]
fn invented_contents() {
    let mut table = SuspectTable::new();
    let at = record_chain(&mut table, 3);
    for number in 0..40_000 {
        let mut other = note(number, millis(50));
        other.suspects[0].key = SuspectKey::Content(1_000 + number);
        table.record_end(&other, at);
    }
    assert!(table.len() <= 8_193, "{}", table.len());
    assert!(table.is_held(KEY, at));
}

fn held_suspect(key: SuspectKey, with: &[SuspectKey]) -> HeldSuspect {
    HeldSuspect {
        key,
        with: with.to_vec(),
        since: millis(900),
        starts_in: Duration::ZERO,
        left: millis(20_000),
        trial_in: millis(15_000),
    }
}

fn reply(process: u64, held: &[SuspectKey]) -> HoldReply {
    let held = held.iter().map(|key| held_suspect(*key, &[]));
    HoldReply { process, version: 1, held: held.collect() }
}

/// What an entry has seen itself decides only as far as no relay has been told of it, even if relays
/// have told what they held back before.
#[test]
fn untold_ends() {
    let mut table = HoldTable::default();
    table.apply_reply(&Arc::from("side-1"), &reply(1, &[]), NOW);
    for server in 0..3 {
        table.record_end(&note(server, millis(50)), NOW + millis(100) * server as u32);
    }
    assert!(table.find_hold(&[KEY], HoldScope::New, NOW + millis(200)).is_some());
    table.record_told(NOW + millis(200));
    assert!(table.find_hold(&[KEY], HoldScope::New, NOW + millis(300)).is_none());
    table.record_end(&note(9, millis(50)), NOW + millis(400));
    assert!(table.find_hold(&[KEY], HoldScope::New, NOW + millis(400)).is_some());
}

/// One of several relays that holds a request back is enough: another one may have lost its notes.
#[test]
fn restarted_relay() {
    let mut table = HoldTable::default();
    table.apply_reply(&Arc::from("side-1"), &reply(1, &[KEY]), NOW);
    table.apply_reply(&Arc::from("side-2"), &reply(2, &[]), NOW);
    assert!(table.find_hold(&[KEY], HoldScope::New, NOW).is_some());
    table.apply_reply(&Arc::from("side-1"), &reply(1, &[]), NOW + millis(10));
    assert!(table.find_hold(&[KEY], HoldScope::New, NOW + millis(10)).is_none());
}

const PARTS: [SuspectKey; 3] = [SuspectKey::Part(1), SuspectKey::Part(2), SuspectKey::Part(3)];
/// Time in which entries may object to a verdict on a part.
const OBJECTION_TIME: Duration = millis(500);

/// A note of a request with parts that was sent 50 ms before its server ended.
fn part_note(server: u64, stage: RunStage, parts: &[SuspectKey]) -> EndNote {
    let suspects = parts.iter().map(|key| SuspectNote { key: *key, succeeded_ago: None });
    EndNote { stage, suspects: suspects.collect(), ..note(server, millis(50)) }
}

/// Records the ends of servers, one each 100 ms, under these requests each time.
fn record_part_ends(
    table: &mut SuspectTable,
    count: u64,
    requests: &[(RunStage, &[SuspectKey])],
) -> Duration {
    let mut at = NOW;
    for server in 0..count {
        at = NOW + millis(100) * server as u32;
        for (stage, parts) in requests {
            table.record_end(&part_note(server, *stage, parts), at);
        }
    }
    at
}

/// A verdict on a part leaves entries time to object, then takes effect; of a part whose requests
/// waited while another's had begun it is none.
#[test]
fn begun_part() {
    let requests: [(RunStage, &[SuspectKey]); 2] =
        [(RunStage::Waiting, &PARTS[1..2]), (RunStage::Writing, &PARTS[..1])];
    let mut table = SuspectTable::new();
    let at = record_part_ends(&mut table, 5, &requests);
    assert!(table.is_held(PARTS[0], at + OBJECTION_TIME));
    assert!(!table.is_held(PARTS[1], at + OBJECTION_TIME));
    let mut table = SuspectTable::new();
    let at = record_part_ends(&mut table, 3, &requests);
    assert!(!table.is_held(PARTS[0], at) && table.held(at).len() == 1);
    assert!(table.record_success(PARTS[0], Duration::ZERO, at));
    assert!(!table.is_held(PARTS[0], at + OBJECTION_TIME));
}

/// Where no response had begun, parts of waiting requests count.
#[test]
fn waiting_part() {
    let mut table = SuspectTable::new();
    let at = record_part_ends(&mut table, 3, &[(RunStage::Waiting, &PARTS[..1])]);
    assert!(table.is_held(PARTS[0], at + OBJECTION_TIME));
}

/// Parts that stood in all the same ends are held back together: a request with one of them passes,
/// until a server ends under it too.
#[test]
fn same_ends() {
    let mut table = SuspectTable::new();
    let at = record_part_ends(&mut table, 4, &[(RunStage::Writing, &PARTS[..2])]);
    let find = |table: &SuspectTable, parts: &[SuspectKey], at: Duration| {
        let mut holds = HoldTable::default();
        let reply = HoldReply { process: 1, version: 1, held: table.held(at) };
        holds.apply_reply(&Arc::from("side-1"), &reply, at);
        holds.find_hold(parts, HoldScope::New, at + OBJECTION_TIME)
    };
    assert!(find(&table, &PARTS[..2], at).is_some());
    assert!(find(&table, &PARTS[..1], at).is_none() && find(&table, &PARTS[1..2], at).is_none());
    let version = table.version();
    table.record_end(&part_note(9, RunStage::Writing, &PARTS[..1]), at + millis(100));
    let at = at + millis(100);
    assert!(table.version() > version);
    assert!(find(&table, &PARTS[..1], at).is_some() && find(&table, &PARTS[1..2], at).is_none());
}

/// Trials of a part are far apart, and further with each; one that succeeds ends the verdict.
#[test]
fn rare_trials() {
    let mut table = SuspectTable::new();
    let start = record_part_ends(&mut table, 5, &[(RunStage::Writing, &PARTS[..1])]);
    let mut trials = Vec::new();
    for second in 0..120 {
        let at = start + Duration::from_secs(second);
        if table.grant_trial(&PARTS[..1], at) {
            trials.push(second);
            table.record_end(
                &part_note(100 + second, RunStage::Writing, &PARTS[..1]),
                at + millis(60),
            );
        }
        assert!(second == 0 || table.is_held(PARTS[0], at), "after {second} s");
    }
    // The first one may be made within the window in which requests may still be sent.
    assert!(trials.len() <= 4 && trials[0] <= 3 && trials[1] >= 15, "{trials:?}");
    let at = start + Duration::from_secs(130);
    assert!(table.record_success(PARTS[0], Duration::ZERO, at) && !table.is_held(PARTS[0], at));
}

/// A common part stands in all ends, and succeeds between them at other entries.
#[test]
fn common_part() {
    let mut table = SuspectTable::new();
    for server in 0..30 {
        let at = NOW + millis(100) * server as u32;
        table.record_end(&part_note(server, RunStage::Writing, &PARTS[..2]), at);
        if table.held(at).iter().any(|suspect| suspect.key == PARTS[1]) {
            table.record_success(PARTS[1], millis(20), at + millis(30));
        }
        assert!(!table.is_held(PARTS[1], at + millis(99)), "after {server} ends");
    }
    assert!(table.is_held(PARTS[0], NOW + millis(3_500)));
}

/// One request ends servers again and again, and nothing else comes with its parts: the request is
/// held back, the parts are not.
#[test]
fn one_content() {
    let mut table = SuspectTable::new();
    for server in 0..8 {
        let mut end = part_note(server, RunStage::Writing, &[KEY, PARTS[0]]);
        end.content = 7;
        table.record_end(&end, NOW + millis(100) * server as u32);
    }
    let at = NOW + Duration::from_secs(2);
    assert!(table.is_held(KEY, at) && !table.is_held(PARTS[0], at));
}

/// All servers end together, three times within seconds, with requests of a rare part at one of them.
#[test]
fn repeated_power_losses() {
    let mut table = SuspectTable::new();
    for round in 0..5 {
        let at = NOW + Duration::from_secs(3) * round as u32;
        for server in 0..6 {
            let parts = if server == round { &PARTS[..1] } else { &PARTS[1..2] };
            let end = part_note(round * 100 + server, RunStage::Waiting, parts);
            table.record_end(&end, at + millis(server));
        }
        assert!(!table.is_held(PARTS[0], at + Duration::from_secs(2)), "round {round}");
    }
}

/// A request under which a server has just ended is not repeated from the verdict on.
#[test]
fn suspect_repeat() {
    let mut table = SuspectTable::new();
    let at = record_part_ends(&mut table, 3, &[(RunStage::Writing, &PARTS[..1])]);
    let mut holds = HoldTable::default();
    let reply = HoldReply { process: 1, version: 1, held: table.held(at) };
    holds.apply_reply(&Arc::from("side-1"), &reply, at);
    assert!(holds.find_hold(&PARTS[..1], HoldScope::Repeat, at).is_some());
    assert!(holds.find_hold(&PARTS[..1], HoldScope::New, at).is_none());
}

/// Where nothing else is served, what is common to all requests stands in all ends, and is held back
/// only when there are many.
#[test]
fn nothing_served() {
    let mut table = SuspectTable::new();
    for server in 0..8 {
        let at = NOW + millis(100) * server as u32;
        assert!(!table.is_held(PARTS[0], at + OBJECTION_TIME), "after {server} ends");
        let mut end = part_note(server, RunStage::Writing, &PARTS[..1]);
        end.served_ago = Some(Duration::from_secs(20));
        table.record_end(&end, at);
    }
    assert!(table.is_held(PARTS[0], NOW + Duration::from_secs(2)));
}

/// A request with another suspect proves nothing of the one that is held back, and is not tried.
#[test]
fn clean_trials() {
    let mut table = SuspectTable::new();
    let at = record_part_ends(&mut table, 3, &[(RunStage::Writing, &PARTS[..1])]);
    table.record_end(&part_note(9, RunStage::Writing, &PARTS[1..2]), at);
    let at = at + Duration::from_secs(5);
    assert!(!table.grant_trial(&PARTS[..2], at) && !table.grant_trial(&PARTS[1..2], at));
    assert!(table.grant_trial(&[PARTS[0], PARTS[2]], at));
}

proptest! {
    /// Whatever the order and the delays of notes, fewer than three servers make no verdict, and a
    /// request that is sent again after each end that was told is held back at the third.
    #[test]
    fn told_ends(delays in prop::collection::vec(0_u64..400, 3..12), lives in 1_u64..300) {
        let mut table = SuspectTable::new();
        let mut now = NOW;
        for (server, delay) in delays.iter().enumerate() {
            prop_assert_eq!(table.is_held(KEY, now), server >= suspects::MAX_ENDS);
            let sent_at = now;
            now += millis(lives + delay);
            table.record_end(&note(server as u64, now.saturating_sub(sent_at)), now);
        }
    }
}

/// Servers end before they respond to a harmful request, and before responses to sound ones that have
/// begun go on. The part that is common to both succeeded before and must not be held back alone.
#[test]
fn ends_before_response() {
    let (common, harmful) = (PARTS[1], PARTS[0]);
    let mut table = SuspectTable::new();
    let mut at = NOW;
    for server in 0..10 {
        at = NOW + millis(40) * server as u32;
        let mut sound = part_note(server, RunStage::Writing, &[common]);
        sound.content = 1_000 + server;
        sound.sent_ago = millis(20);
        sound.served_ago = Some(millis(500));
        sound.suspects[0].succeeded_ago = Some(at.saturating_sub(NOW) + millis(500));
        table.record_end(&sound, at);
        let mut note = part_note(server, RunStage::Waiting, &[harmful, common]);
        note.sent_ago = millis(80);
        note.served_ago = sound.served_ago;
        note.suspects[1].succeeded_ago = sound.suspects[0].succeeded_ago;
        table.record_end(&note, at);
    }
    let mut holds = HoldTable::default();
    let reply = HoldReply { process: 1, version: 1, held: table.held(at) };
    holds.apply_reply(&Arc::from("side-1"), &reply, at);
    let at = at + OBJECTION_TIME;
    assert!(holds.find_hold(&[harmful, common], HoldScope::New, at).is_some());
    assert!(holds.find_hold(&[common], HoldScope::New, at).is_none());
}

/// All servers are down when a trial is due. It must not count as made, or a wrong verdict lasts for
/// as long as the next one takes.
#[test]
fn unused_trial() {
    let mut table = SuspectTable::new();
    let start = record_part_ends(&mut table, 5, &[(RunStage::Writing, &PARTS[..1])]);
    let at = start + Duration::from_secs(3);
    assert!(table.grant_trial(&PARTS[..1], at));
    assert!(!table.grant_trial(&PARTS[..1], at + millis(100)));
    assert!(table.return_trial(&PARTS[..1], at + millis(200)));
    assert!(table.grant_trial(&PARTS[..1], at + millis(300)));
    assert!(!table.grant_trial(&PARTS[..1], at + Duration::from_secs(10)));
}
