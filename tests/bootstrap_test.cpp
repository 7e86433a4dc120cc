#include <CppUTest/TestHarness.h>

#include "fixtures.hpp"

using namespace tulip;
using namespace tulip::fixture;

namespace {

std::map<ZoneName, int> zonesOf(Fixture& fixture, const transport::Membership& membership) {
  std::map<ZoneName, int> zones;
  for (const auto& voter : membership.voters) ++zones[fixture.all().at(voter.peerAddress)->settings.zone];
  return zones;
}

void seed(Fixture& fixture, std::initializer_list<int> numbers) {
  for (const int number : numbers) fixture.seeds.push_back(Fixture::addressOf(number));
}

void threeReplicas(Fixture& fixture) {
  seed(fixture, {1, 2, 3});
  fixture.replica(1, "a");
  fixture.replica(2, "b");
  fixture.replica(3, "c");
}

std::string stored(Fixture& fixture, int number) { return fixture.replicaAt(number).learned.text; }

control::Edit edit(const char* body, const char* name) {
  control::Edit made;
  made.whole = true;
  made.body = body;
  made.name = name;
  return made;
}

}  // namespace

TEST_GROUP(bootstrap){};

TEST(bootstrap, three_seed_replicas_form_within_two_terms) {
  Fixture fixture;
  threeReplicas(fixture);
  const auto tookMs = fixture.runUntil(5000, [&] { return fixture.stands(3); });
  CHECK(tookMs >= 0 && tookMs <= 2 * fixture.bounds.leaseMs);
  CHECK(fixture.oneFleet());
}

TEST(bootstrap, seeds_without_a_disk_bring_the_replicas_together) {
  Fixture fixture;
  seed(fixture, {11, 12, 13});
  fixture.replica(11, "a", false);
  fixture.replica(12, "b", false);
  fixture.replica(13, "c", false);
  fixture.replica(1, "a");
  fixture.replica(2, "b");
  fixture.replica(3, "c");
  fixture.client(21);
  fixture.client(22, Role::agent);
  CHECK(fixture.runUntil(5000, [&] { return fixture.stands(3); }) >= 0);
  for (int number : {11, 12, 13}) CHECK(fixture.replicaAt(number).image.empty());
  CHECK(fixture.runUntil(2000, [&] {
    return control::sessionLive(fixture.clientAt(21), {fixture.nowMs}) &&
           control::sessionLive(fixture.clientAt(22), {fixture.nowMs});
  }) >= 0);
  LONGS_EQUAL(0, fixture.replicaAt(11).sessions.size());
}

TEST(bootstrap, voters_are_spread_over_the_zones_and_as_many_as_the_losses_ask_for) {
  Fixture fixture;
  fixture.losses = 2;
  seed(fixture, {1, 3, 11});
  fixture.replica(11, "a", false);
  const char* zones[] = {"a", "a", "b", "b", "c", "c"};
  for (int i = 0; i < 6; ++i) fixture.replica(i + 1, zones[i]);
  CHECK(fixture.runUntil(5000, [&] { return fixture.stands(5); }) >= 0);
  fixture.run(3000);
  CHECK(fixture.stands(5));
  CHECK(fixture.oneFleet());
  for (const auto& [zone, count] : zonesOf(fixture, fixture.replicaAt(1).image.membership)) CHECK(count <= 2);
}

TEST(bootstrap, a_latecomer_is_seated_once_it_is_there) {
  Fixture fixture;
  fixture.losses = 2;
  seed(fixture, {1, 2, 3});
  fixture.replica(1, "a");
  fixture.replica(2, "b");
  fixture.replica(3, "c");
  CHECK(fixture.runUntil(5000, [&] { return fixture.stands(3); }) >= 0);
  fixture.replica(4, "a");
  fixture.run(3000);
  CHECK(fixture.stands(3));  // four voters bear no more losses than three
  fixture.replica(5, "b");
  CHECK(fixture.runUntil(3000, [&] { return fixture.stands(5); }) >= 0);
  CHECK(fixture.oneFleet());
}

TEST(bootstrap, one_replica_alone_stands_and_grows) {
  Fixture fixture;
  seed(fixture, {1});
  fixture.replica(1, "a");
  CHECK(fixture.runUntil(5000, [&] { return fixture.stands(1); }) >= 0);
  fixture.replica(2, "b");
  fixture.replica(3, "c");
  CHECK(fixture.runUntil(5000, [&] { return fixture.stands(3); }) >= 0);
}

TEST(bootstrap, nothing_forms_after_the_first_boot_nor_without_a_seed) {
  Fixture fixture;
  seed(fixture, {1, 2, 3});
  for (int number : {1, 2, 3}) fixture.replica(number, "a", true, false);
  fixture.run(6000);
  for (int number : {1, 2, 3}) CHECK(fixture.replicaAt(number).image.empty());
  Fixture other;
  seed(other, {1, 2, 3});
  other.replica(1, "a");
  other.replica(2, "b");
  other.run(6000);
  CHECK(other.replicaAt(1).image.empty() && other.replicaAt(2).image.empty());
}

