#include <CppUTest/TestHarness.h>

#include <random>

#include "jobs/job.hpp"

using namespace tulip;
using namespace tulip::jobs;
using transport::AttemptOutcome;

namespace {

std::shared_ptr<const Spec> drawn(std::mt19937& dice) {
  auto below = [&](int n) { return static_cast<int>(dice() % static_cast<unsigned>(n)); };
  Spec spec;
  spec.id = JobId("00ff");
  spec.plainNames = false;
  spec.times = below(3);
  spec.everyMs = 100;
  const int steps = 1 + below(3);
  for (int s = 0; s < steps; ++s) {
    Step step;
    step.name = std::to_string(s);
    step.count = static_cast<std::uint32_t>(1 + below(6));
    step.need.more["cpu"] = 100;
    step.together = below(3) == 0;
    step.saves = below(2) == 0;
    if (s > 0 && below(2)) step.after.push_back(static_cast<std::uint32_t>(below(s)));
    spec.steps.push_back(step);
  }
  return std::make_shared<const Spec>(std::move(spec));
}

}  // namespace

TEST_GROUP(jobs){};

TEST(jobs, a_job_driven_at_random_keeps_its_invariants_and_reads_back_as_written) {
  int finished = 0, failed = 0;
  for (unsigned seed = 1; seed <= 400; ++seed) {
    std::mt19937 dice(seed);
    auto spec = drawn(dice);
    auto job = makeJob(spec);
    config::Queue line;
    line.failureLimit = 2;
    line.backoffMs = 10;
    Millis nowMs = 0;
    for (int turn = 0; turn < 300 && job.state == JobState::open; ++turn) {
      nowMs += 20;
      for (const auto& group : readyGroups(job, nowMs))
        if (dice() % 2)
          for (const auto i : group) startRun(job, i, WorkerId("w" + std::to_string(dice() % 4)), "life", nowMs, 50);
      std::vector<std::size_t> held;
      for (std::size_t i = 0; i < job.tasks.size(); ++i)
        if (job.tasks[i].holds()) held.push_back(i);
      if (!held.empty()) {
        const auto at = held[dice() % held.size()];
        const auto draw = dice() % 10;
        job.tasks.edit(at).seenSaved = draw % 2 ? "text" : "";
        endRun(job, at,
               draw < 6   ? AttemptOutcome::clean
               : draw < 7 ? AttemptOutcome::failed
               : draw < 8 ? AttemptOutcome::lost
                          : AttemptOutcome::stopped,
               "why", line, nowMs);
      }
      STRCMP_EQUAL("", checkJob(job).c_str());
      Job again;
      CHECK(unpackJob(packJob(job), spec, again));
      STRCMP_EQUAL("", checkJob(again).c_str());
      STRCMP_EQUAL(packJob(job).c_str(), packJob(again).c_str());
      LONGS_EQUAL(job.held, again.held);
      LONGS_EQUAL(job.holding, again.holding);
      for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        CHECK(job.tasks[i].worker == again.tasks[i].worker);
        LONGS_EQUAL(job.tasks[i].attempts, again.tasks[i].attempts);
        LONGS_EQUAL(job.tasks[i].failures, again.tasks[i].failures);
        CHECK(job.tasks[i].saved == again.tasks[i].saved);
        LONGS_EQUAL(i, *taskAt(job, taskName(job, i)));
      }
    }
    finished += job.state == JobState::finished;
    failed += job.state == JobState::failed;
  }
  CHECK(finished > 200);
  CHECK(failed > 5);
}

TEST(jobs, a_torn_record_of_a_job_does_not_read) {
  std::mt19937 dice(7);
  auto spec = drawn(dice);
  auto job = makeJob(spec);
  startRun(job, 0, WorkerId("w"), "life", 5, 50);
  const auto whole = packJob(job);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    Job again;
    CHECK_FALSE(unpackJob(std::string_view(whole).substr(0, size), spec, again));
  }
  Job again;
  CHECK_FALSE(unpackJob(whole, nullptr, again));
}

TEST(jobs, members_of_a_gang_share_their_attempt_and_one_clean_end_stands_for_all) {
  Spec spec;
  spec.id = JobId("00ff");
  spec.plainNames = false;
  Step step;
  step.count = 3;
  step.together = true;
  spec.steps.push_back(step);
  auto job = makeJob(std::make_shared<const Spec>(spec));
  config::Queue line;
  line.backoffMs = 0;
  for (std::size_t i = 0; i < 3; ++i) startRun(job, i, WorkerId("w"), "life", 1, 10);
  endRun(job, 1, AttemptOutcome::failed, "", line, 2);
  CHECK(job.tasks[0].stopping && job.tasks[2].stopping);
  CHECK(readyGroups(job, 3).empty());
  endRun(job, 0, AttemptOutcome::broken, "", line, 3);
  endRun(job, 2, AttemptOutcome::stopped, "", line, 3);
  CHECK_EQUAL(1u, readyGroups(job, 4).size());
  for (std::size_t i = 0; i < 3; ++i) startRun(job, i, WorkerId("w"), "life", 4, 10);
  for (std::size_t i = 0; i < 3; ++i) LONGS_EQUAL(2, job.tasks[i].attempts);
  endRun(job, 2, AttemptOutcome::clean, "", line, 9);
  LONGS_EQUAL(3, job.doneTasks);
  LONGS_EQUAL(2, job.holding);
  CHECK(job.state == JobState::open);
  endRun(job, 0, AttemptOutcome::lost, "", line, 10);
  endRun(job, 1, AttemptOutcome::clean, "", line, 10);
  CHECK(job.state == JobState::finished);
}

TEST(jobs, a_gang_has_failed_as_often_as_its_attempts_whichever_member_failed) {
  Spec spec;
  spec.id = JobId("00ff");
  spec.plainNames = false;
  Step step;
  step.count = 4;
  step.together = true;
  spec.steps.push_back(step);
  auto job = makeJob(std::make_shared<const Spec>(spec));
  config::Queue line;
  line.failureLimit = 3;
  line.backoffMs = 0;
  for (std::size_t attempt = 0; attempt < 3; ++attempt) {
    CHECK(job.ending == JobState::open);
    for (std::size_t i = 0; i < 4; ++i) startRun(job, i, WorkerId("w"), "life", 1, 10);
    for (std::size_t i = 0; i < 4; ++i)
      endRun(job, (attempt + i) % 4, i == 0 ? AttemptOutcome::failed : AttemptOutcome::broken, "", line, 2);
  }
  CHECK(job.state == JobState::failed);
}

TEST(jobs, a_standing_task_starts_again_however_it_ends) {
  Spec spec;
  spec.id = JobId("00ff");
  Step step;
  step.standing = true;
  spec.steps.push_back(step);
  auto job = makeJob(std::make_shared<const Spec>(spec));
  config::Queue line;
  line.failureLimit = 1;
  line.backoffMs = 10;
  Millis nowMs = 1;
  for (auto outcome : {AttemptOutcome::failed, AttemptOutcome::clean, AttemptOutcome::lost, AttemptOutcome::failed}) {
    CHECK_EQUAL(1u, readyGroups(job, nowMs).size());
    startRun(job, 0, WorkerId("w"), "life", nowMs, 10);
    endRun(job, 0, outcome, "", line, nowMs);
    nowMs += 100;
  }
  CHECK(job.state == JobState::open);
  endJob(job, JobState::cancelled, "", nowMs);
  CHECK(closeIfOver(job, nowMs));
}
