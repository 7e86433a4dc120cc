#include <CppUTest/TestHarness.h>

#include "harbour.hpp"

using namespace tulip;
using namespace tulip::harbour;

namespace {

std::map<CellName, int> cellsOf(Harbour& harbour, const signal::Cohort& cohort) {
  std::map<CellName, int> cells;
  for (const auto& seat : cohort.seats) ++cells[harbour.all().at(seat.signal)->env.cell];
  return cells;
}

void seed(Harbour& harbour, std::initializer_list<int> numbers) {
  for (const int number : numbers) harbour.seeds.push_back(Harbour::addressOf(number));
}

void threeQuays(Harbour& harbour) {
  seed(harbour, {1, 2, 3});
  harbour.quay(1, "a");
  harbour.quay(2, "b");
  harbour.quay(3, "c");
}

std::string stored(Harbour& harbour, int number) { return harbour.quayAt(number).learned.text; }

watch::Edit edit(const char* body, const char* name) {
  watch::Edit made;
  made.whole = true;
  made.body = body;
  made.name = name;
  return made;
}

}  // namespace

TEST_GROUP(forming){};

TEST(forming, three_seed_quays_form_within_two_terms) {
  Harbour harbour;
  threeQuays(harbour);
  const auto tookMs = harbour.runUntil(5000, [&] { return harbour.stands(3); });
  CHECK(tookMs >= 0 && tookMs <= 2 * harbour.bounds.termMs);
  CHECK(harbour.oneFleet());
}

TEST(forming, seeds_without_a_disk_bring_the_quays_together) {
  Harbour harbour;
  seed(harbour, {11, 12, 13});
  harbour.quay(11, "a", false);
  harbour.quay(12, "b", false);
  harbour.quay(13, "c", false);
  harbour.quay(1, "a");
  harbour.quay(2, "b");
  harbour.quay(3, "c");
  harbour.crew(21);
  harbour.crew(22, Role::tender);
  CHECK(harbour.runUntil(5000, [&] { return harbour.stands(3); }) >= 0);
  for (int number : {11, 12, 13}) CHECK(harbour.quayAt(number).image.empty());
  CHECK(harbour.runUntil(2000, [&] { return watch::sessionLive(harbour.crewAt(21), {harbour.nowMs}) && watch::sessionLive(harbour.crewAt(22), {harbour.nowMs}); }) >= 0);
  LONGS_EQUAL(0, harbour.quayAt(11).sessions.size());
}

TEST(forming, seats_are_spread_over_the_cells_and_as_many_as_the_losses_ask_for) {
  Harbour harbour;
  harbour.losses = 2;
  seed(harbour, {1, 3, 11});
  harbour.quay(11, "a", false);
  const char* cells[] = {"a", "a", "b", "b", "c", "c"};
  for (int i = 0; i < 6; ++i) harbour.quay(i + 1, cells[i]);
  CHECK(harbour.runUntil(5000, [&] { return harbour.stands(5); }) >= 0);
  harbour.run(3000);
  CHECK(harbour.stands(5));
  CHECK(harbour.oneFleet());
  for (const auto& [cell, count] : cellsOf(harbour, harbour.quayAt(1).image.cohort)) CHECK(count <= 2);
}

TEST(forming, a_latecomer_is_seated_once_it_is_there) {
  Harbour harbour;
  harbour.losses = 2;
  seed(harbour, {1, 2, 3});
  harbour.quay(1, "a");
  harbour.quay(2, "b");
  harbour.quay(3, "c");
  CHECK(harbour.runUntil(5000, [&] { return harbour.stands(3); }) >= 0);
  harbour.quay(4, "a");
  harbour.run(3000);
  CHECK(harbour.stands(3));  // four seats bear no more losses than three
  harbour.quay(5, "b");
  CHECK(harbour.runUntil(3000, [&] { return harbour.stands(5); }) >= 0);
  CHECK(harbour.oneFleet());
}

TEST(forming, one_quay_alone_stands_and_grows) {
  Harbour harbour;
  seed(harbour, {1});
  harbour.quay(1, "a");
  CHECK(harbour.runUntil(5000, [&] { return harbour.stands(1); }) >= 0);
  harbour.quay(2, "b");
  harbour.quay(3, "c");
  CHECK(harbour.runUntil(5000, [&] { return harbour.stands(3); }) >= 0);
}

TEST(forming, nothing_forms_after_the_first_boot_nor_without_a_seed) {
  Harbour harbour;
  seed(harbour, {1, 2, 3});
  for (int number : {1, 2, 3}) harbour.quay(number, "a", true, false);
  harbour.run(6000);
  for (int number : {1, 2, 3}) CHECK(harbour.quayAt(number).image.empty());
  Harbour other;
  seed(other, {1, 2, 3});
  other.quay(1, "a");
  other.quay(2, "b");
  other.run(6000);
  CHECK(other.quayAt(1).image.empty() && other.quayAt(2).image.empty());
}

