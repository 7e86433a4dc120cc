#pragma once
#include <cstdint>
#include <string_view>

namespace tulip {

inline constexpr std::uint64_t kFnvOffset = 1469598103934665603ull;
inline constexpr std::uint64_t kFnvPrime = 1099511628211ull;

/// FNV-1a over the text, carried on from hash.
constexpr std::uint64_t fnv1a(std::string_view text, std::uint64_t hash = kFnvOffset) {
  for (const char each : text) hash = (hash ^ static_cast<unsigned char>(each)) * kFnvPrime;
  return hash;
}

}  // namespace tulip
