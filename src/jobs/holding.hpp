#pragma once
/// What of a job holds capacity, attempt by attempt.
#include <cstdint>
#include <vector>

#include "base/types.hpp"

namespace tulip::jobs {

struct Job;

/// One attempt that holds capacity, as its worker's orders tell of it.
struct Holding {
  std::size_t task = 0;
  std::int64_t attempt = 0;
  WorkerId worker;  // empty: the task holds nothing
  bool stopping = false;
  bool holds() const { return !worker.empty(); }
  bool operator==(const Holding&) const = default;
};

/// What the task holds.
Holding holdingOf(const Job& job, std::size_t task);
/// All that the job holds, in the order of the tasks.
std::vector<Holding> holdingsOf(const Job& job);

/// Keeps, before a change, what the task holds.
void noteHolding(Job& job, std::size_t task);
/// What the tasks held that were changed since the last call, each as it was before its first change; in the order of
/// the tasks.
std::vector<Holding> takeChangedHoldings(Job& job);

}  // namespace tulip::jobs
