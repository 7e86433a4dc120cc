#pragma once
/// Durations counted by the part of a lease that they took: cheap enough to keep always.
#include <array>
#include <cstdint>

#include "base/types.hpp"

namespace tulip {

struct DurationHistogram {
  /// Upper bounds of the buckets, as parts of a lease; the last bucket has none.
  static constexpr std::array kLeaseShares{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0};

  std::array<std::uint64_t, kLeaseShares.size() + 1> counts{};
  Millis sumMs = 0;

  void note(Millis tookMs, Millis leaseMs) {
    std::size_t bucket = 0;
    while (bucket < kLeaseShares.size() &&
           static_cast<double>(tookMs) > kLeaseShares[bucket] * static_cast<double>(leaseMs))
      ++bucket;
    ++counts[bucket];
    sumMs += tookMs;
  }
};

}  // namespace tulip
