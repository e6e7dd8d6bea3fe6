//! Servers of two software versions in one service: a stream goes on only at the version that
//! began it, in one answer and over the tries of its caller.

mod support;

use rstest::rstest;
use support::{
    CallOutcome,
    version_fleet::{
        EVENTS, Ended, ONE_VERSION, STREAMS, TWO_VERSIONS, VersionFleet, assert_begun_on_both,
        assert_completed, assert_refused_unrun, assert_unmixed, begun_at, take_up_all,
        take_up_briefly, whole_streams,
    },
};

#[tokio::test]
async fn broken_stream_ends_if_only_another_version_could_go_on() {
    let fleet = VersionFleet::start(&["v1", "v2", "v2"], 1).await;

    let ended = whole_streams(&fleet, 0).await;

    let broken = begun_at(&fleet, 0, &ended);
    assert!(broken.len() >= 3, "begun at the engine that breaks off: {}", broken.len());
    assert_unmixed(&fleet, &ended);
    let engines = fleet.fleet.engines[1..].iter();
    let resumed = engines.flat_map(|engine| engine.streams()).filter(|run| run.after.is_some());
    let resumed: Vec<_> = resumed.collect();
    assert!(resumed.is_empty(), "taken up at the other version: {resumed:?}");
    for stream in broken {
        let CallOutcome::Truncated(body) = &stream.outcome else {
            panic!("not truncated: {stream:?}")
        };
        let sent = support::complete_stream(&stream.call, EVENTS);
        assert!(body.contains("token 3\n\n") && sent.starts_with(body), "{stream:?}");
    }
}

#[tokio::test]
async fn broken_stream_goes_on_at_another_server_of_its_version() {
    let fleet = VersionFleet::start(&TWO_VERSIONS, 1).await;

    let ended = whole_streams(&fleet, 0).await;

    let broken = begun_at(&fleet, 0, &ended);
    assert!(broken.len() >= 2, "begun at the engine that breaks off: {}", broken.len());
    assert_unmixed(&fleet, &ended);
    assert_completed(&ended, STREAMS);
}

#[tokio::test]
async fn streams_go_on_at_their_version_through_another_gateway() {
    let fleet = VersionFleet::start(&TWO_VERSIONS, 2).await;

    let streams = fleet.begin_streams(0).await;
    let ended = take_up_all(fleet.callers(1), &streams, 2, true).await;

    assert_begun_on_both(&fleet);
    assert_unmixed(&fleet, &ended);
    assert_completed(&ended, STREAMS);
}

/// Each take-up names the first attempt, not the one before.
#[rstest]
#[case::back_at_the_first_gateway(0)]
#[case::at_the_same_gateway(1)]
#[case::at_a_third_gateway(2)]
#[tokio::test]
async fn streams_that_are_taken_up_twice_go_on_at_their_version(#[case] last: usize) {
    let fleet = VersionFleet::start(&TWO_VERSIONS, 3).await;

    let streams = fleet.begin_streams(0).await;
    let streams = take_up_briefly(fleet.callers(1), &streams, 2).await;
    let ended = take_up_all(fleet.callers(last), &streams, 3, true).await;

    assert_begun_on_both(&fleet);
    assert_unmixed(&fleet, &ended);
    assert_completed(&ended, STREAMS);
}

#[tokio::test]
async fn streams_go_on_at_their_version_after_all_gateways_were_restarted() {
    let mut fleet = VersionFleet::start(&TWO_VERSIONS, 2).await;

    let streams = fleet.begin_streams(0).await;
    fleet.restart_gateways().await;
    let ended = take_up_all(fleet.callers(1), &streams, 2, true).await;

    assert_begun_on_both(&fleet);
    assert_unmixed(&fleet, &ended);
    assert_completed(&ended, STREAMS);
}

