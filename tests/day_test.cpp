#include <CppUTest/TestHarness.h>

#include "drydock/day.hpp"

using namespace tulip::drydock;

namespace {

DayResult day(std::uint64_t seed, std::vector<std::string> faults, const char* load = "leatherwood") {
  DayPlan plan;
  plan.seed = seed;
  plan.faults = std::move(faults);
  plan.load = builtInLoad(load);
  plan.seconds = 16;
  return runDay(plan);
}

void keeps(std::uint64_t seed, std::vector<std::string> faults, const char* load = "leatherwood") {
  const auto result = day(seed, std::move(faults), load);
  for (const auto& each : result.broken) UT_PRINT((summary(result) + "\n  " + each.rule + ": " + each.what).c_str());
  LONGS_EQUAL(0, result.broken.size());
  CHECK(result.jobs > 50);
  CHECK(result.checks > 1000);
  CHECK(result.starts >= result.finished);
}

}  // namespace

TEST_GROUP(day){};

TEST(day, one_seed_is_one_trace) {
  const auto first = day(11, {"split"}), again = day(11, {"split"}), other = day(12, {"split"});
  CHECK(first.traceSum == again.traceSum);
  LONGS_EQUAL(first.events, again.events);
  CHECK(first.traceSum != other.traceSum);
}

TEST(day, quiet_days_of_both_deployments) {
  keeps(1, {});
  keeps(2, {}, "kerala");
}

TEST(day, quays_lost_and_replaced) {
  keeps(3, {"quay-disk-lost"});
  keeps(4, {"quay-replaced-elsewhere"});
  keeps(5, {"quays-replaced-twice"});
  keeps(6, {"quays-power-lost"});
  keeps(7, {"full-disk", "quay-kill"});
}

TEST(day, workers_that_crash_cut_freeze_and_leave) {
  keeps(8, {"worker-crash", "worker-leaves"});
  keeps(9, {"worker-cut", "tender-kill"});
  keeps(10, {"worker-freeze"});
  keeps(11, {"worker-vanish", "worker-fails"});
}

TEST(day, operators_race_and_storm) {
  keeps(12, {"chart-race", "cell-emptied"});
  keeps(13, {"chart-storm", "worker-drained"});
}

TEST(day, crowds_and_jobs_that_never_succeed) {
  keeps(14, {"crowd", "never-succeed"});
  keeps(15, {"lossy-sea"});
}

TEST(day, an_order_for_a_worker_s_earlier_life_is_not_carried_out) {
  keeps(14, {"all-restart"});
  keeps(5, {"cell-lost"});
}

TEST(day, a_clean_end_taken_while_cut_from_the_leader_is_not_run_again) {
  keeps(11, {"split"});
  keeps(12, {"split"});
  keeps(2, {"leader-kill-after-yes"});
  keeps(3, {"cut-off-alone"});
}

TEST(day, work_pushed_aside_again_and_again_still_ends) {
  keeps(132, {"quay-kill", "crowd"});
}
