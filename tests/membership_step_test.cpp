#include <CppUTest/TestHarness.h>

#include "fixtures.hpp"

using namespace tulip;
using namespace tulip::fixture;

namespace {

// Replicas 1 to 2 * losses + 1, a voter each, in the zones given one after
// another.
void formVoters(Fixture& fixture, std::int64_t losses, const std::vector<const char*>& zones) {
  fixture.losses = losses;
  for (int number : {1, 2, 3}) fixture.seeds.push_back(Fixture::addressOf(number));
  for (std::size_t i = 0; i < zones.size(); ++i) fixture.replica(static_cast<int>(i) + 1, zones[i]);
  fixture.runUntil(6000, [&] { return fixture.stands(zones.size()); });
  fixture.run(500);
  CHECK(fixture.stands(zones.size()));
}

const transport::Membership& newest(Fixture& fixture) {
  static const transport::Membership none;
  const transport::Membership* found = &none;
  for (auto& [address, worker] : fixture.all())
    if (worker->replica && found->version < worker->replica->image.membership.version)
      found = &worker->replica->image.membership;
  return *found;
}

bool isSeated(Fixture& fixture, int number) {
  for (const auto& voter : newest(fixture).voters)
    if (voter.id == fixture.replicaAt(number).image.id) return fixture.replicaAt(number).image.voting;
  return false;
}

// Whether every voter that is up votes.
bool upVotersVote(Fixture& fixture, const transport::Membership& membership) {
  for (const auto& voter : membership.voters) {
    auto& worker = *fixture.all().at(voter.peerAddress);
    if (worker.up && worker.replica->image.id == voter.id && !worker.replica->image.voting) return false;
  }
  return true;
}

}  // namespace

TEST_GROUP(membership_step){};

// The zone move is the step in which no voter is lost, so that all the losses
// to be borne may still come.
TEST(membership_step, losses_at_any_moment_of_a_move_leave_a_majority) {
  const std::vector<std::vector<const char*>> layouts{
      {"a", "a", "b"}, {"a", "a", "a", "b", "b"}, {"a", "a", "a", "a", "b", "b", "b"}};
  for (const auto& zones : layouts) {
    const auto losses = static_cast<int>(zones.size() / 2);
    const int spare = static_cast<int>(zones.size()) + 1;
    for (int victim = 1; victim <= spare; victim += losses)
      for (Millis atMs = 0; atMs < 700; atMs += zones.size() == 3 ? 10 : 50) {
        Fixture fixture;
        fixture.delayMs = 5;
        fixture.syncMs = 15;
        formVoters(fixture, losses, zones);
        fixture.replica(spare, "c", true, false);
        fixture.run(atMs);
        for (int i = 0; i < losses; ++i) fixture.stop((victim - 1 + i) % spare + 1);
        const auto tookMs = fixture.runUntil(5000, [&] { return fixture.stands(zones.size()); });
        if (tookMs < 0) FAIL(("no majority: victim " + std::to_string(victim) + " at " + std::to_string(atMs)).c_str());
        CHECK(fixture.oneFleet());
      }
  }
}

TEST(membership_step, a_second_loss_while_a_silent_voter_is_replaced_leaves_a_majority) {
  for (int second : {2, 5})
    for (Millis atMs = 1200; atMs < 2000; atMs += 20) {
      Fixture fixture;
      fixture.delayMs = 5;
      fixture.syncMs = 15;
      formVoters(fixture, 2, {"a", "a", "b", "b", "c"});
      fixture.replica(6, "c", true, false);
      fixture.run(500);
      fixture.stop(1);
      fixture.run(atMs);
      fixture.stop(second);
      CHECK(fixture.runUntil(5000, [&] { return fixture.stands(5); }) >= 0);
      CHECK(fixture.oneFleet());
    }
}

TEST(membership_step, no_step_begins_before_the_newcomer_of_the_last_one_votes) {
  Fixture fixture;
  fixture.syncMs = 300;
  formVoters(fixture, 2, {"a", "a", "b", "b", "c"});
  for (int number : {2, 4}) {
    fixture.stop(number);
    fixture.wipe(number);
  }
  fixture.run(100);
  for (int number : {2, 4}) fixture.start(number);
  auto before = newest(fixture);
  for (int i = 0; i < 6000; ++i) {
    const bool voted = upVotersVote(fixture, before);
    fixture.run(1);
    if (newest(fixture).version == before.version) continue;
    CHECK(voted);
    before = newest(fixture);
  }
  CHECK(fixture.runUntil(6000, [&] { return fixture.stands(5); }) >= 0);
  CHECK(fixture.oneFleet());
}

TEST(membership_step, a_leaving_voter_hands_its_place_to_the_spare) {
  for (int leaving : {1, 2, 3}) {
    Fixture fixture;
    formVoters(fixture, 1, {"a", "b", "c"});
    fixture.replica(4, "c", true, false);
    fixture.run(1000);
    fixture.replicaAt(leaving).client.leaving = true;
    CHECK(fixture.runUntil(fixture.bounds.leaseMs, [&] { return isSeated(fixture, 4); }) >= 0);
    CHECK(fixture.stands(3));
    CHECK_FALSE(isSeated(fixture, leaving));
    fixture.stop(leaving);
    fixture.stop(leaving % 3 + 1);
    fixture.run(3000);
    CHECK(fixture.stands(3));
  }
}

TEST(membership_step, the_loss_of_a_proposer_while_another_voter_leaves_is_borne) {
  for (Millis atMs = 0; atMs < 500; atMs += 10) {
    Fixture fixture;
    fixture.delayMs = 5;
    fixture.syncMs = 15;
    formVoters(fixture, 1, {"a", "b", "c"});
    fixture.replica(4, "c", true, false);
    fixture.run(1000);
    fixture.replicaAt(3).client.leaving = true;
    fixture.run(atMs);
    fixture.stop(1);
    const auto gone = [&] { return isSeated(fixture, 4) && fixture.stands(3); };
    CHECK(fixture.runUntil(6000, gone) >= 0);
    CHECK(fixture.oneFleet());
  }
}

TEST(membership_step, a_replica_leaves_once_its_state_is_held_without_it) {
  Fixture fixture;
  formVoters(fixture, 1, {"a", "b", "c"});
  CHECK(control::mayLeave(fixture.replicaAt(3), {fixture.nowMs}));  // nobody is there to take its place
  fixture.replica(4, "c", true, false);
  fixture.run(1000);
  fixture.replicaAt(3).client.leaving = true;
  CHECK_FALSE(control::mayLeave(fixture.replicaAt(3), {fixture.nowMs}));
  const auto mayLeave = [&] { return control::mayLeave(fixture.replicaAt(3), {fixture.nowMs}); };
  CHECK(fixture.runUntil(fixture.bounds.leaseMs, mayLeave) >= 0);
  CHECK(isSeated(fixture, 4));
}
