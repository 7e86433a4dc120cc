#include <CppUTest/TestHarness.h>

#include "admission/admission.hpp"

using namespace tulip;
using namespace tulip::admission;

namespace {

Candidate candidate(const char* id, std::initializer_list<std::int64_t> slots, bool gang) {
  Candidate made;
  made.id = JobId(id);
  made.gang = gang;
  Unit unit;
  unit.whole = gang;
  for (auto each : slots) {
    unit.tasks.push_back(static_cast<std::uint32_t>(unit.tasks.size()));
    unit.loads.push_back({each});
  }
  made.ready.push_back(unit);
  return made;
}

Candidate running(const char* id, std::int64_t lane, std::size_t worker, std::int64_t slots, Millis firstStartMs) {
  Candidate made;
  made.id = JobId(id);
  made.gang = true;
  made.counters.lane = lane;
  made.counters.firstStartMs = firstStartMs;
  made.runs.push_back({0, worker, {slots}});
  return made;
}

Field field(std::initializer_list<std::int64_t> free, std::int64_t total = 8) {
  Field made;
  int n = 0;
  for (auto slots : free) {
    placement::WorkerCapacity worker;
    worker.worker = WorkerId("w" + std::to_string(n++));
    worker.total[0] = total;
    worker.free[0] = slots;
    made.workers.push_back(worker);
  }
  return made;
}

config::Admission rules() { return {}; }

}  // namespace

TEST_GROUP(admission){};

TEST(admission, service_is_capacity_held_times_time) {
  Counters counters;
  accrue(counters, 4000, false, 1000);
  accrue(counters, 2000, false, 500);
  LONGS_EQUAL(5000, counters.servedMs);
  LONGS_EQUAL(1500, counters.ranMs);
  accrue(counters, 0, true, 700);
  LONGS_EQUAL(5000, counters.servedMs);
  LONGS_EQUAL(700, counters.waitMs);
}

TEST(admission, crossing_the_threshold_demotes_and_the_knob_promotes_with_reset) {
  auto given = rules();
  given.promoteKnob = 2.0;
  Counters counters;
  accrue(counters, 8000, false, 449999);
  CHECK_FALSE(settle(counters, given, true));
  accrue(counters, 8000, false, 1);
  CHECK(settle(counters, given, true));
  LONGS_EQUAL(1, counters.lane);
  accrue(counters, 0, true, 899999);
  CHECK_FALSE(settle(counters, given, false));
  accrue(counters, 0, true, 1);
  CHECK(settle(counters, given, false));
  LONGS_EQUAL(0, counters.lane);
  LONGS_EQUAL(0, counters.servedMs);
  LONGS_EQUAL(0, counters.waitMs);
  LONGS_EQUAL(3600000, counters.totalServedMs);
}

TEST(admission, infinity_turns_promotion_off) {
  auto given = rules();
  given.promoteKnob.reset();
  Counters counters;
  accrue(counters, 8000, false, 450000);
  settle(counters, given, true);
  accrue(counters, 0, true, 1LL << 40);
  CHECK_FALSE(settle(counters, given, false));
  LONGS_EQUAL(1, counters.lane);
}

TEST(admission, order_is_lane_then_first_start_then_rank_then_arrival) {
  std::vector<Candidate> jobs(5);
  const char* names[] = {"demoted", "late-start", "early-start", "fresh-high", "fresh-low"};
  for (int i = 0; i < 5; ++i) jobs[static_cast<std::size_t>(i)].id = JobId(names[i]);
  jobs[0].counters.lane = 1;
  jobs[0].counters.firstStartMs = 1;
  jobs[1].counters.firstStartMs = 20;
  jobs[2].counters.firstStartMs = 10;
  jobs[3].rank = 5;
  jobs[3].acceptedMs = 9;
  jobs[4].rank = 0;
  jobs[4].acceptedMs = 2;
  const auto ranking = order(jobs, rules(), {});
  const std::vector<std::size_t> wanted{2, 1, 3, 4, 0};
  CHECK(ranking == wanted);
}

TEST(admission, a_gang_that_does_not_fit_is_passed_over_whole) {
  std::vector<Candidate> jobs{candidate("big", {8, 8}, true), candidate("small", {2}, true)};
  jobs[0].acceptedMs = 1;
  jobs[1].acceptedMs = 2;
  const auto made = plan(jobs, field({8, 4}), rules(), {});
  LONGS_EQUAL(1, made.starts.size());
  LONGS_EQUAL(1, made.starts[0].job);
  LONGS_EQUAL(1, made.passedOver);
  CHECK(made.stops.empty());
}

