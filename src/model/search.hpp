#pragma once
#include <cstdint>

#include "model/walk.hpp"

namespace tulip::model {

/// Bounds of a search. What a bound cuts off is not explored; the result says
/// whether anything was.
struct SearchPlan {
  std::size_t states = 20000;
  int depth = 12;         ///< choices of a path
  int losses = 2;         ///< processes ended, disks emptied, nodes replaced
  int messageFaults = 2;  ///< messages lost, doubled or set aside
  int orders = 2;
  int spans = 3;                     ///< times that the world runs on
  std::uint64_t progressEvery = 64;  ///< progress is checked from one in so many states
};

struct SearchResult {
  std::size_t states = 0;
  std::uint64_t transitions = 0;
  std::uint64_t progressChecks = 0;
  int depth = 0;          ///< of the deepest state
  bool exhausted = true;  ///< everything within the bounds of choices and depth was explored
  PathResult failure;
};

/// Breadth first over all choices within the plan, by fingerprints: the first
/// failure is one of the shortest.
SearchResult runSearch(const World& from, const SearchPlan& plan);

}  // namespace tulip::model
