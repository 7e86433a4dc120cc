// What a job costs goes with what is due or at work of it, not with what it will ever run.
#include "jobs/task_table.hpp"

#include <CppUTest/TestHarness.h>

#include <random>
#include <set>

#include "jobs/job.hpp"

using namespace tulip;
using namespace tulip::jobs;
using transport::AttemptOutcome;

namespace {

constexpr std::int64_t kHoursOfAYear = 8760;
constexpr Millis kHourMs = 3600000;

Spec twoSteps(std::int64_t times) {
  Spec spec;
  spec.id = JobId("00ff");
  spec.plainNames = false;
  spec.times = times;
  spec.everyMs = kHourMs;
  spec.steps.resize(2);
  spec.steps[0].name = "0";
  spec.steps[0].count = 2;
  spec.steps[1].name = "1";
  spec.steps[1].after = {0};
  for (auto& step : spec.steps) step.need.more["cpu"] = 500;
  return spec;
}

Job timedJob(std::int64_t times) { return makeJob(std::make_shared<const Spec>(twoSteps(times))); }

/// Starts and cleanly ends all that is ready. Returns the most rows that were held meanwhile.
std::size_t runWhatIsReady(Job& job, Millis nowMs) {
  std::size_t mostRows = 0;
  for (auto groups = readyGroups(job, nowMs); !groups.empty(); groups = readyGroups(job, nowMs)) {
    for (const auto at : groups.front()) startRun(job, at, WorkerId("w"), "life", nowMs, 50);
    mostRows = std::max(mostRows, job.tasks.rows().size());
    for (const auto at : groups.front())
      endRun(job, at, AttemptOutcome::clean, "", {}, nowMs + 1000 + static_cast<Millis>(at % 97));
    STRCMP_EQUAL("", checkJob(job).c_str());
  }
  return mostRows;
}

}  // namespace

TEST_GROUP(task_table){};

TEST(task_table, times_to_come_and_times_that_are_over_hold_no_rows) {
  auto job = timedJob(kHoursOfAYear);
  LONGS_EQUAL(0, job.tasks.rows().size());
  for (std::int64_t hour = 0; hour < 500; ++hour) {
    CHECK(runWhatIsReady(job, hour * kHourMs) <= 2);
    LONGS_EQUAL(0, job.tasks.rows().size());
    LONGS_EQUAL(0, job.tasks.tallies().size());
    LONGS_EQUAL(3 * (hour + 1), job.doneTasks);
  }
  LONGS_EQUAL(1, job.tasks.folded().ranges().size());
  CHECK(packJob(job).size() < 100);
  Job again;
  CHECK(unpackJob(packJob(job), job.spec, again));
  LONGS_EQUAL(job.doneTasks, again.doneTasks);
  LONGS_EQUAL(0, again.tasks.rows().size());
  LONGS_EQUAL(0, readyGroups(again, 499 * kHourMs).size());
  LONGS_EQUAL(1, readyGroups(again, 500 * kHourMs).size());
}

TEST(task_table, all_times_run_once_each_and_the_job_finishes) {
  auto job = timedJob(300);
  runWhatIsReady(job, 299 * kHourMs);
  CHECK(job.state == JobState::finished);
  LONGS_EQUAL(900, job.doneTasks);
}

TEST(task_table, a_wide_step_holds_rows_for_what_is_at_work) {
  auto spec = twoSteps(0);
  spec.steps[0].count = 10000;
  auto job = makeJob(std::make_shared<const Spec>(std::move(spec)));
  const auto ready = readyGroups(job, 0);
  LONGS_EQUAL(10000, ready.front().size());
  for (std::size_t i = 0; i < 9000; ++i) {
    startRun(job, ready.front()[i], WorkerId("w"), "life", 0, 50);
    if (i >= 20) endRun(job, ready.front()[i - 20], AttemptOutcome::clean, "", {}, 10);
    CHECK(job.tasks.rows().size() <= 21);
  }
  STRCMP_EQUAL("", checkJob(job).c_str());
  LONGS_EQUAL(1000, readyGroups(job, 10).front().size());
}

// A record of a build that held a row for each task: each time at work stands in it by itself.
TEST(task_table, a_record_with_a_row_for_each_ended_task_reads) {
  auto spec = twoSteps(0);
  spec.steps[0].count = 50;
  spec.plainNames = true;  // keeps its rows
  auto old = makeJob(std::make_shared<const Spec>(spec));
  for (std::size_t at = 0; at < 40; ++at) startRun(old, at, WorkerId("w"), "life", 0, 50);
  for (std::size_t at = 0; at < 30; ++at) endRun(old, at, AttemptOutcome::clean, "", {}, 100 + 10 * Millis(at));
  LONGS_EQUAL(40, old.tasks.rows().size());
  spec.plainNames = false;
  Job job;
  CHECK(unpackJob(packJob(old), std::make_shared<const Spec>(spec), job));
  STRCMP_EQUAL("", checkJob(job).c_str());
  LONGS_EQUAL(10, job.tasks.rows().size());
  LONGS_EQUAL(30, job.doneTasks);
  LONGS_EQUAL(10, job.holding);
  const auto tally = job.tallyOf(0);
  LONGS_EQUAL(30, tally.done);
  LONGS_EQUAL(10, tally.placed);
  LONGS_EQUAL(10, tally.pending);
  LONGS_EQUAL(245, job.tasks.foldedRanMs(0));
}

TEST(task_table, ranges_hold_what_was_inserted) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 dice(seed);
    IndexRanges ranges;
    std::set<std::uint32_t> model;
    for (int turn = 0; turn < 100; ++turn) {
      const auto begin = static_cast<std::uint32_t>(dice() % 300);
      if (model.contains(begin)) continue;
      auto end = begin + 1;
      while (end < begin + dice() % 8 && !model.contains(end)) ++end;
      ranges.insert(begin, end);
      for (auto i = begin; i < end; ++i) model.insert(i);
      LONGS_EQUAL(model.size(), ranges.size());
    }
    for (std::uint32_t i = 0; i < 310; ++i) {
      CHECK(model.contains(i) == ranges.contains(i));
      auto absent = i;
      while (model.contains(absent)) ++absent;
      LONGS_EQUAL(absent, ranges.nextAbsent(i));
      const auto end = i + 20;
      LONGS_EQUAL(std::distance(model.lower_bound(i), model.lower_bound(end)), ranges.countIn(i, end));
    }
    for (auto range = ranges.ranges().begin(); std::next(range) != ranges.ranges().end(); ++range)
      CHECK(range->second < std::next(range)->first);
  }
}
