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

/// Keeps what the task holds, before it takes or frees capacity.
void noteHolding(Job& job, std::size_t task);
/// What the tasks held that have taken or freed capacity since the last call, each as it was before; in the order of
/// the tasks.
std::vector<Holding> takeChangedHoldings(Job& job);

}  // namespace tulip::jobs
