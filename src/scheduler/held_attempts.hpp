#pragma once
/// The attempts that hold capacity, by worker, kept in line with the jobs as they change. A change of a job costs what
/// it changes, not what the job holds.
#include <map>
#include <span>
#include <utility>
#include <vector>

#include "jobs/job.hpp"

namespace tulip::scheduler {

/// The job and the place of the task of each attempt.
using HeldAttempts = std::map<WorkerId, std::map<AttemptId, std::pair<JobId, std::size_t>>>;

/// Adds all that the job holds.
void addHoldings(HeldAttempts& held, const jobs::Job& job);

/// Brings in line what the tasks of the job hold that are named, of which `before` tells what they held.
void updateHoldings(HeldAttempts& held, const jobs::Job& job, std::span<const jobs::Holding> before);

/// Puts what a task holds now in the place of what it held.
void replaceHolding(HeldAttempts& held, const jobs::Job& job, const jobs::Holding& before, const jobs::Holding& now);

/// Takes out what the job no longer holds, and adds what it newly holds, between two states of it. Calls `changed` for
/// each worker whose orders are other ones now.
template <class Changed>
void updateHoldings(HeldAttempts& held, const jobs::Job& job, std::span<const jobs::Holding> before,
                    std::span<const jobs::Holding> after, Changed&& changed) {
  std::size_t was = 0, is = 0;
  while (was < before.size() || is < after.size()) {
    const bool onlyBefore = is == after.size() || (was < before.size() && before[was].task < after[is].task);
    const bool onlyAfter = was == before.size() || (is < after.size() && after[is].task < before[was].task);
    if (!onlyBefore && !onlyAfter && before[was] == after[is]) {
      ++was;
      ++is;
      continue;
    }
    const auto old = onlyAfter ? jobs::Holding{} : before[was++];
    const auto now = onlyBefore ? jobs::Holding{} : after[is++];
    replaceHolding(held, job, old, now);
    if (old.holds()) changed(old.worker);
    if (now.holds()) changed(now.worker);
  }
}

}  // namespace tulip::scheduler
