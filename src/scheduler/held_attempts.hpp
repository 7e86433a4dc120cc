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

/// One attempt that holds capacity, as its worker's orders tell of it.
struct Holding {
  std::size_t task = 0;
  std::int64_t attempt = 0;
  WorkerId worker;
  bool stopping = false;
  bool operator==(const Holding&) const = default;
};

/// In the order of the tasks.
std::vector<Holding> holdingsOf(const jobs::Job& job);

/// Adds all that the job holds.
void addHoldings(HeldAttempts& held, const jobs::Job& job);

/// Takes out what the job no longer holds, and adds what it newly holds. Calls `changed` for each worker whose orders
/// are other ones now.
template <class Changed>
void updateHoldings(HeldAttempts& held, const jobs::Job& job, std::span<const Holding> before,
                    std::span<const Holding> after, Changed&& changed);

namespace detail {
void take(HeldAttempts& held, const jobs::Job& job, const Holding& holding);
void put(HeldAttempts& held, const jobs::Job& job, const Holding& holding);
}  // namespace detail

template <class Changed>
void updateHoldings(HeldAttempts& held, const jobs::Job& job, std::span<const Holding> before,
                    std::span<const Holding> after, Changed&& changed) {
  std::size_t was = 0, is = 0;
  while (was < before.size() || is < after.size()) {
    const bool onlyBefore = is == after.size() || (was < before.size() && before[was].task < after[is].task);
    const bool onlyAfter = was == before.size() || (is < after.size() && after[is].task < before[was].task);
    if (!onlyBefore && !onlyAfter && before[was] == after[is]) {
      ++was;
      ++is;
      continue;
    }
    if (!onlyAfter) {
      detail::take(held, job, before[was]);
      changed(before[was++].worker);
    }
    if (!onlyBefore) {
      detail::put(held, job, after[is]);
      changed(after[is++].worker);
    }
  }
}

}  // namespace tulip::scheduler
