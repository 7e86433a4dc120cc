// What accepted jobs make a scheduler hold.
#include <CppUTest/TestHarness.h>

#include <malloc.h>

#include "config_of.hpp"
#include "leading_scheduler.hpp"
#include "scheduler/internal.hpp"
#include "scheduler/job_memory.hpp"

using namespace tulip;
using namespace tulip::transport;

namespace {

constexpr Millis kWallMs = 1796420400000;
constexpr std::size_t kMostHeapBytes = 64u << 20;  // of a daemon
constexpr int kJobs = 60;

JobId jobName(int number) { return JobId("j" + std::to_string(100000 + number)); }

/// Each hour for a year, one task each.
jobs::Spec hourly(int number) {
  jobs::Spec spec;
  spec.id = jobName(number);
  spec.pending = QueueName("q");
  spec.plainNames = false;
  spec.times = 8760;
  spec.everyMs = 3600000;
  spec.firstWallMs = kWallMs;
  spec.steps.resize(1);
  spec.steps[0].name = "0";
  spec.steps[0].need.more["cpu"] = 500;
  return spec;
}

/// In use, of the allocator of the release build; sanitizers have their own, which tells nothing here.
std::size_t heapBytes() {
  const auto heap = mallinfo2();
  return heap.uordblks + heap.hblkhd;
}

}  // namespace

TEST_GROUP(job_memory) {
  fixture::LeadingScheduler leader;
  scheduler::SchedulerState& scheduler = leader.state;

  void lead(const std::vector<Entry>& entries) {
    leader.wallMs = kWallMs;
    leader.lead(entries);
    scheduler.client.config = fixture::configOf(R"({"pools":{"p":{"slots":0}},"pendings":{"q":{"pool":"p"}}})");
  }

  void submit(jobs::Spec spec) {
    scheduler::submitSpec(scheduler, {1, true, {}}, std::move(spec), leader.now(), leader.out);
  }

  void commit() {
    leader.commit();
    leader.out = {};
  }
};

// Guards against review case 4: accepted jobs of thousands of times took every scheduler that led over its memory.
TEST(job_memory, a_leader_bears_jobs_that_run_each_hour_for_a_year) {
  lead({});
  const auto before = heapBytes();
  for (int i = 0; i < kJobs; ++i) submit(hourly(i));
  commit();
  LONGS_EQUAL(kJobs, scheduler.committedJobs.size());
  CHECK(heapBytes() < before + kMostHeapBytes);
}

// Guards against review case 4: each next scheduler went over its memory as it read what was accepted.
TEST(job_memory, a_scheduler_that_takes_over_bears_jobs_that_run_each_hour_for_a_year) {
  std::vector<Entry> entries;
  for (int i = 0; i < kJobs; ++i) {
    const auto spec = std::make_shared<const jobs::Spec>(hourly(i));
    for (auto& entry : leader.entriesOf(jobs::makeJob(spec))) entries.push_back(std::move(entry));
  }
  const auto before = heapBytes();
  lead(entries);
  LONGS_EQUAL(kJobs, scheduler.committedJobs.size());
  CHECK(heapBytes() < before + kMostHeapBytes);
}

// Guards against open jobs that together are past the memory: what can't be borne is refused before it is acknowledged,
// the largest first.
TEST(job_memory, large_jobs_are_refused_and_small_ones_go_on_being_taken) {
  lead({});
  const auto mostBytes = jobBytes(scheduler.client.settings.limits);
  const auto before = heapBytes();
  int large = 0;
  for (int i = 0; i < 9000; ++i) {
    auto spec = hourly(i);
    spec.steps.resize(40, spec.steps.front());
    for (auto& step : spec.steps) step.payload = std::string(4000, 'x');
    const auto open = scheduler.open.size();
    submit(std::move(spec));
    large += scheduler.open.size() > open;
    if (i % 100 == 0) commit();
  }
  CHECK(large > 10);
  CHECK(large < 9000);
  for (int i = 0; i < 200; ++i) submit(hourly(10000 + i));
  commit();
  LONGS_EQUAL(large + 200, scheduler.open.size());
  CHECK(scheduler.openJobBytes <= mostBytes);
  CHECK(heapBytes() < before + mostBytes);
  std::size_t sum = 0;
  for (const auto& id : scheduler.open) sum += scheduler::acceptedBytes(*scheduler.jobs.at(id).spec);
  LONGS_EQUAL(sum, scheduler.openJobBytes);
  for (const auto& id : std::vector<JobId>(scheduler.open.begin(), scheduler.open.end()))
    scheduler::cancelJob(scheduler, {1, true, {}}, id, leader.now(), leader.out);
  LONGS_EQUAL(0, scheduler.openJobBytes);
}
