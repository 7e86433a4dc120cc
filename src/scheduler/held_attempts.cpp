#include "scheduler/held_attempts.hpp"

namespace tulip::scheduler {

namespace detail {

void take(HeldAttempts& held, const jobs::Job& job, const Holding& holding) {
  const auto worker = held.find(holding.worker);
  if (worker != held.end()) worker->second.erase(jobs::attemptIdOf(job, holding.task, holding.attempt));
}

void put(HeldAttempts& held, const jobs::Job& job, const Holding& holding) {
  held[holding.worker].insert_or_assign(jobs::attemptIdOf(job, holding.task, holding.attempt),
                                        std::pair(job.id, holding.task));
}

}  // namespace detail

std::vector<Holding> holdingsOf(const jobs::Job& job) {
  std::vector<Holding> holdings;
  if (job.holding == 0) return holdings;
  holdings.reserve(static_cast<std::size_t>(job.holding));
  for (const auto& [task, each] : job.tasks.rows())
    if (each.holds()) holdings.push_back({task, each.attempts, each.worker, each.stopping});
  return holdings;
}

void addHoldings(HeldAttempts& held, const jobs::Job& job) {
  for (const auto& holding : holdingsOf(job)) detail::put(held, job, holding);
}

}  // namespace tulip::scheduler