/// The engines that are not listed any more still run, and so do their agents.
#[rstest]
#[case::gateways_live_on(false)]
#[case::gateways_restarted_after_the_removal(true)]
#[tokio::test]
async fn streams_whose_version_has_left_are_refused(#[case] restarts: bool) {
    let mut fleet = VersionFleet::start(&TWO_VERSIONS, 2).await;

    let streams = fleet.begin_streams(0).await;
    fleet.unlist("v1").await;
    if restarts {
        fleet.restart_gateways().await;
    }
    let ended = take_up_all(fleet.callers(1), &streams, 2, true).await;

    assert_begun_on_both(&fleet);
    assert_unmixed(&fleet, &ended);
    let (left, stayed): (Vec<Ended>, Vec<Ended>) =
        ended.into_iter().partition(|ended| ended.stream.version == "v1");
    assert_refused_unrun(&fleet, &left);
    assert_completed(&stayed, stayed.len());
}

#[tokio::test]
async fn streams_of_an_only_version_go_on_after_everything_was_restarted() {
    let mut fleet = VersionFleet::start(&ONE_VERSION, 2).await;

    let streams = fleet.begin_streams(0).await;
    fleet.restart_all().await;
    let ended = take_up_all(fleet.callers(1), &streams, 2, true).await;

    assert_completed(&ended, STREAMS);
}

/// Nothing in the fleet may remember the streams any more, so they may be refused.
#[tokio::test]
async fn streams_of_two_versions_are_not_mixed_after_everything_was_restarted() {
    let mut fleet = VersionFleet::start(&TWO_VERSIONS, 2).await;

    let streams = fleet.begin_streams(0).await;
    fleet.restart_all().await;
    let ended = take_up_all(fleet.callers(1), &streams, 2, true).await;

    assert_begun_on_both(&fleet);
    assert_unmixed(&fleet, &ended);
    let refused = ended.iter().filter(|ended| !ended.is_complete());
    assert_refused_unrun(&fleet, refused);
}

/// Only the store remembers that another version served.
#[tokio::test]
async fn streams_whose_version_has_left_are_refused_after_everything_was_restarted() {
    let mut fleet = VersionFleet::start(&TWO_VERSIONS, 2).await;

    let streams = fleet.begin_streams(0).await;
    fleet.unlist("v1").await;
    fleet.restart_all().await;
    let ended = take_up_all(fleet.callers(1), &streams, 2, true).await;

    assert_begun_on_both(&fleet);
    assert_unmixed(&fleet, &ended);
    let refused = ended.iter().filter(|ended| !ended.is_complete());
    assert_refused_unrun(&fleet, refused);
}

#[tokio::test]
async fn streams_of_an_only_version_go_on_without_the_first_attempt() {
    let fleet = VersionFleet::start(&ONE_VERSION, 2).await;

    let streams = fleet.begin_streams(0).await;
    let ended = take_up_all(fleet.callers(1), &streams, 2, false).await;

    assert_completed(&ended, STREAMS);
}

#[tokio::test]
async fn streams_of_two_versions_are_not_mixed_without_the_first_attempt() {
    let fleet = VersionFleet::start(&TWO_VERSIONS, 2).await;

    let streams = fleet.begin_streams(0).await;
    let ended = take_up_all(fleet.callers(1), &streams, 2, false).await;

    assert_begun_on_both(&fleet);
    assert_unmixed(&fleet, &ended);
    let refused = ended.iter().filter(|ended| !ended.is_complete());
    assert_refused_unrun(&fleet, refused);
}

#[tokio::test]
async fn streams_go_on_at_their_version_after_one_gateway_and_one_agent_ended() {
    let mut fleet = VersionFleet::start(&TWO_VERSIONS, 2).await;

    let streams = fleet.begin_streams(0).await;
    fleet.agents.remove(0).kill().await;
    fleet.gateways.remove(0).kill().await;
    // The gateway that is left has the first index now.
    let ended = take_up_all(fleet.callers(0), &streams, 2, true).await;

    assert_begun_on_both(&fleet);
    assert_unmixed(&fleet, &ended);
    assert_completed(&ended, STREAMS * 3 / 4);
}