TEST(forming, three_quays_that_come_back_empty_form_nothing_while_a_daemon_remembers) {
  Harbour harbour;
  threeQuays(harbour);
  harbour.crew(21);
  CHECK(harbour.runUntil(5000, [&] { return watch::sessionLive(harbour.crewAt(21), {harbour.nowMs}); }) >= 0);
  for (int number : {1, 2, 3}) {
    harbour.stop(number);
    harbour.wipe(number);
    harbour.at(number).env.firstBoot = true;
  }
  for (int number : {1, 2, 3}) harbour.start(number);
  harbour.run(8000);
  for (int number : {1, 2, 3}) CHECK(harbour.quayAt(number).image.empty());
}

TEST(forming, a_decider_that_is_started_again_between_the_promises_forms_the_same_cohort_or_none) {
  for (Millis atMs = 100; atMs < 1000; atMs += 7) {
    Harbour harbour;
    harbour.syncMs = 13;
    seed(harbour, {1, 2, 11});
    harbour.quay(11, "a", false);
    const char* cells[] = {"a", "b", "c", "a", "b"};
    for (int i = 0; i < 5; ++i) harbour.quay(i + 1, cells[i]);
    harbour.run(atMs);
    harbour.stop(1);
    harbour.run(20);
    harbour.start(1);
    harbour.runUntil(8000, [&] { return harbour.stands(3); });
    CHECK(harbour.stands(3));
    CHECK(harbour.oneFleet());
  }
}

TEST(forming, a_diskless_decider_that_forgets_forms_no_second_cohort) {
  for (Millis atMs = 100; atMs < 1000; atMs += 7) {
    Harbour harbour;
    harbour.syncMs = 13;
    seed(harbour, {1, 11, 12});
    harbour.quay(1, "a", false);
    harbour.quay(11, "b", false);
    harbour.quay(12, "c", false);
    const char* cells[] = {"a", "b", "c", "a", "b"};
    for (int i = 0; i < 5; ++i) harbour.quay(i + 2, cells[i]);
    harbour.run(atMs);
    harbour.stop(1);
    harbour.run(20);
    harbour.start(1);
    harbour.runUntil(8000, [&] { return harbour.stands(3); });
    CHECK(harbour.stands(3));
    CHECK(harbour.oneFleet());
  }
}

TEST(forming, a_member_wiped_before_its_promise_is_left_behind) {
  Harbour harbour;
  harbour.syncMs = 50;
  threeQuays(harbour);
  CHECK(harbour.runUntil(3000, [&] { return harbour.quayAt(1).image.joined.number > 0; }) >= 0);
  harbour.stop(3);
  harbour.wipe(3);
  harbour.at(3).env.firstBoot = true;
  harbour.start(3);
  CHECK(harbour.runUntil(8000, [&] { return harbour.stands(3); }) >= 0);
  CHECK(harbour.oneFleet());
}

TEST(forming, an_empty_quay_at_another_address_is_seated_within_its_catch_up_time) {
  Harbour harbour;
  threeQuays(harbour);
  harbour.crew(21);
  harbour.run(5000);
  harbour.propose(21, edit(R"({"cells":{"a":{"emptied":true}}})", "t"));
  harbour.run(1000);
  harbour.stop(3);
  harbour.quay(4, "c", true, false);
  const auto tookMs = harbour.runUntil(6000, [&] { return harbour.stands(3) && harbour.quayAt(4).image.voting; });
  CHECK(tookMs >= 0);
  CHECK(tookMs <= harbour.bounds.catchUpMs / 2);
  harbour.run(500);
  STRCMP_EQUAL(stored(harbour, 1).c_str(), stored(harbour, 4).c_str());
  harbour.start(3);
  harbour.run(3000);
  CHECK(harbour.stands(3));
  CHECK_FALSE(harbour.quayAt(3).image.voting);
  LONGS_EQUAL(harbour.quayAt(1).image.cohort.revision, harbour.quayAt(3).image.cohort.revision);
  harbour.stop(2);
  CHECK(harbour.runUntil(6000, [&] { return harbour.stands(3) && harbour.quayAt(3).image.voting; }) >= 0);
  CHECK(harbour.oneFleet());
}

TEST(forming, a_frozen_seat_gives_way_to_a_spare_and_comes_back_as_one) {
  Harbour harbour;
  threeQuays(harbour);
  harbour.quay(4, "c");
  CHECK(harbour.runUntil(5000, [&] { return harbour.stands(3); }) >= 0);
  harbour.run(2000);
  int spare = 0, seated = 0;
  for (int number : {1, 2, 3, 4}) (harbour.quayAt(number).image.voting ? seated : spare) = number;
  harbour.freeze(seated, 5000);
  CHECK(harbour.runUntil(4000, [&] { return harbour.quayAt(spare).image.voting; }) >= 0);
  harbour.run(6000);
  CHECK(harbour.stands(3));
  CHECK_FALSE(harbour.quayAt(seated).image.voting);
  CHECK(harbour.oneFleet());
  harbour.stop(spare);
  CHECK(harbour.runUntil(4000, [&] { return harbour.quayAt(seated).image.voting && harbour.stands(3); }) >= 0);
  CHECK(harbour.oneFleet());
}

