#include "jobs/holding.hpp"

#include <algorithm>
#include <utility>

#include "jobs/job.hpp"

namespace tulip::jobs {

namespace {

Holding holdingOf(const Task& task, std::size_t index) { return {index, task.attempts, task.worker, task.stopping}; }

}  // namespace

Holding holdingOf(const Job& job, std::size_t task) { return holdingOf(job.tasks[task], task); }

std::vector<Holding> holdingsOf(const Job& job) {
  std::vector<Holding> holdings;
  if (job.holding == 0) return holdings;
  holdings.reserve(static_cast<std::size_t>(job.holding));
  for (const auto& [index, task] : job.tasks.rows())
    if (task.holds()) holdings.push_back(holdingOf(task, index));
  return holdings;
}

void noteHolding(Job& job, std::size_t task) { job.changedHoldings.push_back(holdingOf(job, task)); }

std::vector<Holding> takeChangedHoldings(Job& job) {
  auto changed = std::exchange(job.changedHoldings, {});
  std::ranges::stable_sort(changed, {}, &Holding::task);
  const auto sameTask = [](const Holding& one, const Holding& other) { return one.task == other.task; };
  changed.erase(std::unique(changed.begin(), changed.end(), sameTask), changed.end());
  return changed;
}

}  // namespace tulip::jobs