TEST(bootstrap, three_replicas_that_come_back_empty_form_nothing_while_a_daemon_remembers) {
  Fixture fixture;
  threeReplicas(fixture);
  fixture.client(21);
  CHECK(fixture.runUntil(5000, [&] { return control::sessionLive(fixture.clientAt(21), {fixture.nowMs}); }) >= 0);
  for (int number : {1, 2, 3}) {
    fixture.stop(number);
    fixture.wipe(number);
    fixture.at(number).settings.firstBoot = true;
  }
  for (int number : {1, 2, 3}) fixture.start(number);
  fixture.run(8000);
  for (int number : {1, 2, 3}) CHECK(fixture.replicaAt(number).image.empty());
}

TEST(bootstrap, a_decider_that_is_started_again_between_the_promises_forms_the_same_membership_or_none) {
  for (Millis atMs = 100; atMs < 1000; atMs += 7) {
    Fixture fixture;
    fixture.syncMs = 13;
    seed(fixture, {1, 2, 11});
    fixture.replica(11, "a", false);
    const char* zones[] = {"a", "b", "c", "a", "b"};
    for (int i = 0; i < 5; ++i) fixture.replica(i + 1, zones[i]);
    fixture.run(atMs);
    fixture.stop(1);
    fixture.run(20);
    fixture.start(1);
    fixture.runUntil(8000, [&] { return fixture.stands(3); });
    CHECK(fixture.stands(3));
    CHECK(fixture.oneFleet());
  }
}

TEST(bootstrap, a_diskless_decider_that_forgets_forms_no_second_membership) {
  for (Millis atMs = 100; atMs < 1000; atMs += 7) {
    Fixture fixture;
    fixture.syncMs = 13;
    seed(fixture, {1, 11, 12});
    fixture.replica(1, "a", false);
    fixture.replica(11, "b", false);
    fixture.replica(12, "c", false);
    const char* zones[] = {"a", "b", "c", "a", "b"};
    for (int i = 0; i < 5; ++i) fixture.replica(i + 2, zones[i]);
    fixture.run(atMs);
    fixture.stop(1);
    fixture.run(20);
    fixture.start(1);
    fixture.runUntil(8000, [&] { return fixture.stands(3); });
    CHECK(fixture.stands(3));
    CHECK(fixture.oneFleet());
  }
}

TEST(bootstrap, a_member_wiped_before_its_promise_is_left_behind) {
  Fixture fixture;
  fixture.syncMs = 50;
  threeReplicas(fixture);
  CHECK(fixture.runUntil(3000, [&] { return fixture.replicaAt(1).image.joined.number > 0; }) >= 0);
  fixture.stop(3);
  fixture.wipe(3);
  fixture.at(3).settings.firstBoot = true;
  fixture.start(3);
  CHECK(fixture.runUntil(8000, [&] { return fixture.stands(3); }) >= 0);
  CHECK(fixture.oneFleet());
}

TEST(bootstrap, an_empty_replica_at_another_address_is_seated_within_its_catch_up_time) {
  Fixture fixture;
  threeReplicas(fixture);
  fixture.client(21);
  fixture.run(5000);
  fixture.propose(21, edit(R"({"cells":{"a":{"emptied":true}}})", "t"));
  fixture.run(1000);
  fixture.stop(3);
  fixture.replica(4, "c", true, false);
  const auto tookMs = fixture.runUntil(6000, [&] { return fixture.stands(3) && fixture.replicaAt(4).image.voting; });
  CHECK(tookMs >= 0);
  CHECK(tookMs <= fixture.bounds.catchUpMs / 2);
  fixture.run(500);
  STRCMP_EQUAL(stored(fixture, 1).c_str(), stored(fixture, 4).c_str());
  fixture.start(3);
  fixture.run(3000);
  CHECK(fixture.stands(3));
  CHECK_FALSE(fixture.replicaAt(3).image.voting);
  LONGS_EQUAL(fixture.replicaAt(1).image.membership.version, fixture.replicaAt(3).image.membership.version);
  fixture.stop(2);
  CHECK(fixture.runUntil(6000, [&] { return fixture.stands(3) && fixture.replicaAt(3).image.voting; }) >= 0);
  CHECK(fixture.oneFleet());
}

TEST(bootstrap, a_frozen_voter_gives_way_to_a_spare_and_comes_back_as_one) {
  Fixture fixture;
  threeReplicas(fixture);
  fixture.replica(4, "c");
  CHECK(fixture.runUntil(5000, [&] { return fixture.stands(3); }) >= 0);
  fixture.run(2000);
  int spare = 0, isVoter = 0;
  for (int number : {1, 2, 3, 4}) (fixture.replicaAt(number).image.voting ? isVoter : spare) = number;
  fixture.freeze(isVoter, 5000);
  CHECK(fixture.runUntil(4000, [&] { return fixture.replicaAt(spare).image.voting; }) >= 0);
  fixture.run(6000);
  CHECK(fixture.stands(3));
  CHECK_FALSE(fixture.replicaAt(isVoter).image.voting);
  CHECK(fixture.oneFleet());
  fixture.stop(spare);
  CHECK(fixture.runUntil(4000, [&] { return fixture.replicaAt(isVoter).image.voting && fixture.stands(3); }) >= 0);
  CHECK(fixture.oneFleet());
}