TEST(forming, a_wiped_seat_is_seated_again_at_once) {
  Harbour harbour;
  threeQuays(harbour);
  harbour.run(4000);
  harbour.stop(2);
  harbour.wipe(2);
  harbour.run(300);
  harbour.start(2);
  const auto tookMs = harbour.runUntil(3000, [&] { return harbour.quayAt(2).image.voting && harbour.stands(3); });
  CHECK(tookMs >= 0 && tookMs <= harbour.bounds.termMs);
}

TEST(forming, after_all_lost_power_and_one_its_disk_the_sessions_are_back_within_two_terms) {
  Harbour harbour;
  threeQuays(harbour);
  harbour.crew(21);
  harbour.crew(22, Role::tender);
  harbour.run(5000);
  harbour.propose(21, edit(R"({"cells":{"a":{"emptied":true}}})", "t"));
  harbour.run(1500);
  LONGS_EQUAL(1, harbour.at(21).answers.size());
  for (int number : {1, 2, 3, 21, 22}) harbour.stop(number);
  harbour.wipe(2);
  harbour.run(1000);
  for (int number : {1, 2, 3, 21, 22}) harbour.start(number);
  const auto tookMs = harbour.runUntil(8000, [&] {
    return harbour.stands(3) && watch::sessionLive(harbour.crewAt(21), {harbour.nowMs}) && harbour.crewAt(22).chartRevision == 1;
  });
  CHECK(tookMs >= 0 && tookMs <= 2 * harbour.bounds.termMs);
}

TEST(forming, power_lost_at_any_moment_of_a_change_is_got_over) {
  for (Millis atMs = 0; atMs < 60; ++atMs) {
    Harbour harbour;
    harbour.tickMs = 5;
    harbour.syncMs = 3;
    threeQuays(harbour);
    harbour.crew(21);
    harbour.run(4000);
    for (const char* name : {"one", "two"}) {
      harbour.propose(21, edit(R"({"cells":{"a":{"emptied":true}}})", name));
      harbour.run(name[0] == 'o' ? 200 : atMs);
    }
    const auto told = harbour.at(21).answers.size();
    for (int number : {1, 2, 3, 21}) harbour.stop(number);
    harbour.run(500);
    for (int number : {1, 2, 3, 21}) harbour.start(number);
    CHECK(harbour.runUntil(3000, [&] { return harbour.stands(3) && harbour.crewAt(21).chartRevision >= told; }) >= 0);
  }
}

TEST(forming, five_seats_bear_a_lost_cell_and_take_its_quays_back) {
  Harbour harbour;
  harbour.losses = 2;
  seed(harbour, {1, 3, 5});
  const char* cells[] = {"a", "a", "b", "b", "c", "c"};
  for (int i = 0; i < 6; ++i) harbour.quay(i + 1, cells[i]);
  harbour.crew(21);
  CHECK(harbour.runUntil(5000, [&] { return harbour.stands(5); }) >= 0);
  harbour.run(2000);
  for (int number : {1, 2}) harbour.stop(number);
  harbour.propose(21, edit("{}", "while-lost"));
  CHECK(harbour.runUntil(3500, [&] { return !harbour.at(21).answers.empty(); }) >= 0);
  LONGS_EQUAL(200, harbour.at(21).answers.front().status);
  harbour.run(4000);
  CHECK(harbour.quayAt(5).image.voting && harbour.quayAt(6).image.voting);
  for (int number : {1, 2}) {
    harbour.wipe(number);
    harbour.start(number);
  }
  CHECK(harbour.runUntil(6000, [&] { return harbour.stands(5); }) >= 0);
  harbour.run(3000);
  CHECK(harbour.stands(5));
  CHECK(harbour.oneFleet());
  for (const auto& [cell, count] : cellsOf(harbour, harbour.quayAt(3).image.cohort)) CHECK(count <= 2);
}

TEST(forming, the_loss_of_a_cell_is_never_prepared_for_worse_than_the_quays_allow) {
  Harbour harbour;
  seed(harbour, {1, 2, 3});
  harbour.quay(1, "a");
  harbour.quay(2, "a");
  harbour.quay(3, "b");
  CHECK(harbour.runUntil(5000, [&] { return harbour.stands(3); }) >= 0);
  harbour.quay(4, "c");
  harbour.run(3000);
  CHECK(harbour.stands(3));
  for (const auto& [cell, count] : cellsOf(harbour, harbour.quayAt(1).image.cohort)) LONGS_EQUAL(1, count);
}
