#include "scheduler/held_attempts.hpp"

namespace tulip::scheduler {

void replaceHolding(HeldAttempts& held, const jobs::Job& job, const jobs::Holding& before, const jobs::Holding& now) {
  if (before.holds()) {
    const auto worker = held.find(before.worker);
    if (worker != held.end()) worker->second.erase(jobs::attemptIdOf(job, before.task, before.attempt));
  }
  if (now.holds())
    held[now.worker].insert_or_assign(jobs::attemptIdOf(job, now.task, now.attempt), std::pair(job.id, now.task));
}

void addHoldings(HeldAttempts& held, const jobs::Job& job) {
  for (const auto& holding : jobs::holdingsOf(job)) replaceHolding(held, job, {}, holding);
}

void updateHoldings(HeldAttempts& held, const jobs::Job& job, std::span<const jobs::Holding> before) {
  for (const auto& each : before)
    if (const auto now = jobs::holdingOf(job, each.task); now != each) replaceHolding(held, job, each, now);
}

}  // namespace tulip::scheduler