TEST(bootstrap, a_wiped_voter_is_seated_again_at_once) {
  Fixture fixture;
  threeReplicas(fixture);
  fixture.run(4000);
  fixture.stop(2);
  fixture.wipe(2);
  fixture.run(300);
  fixture.start(2);
  const auto tookMs = fixture.runUntil(3000, [&] { return fixture.replicaAt(2).image.voting && fixture.stands(3); });
  CHECK(tookMs >= 0 && tookMs <= fixture.bounds.leaseMs);
}

TEST(bootstrap, after_all_lost_power_and_one_its_disk_the_sessions_are_back_within_two_terms) {
  Fixture fixture;
  threeReplicas(fixture);
  fixture.client(21);
  fixture.client(22, Role::agent);
  fixture.run(5000);
  fixture.propose(21, edit(R"({"cells":{"a":{"emptied":true}}})", "t"));
  fixture.run(1500);
  LONGS_EQUAL(1, fixture.at(21).answers.size());
  for (int number : {1, 2, 3, 21, 22}) fixture.stop(number);
  fixture.wipe(2);
  fixture.run(1000);
  for (int number : {1, 2, 3, 21, 22}) fixture.start(number);
  const auto tookMs = fixture.runUntil(8000, [&] {
    return fixture.stands(3) && control::sessionLive(fixture.clientAt(21), {fixture.nowMs}) &&
           fixture.clientAt(22).configVersion == 1;
  });
  CHECK(tookMs >= 0 && tookMs <= 2 * fixture.bounds.leaseMs);
}

TEST(bootstrap, power_lost_at_any_moment_of_a_change_is_got_over) {
  for (Millis atMs = 0; atMs < 60; ++atMs) {
    Fixture fixture;
    fixture.tickMs = 5;
    fixture.syncMs = 3;
    threeReplicas(fixture);
    fixture.client(21);
    fixture.run(4000);
    for (const char* name : {"one", "two"}) {
      fixture.propose(21, edit(R"({"cells":{"a":{"emptied":true}}})", name));
      fixture.run(name[0] == 'o' ? 200 : atMs);
    }
    const auto committedJobs = fixture.at(21).answers.size();
    for (int number : {1, 2, 3, 21}) fixture.stop(number);
    fixture.run(500);
    for (int number : {1, 2, 3, 21}) fixture.start(number);
    CHECK(fixture.runUntil(
              3000, [&] { return fixture.stands(3) && fixture.clientAt(21).configVersion >= committedJobs; }) >= 0);
  }
}

TEST(bootstrap, five_voters_bear_a_lost_zone_and_take_its_replicas_back) {
  Fixture fixture;
  fixture.losses = 2;
  seed(fixture, {1, 3, 5});
  const char* zones[] = {"a", "a", "b", "b", "c", "c"};
  for (int i = 0; i < 6; ++i) fixture.replica(i + 1, zones[i]);
  fixture.client(21);
  CHECK(fixture.runUntil(5000, [&] { return fixture.stands(5); }) >= 0);
  fixture.run(2000);
  for (int number : {1, 2}) fixture.stop(number);
  fixture.propose(21, edit("{}", "while-lost"));
  CHECK(fixture.runUntil(3500, [&] { return !fixture.at(21).answers.empty(); }) >= 0);
  LONGS_EQUAL(200, fixture.at(21).answers.front().status);
  fixture.run(4000);
  CHECK(fixture.replicaAt(5).image.voting && fixture.replicaAt(6).image.voting);
  for (int number : {1, 2}) {
    fixture.wipe(number);
    fixture.start(number);
  }
  CHECK(fixture.runUntil(6000, [&] { return fixture.stands(5); }) >= 0);
  fixture.run(3000);
  CHECK(fixture.stands(5));
  CHECK(fixture.oneFleet());
  for (const auto& [zone, count] : zonesOf(fixture, fixture.replicaAt(3).image.membership)) CHECK(count <= 2);
}

TEST(bootstrap, the_loss_of_a_zone_is_never_prepared_for_worse_than_the_replicas_allow) {
  Fixture fixture;
  seed(fixture, {1, 2, 3});
  fixture.replica(1, "a");
  fixture.replica(2, "a");
  fixture.replica(3, "b");
  CHECK(fixture.runUntil(5000, [&] { return fixture.stands(3); }) >= 0);
  fixture.replica(4, "c");
  fixture.run(3000);
  CHECK(fixture.stands(3));
  for (const auto& [zone, count] : zonesOf(fixture, fixture.replicaAt(1).image.membership)) LONGS_EQUAL(1, count);
}