TEST(admission, only_a_lower_lane_is_pushed_aside_and_the_fewest) {
  std::vector<Candidate> jobs{candidate("new", {8}, true), running("low-a", 1, 0, 8, 10), running("low-b", 1, 1, 8, 20),
                              running("same", 0, 2, 8, 5)};
  const auto made = plan(jobs, field({0, 0, 0}), rules(), {});
  LONGS_EQUAL(1, made.stops.size());
  LONGS_EQUAL(2, made.stops[0].job);
  CHECK(made.starts.empty());
}

TEST(admission, nothing_is_stopped_for_a_gang_that_would_still_not_fit) {
  std::vector<Candidate> jobs{candidate("huge", {8, 8, 8}, true), running("low", 1, 0, 8, 10),
                              running("same", 0, 1, 8, 5)};
  const auto made = plan(jobs, field({0, 0, 0}), rules(), {});
  CHECK(made.stops.empty());
  CHECK(made.starts.empty());
}

TEST(admission, capacity_being_freed_is_kept_for_the_one_it_was_freed_for) {
  std::vector<Candidate> jobs{candidate("first", {8}, true), running("leaving", 1, 0, 8, 10),
                              candidate("second", {8}, true)};
  jobs[0].acceptedMs = 1;
  jobs[2].acceptedMs = 2;
  jobs[1].runs[0].stopping = true;
  const auto made = plan(jobs, field({0}), rules(), {});
  CHECK(made.stops.empty());
  CHECK(made.starts.empty());
}

TEST(admission, a_big_gang_never_started_gets_capacity_reserved_after_its_bounded_wait) {
  auto jobs = std::vector<Candidate>{candidate("big", {8, 8}, true), candidate("small", {1}, true),
                                     running("going", 0, 0, 4, 5)};
  jobs[1].acceptedMs = 1;
  jobs[0].acceptedMs = 2;
  jobs[0].readyForMs = 9999;
  auto made = plan(jobs, field({4, 8}), rules(), {});
  LONGS_EQUAL(1, made.starts.size());
  CHECK_FALSE(made.reservedFor.has_value());
  jobs[0].readyForMs = 10000;
  made = plan(jobs, field({4, 8}), rules(), {});
  CHECK(made.starts.empty());
  LONGS_EQUAL(0, *made.reservedFor);
}

TEST(admission, gittins_weighs_the_chance_to_end_within_the_quantum) {
  const std::vector<std::int64_t> sizes{10, 10, 10, 100};
  DOUBLES_EQUAL(3.0 / 50.0, gittinsIndex(0, sizes, 20), 1e-9);
  DOUBLES_EQUAL(0.0, gittinsIndex(50, sizes, 20), 1e-9);
  DOUBLES_EQUAL(1.0 / 50.0, gittinsIndex(50, sizes, 50), 1e-9);
  DOUBLES_EQUAL(0.0, gittinsIndex(100, sizes, 50), 1e-9);
}

TEST(admission, quota_bounds_the_slots_a_queue_line_holds) {
  std::vector<Candidate> jobs{candidate("a", {2}, false), candidate("b", {2}, false)};
  for (auto& job : jobs) job.pending = QueueName("gate");
  auto where = field({8});
  where.quotaSlots[QueueName("gate")] = 3;
  const auto made = plan(jobs, where, rules(), {});
  LONGS_EQUAL(1, made.starts.size());
}

TEST(admission, pack_uses_few_workers_and_spread_many) {
  std::vector<Candidate> jobs{candidate("gang", {2, 2, 2}, true)};
  auto given = rules();
  auto used = [&] {
    std::set<std::size_t> workers;
    for (const auto& start : plan(jobs, field({8, 8, 8}), given, {}).starts) workers.insert(start.worker);
    return workers.size();
  };
  LONGS_EQUAL(1, used());
  given.layout = config::Layout::spread;
  LONGS_EQUAL(3, used());
}

TEST(admission, work_pushed_aside_often_enough_keeps_its_capacity) {
  std::vector<Candidate> jobs{candidate("new", {8}, true), running("pushed", 1, 0, 8, 10)};
  auto given = rules();
  jobs[1].counters.preemptions = given.mostPushes - 1;
  LONGS_EQUAL(1, plan(jobs, field({0}), given, {}).stops.size());
  jobs[1].counters.preemptions = given.mostPushes;
  LONGS_EQUAL(0, plan(jobs, field({0}), given, {}).stops.size());
}

TEST(admission, a_full_fleet_looks_once_at_the_least_of_the_shapes_of_need) {
  std::vector<Candidate> jobs;
  for (int i = 0; i < 20000; ++i) {
    const std::int64_t wide = 1 + i % 4;
    jobs.push_back(candidate(("p" + std::to_string(i)).c_str(), {wide, wide, wide}, i % 2));
    jobs.back().counters.lane = i % 3 == 0;
  }
  const auto made = plan(jobs, field({0, 0, 0}), rules(), {});
  LONGS_EQUAL(40000, made.passedOver);
  LONGS_EQUAL(3, made.tries);
}
