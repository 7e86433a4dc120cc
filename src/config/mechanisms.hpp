#pragma once
#include <array>
#include <bitset>
#include <cstddef>
#include <string_view>

// The scheduler's mechanisms that an operator can switch off one by one, to measure what each is worth.
namespace tulip::config {

enum class Mechanism : std::size_t {
  rackWait,     // work waits a little for capacity on its rack
  reservation,  // capacity is kept for wide work that has waited long
  lastStretch,  // work with an aim preempts only where waiting would miss it
  avoidFailed,  // a task starts elsewhere than where it failed last
  shunning,     // no work starts on workers that are slow or fail it
  moves,        // what stands still or is far too slow is stopped, to start elsewhere
  peerPace,     // tasks are held against their peers and the usual error of estimates, not against estimates as given
  count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(Mechanism::count)> kMechanismNames{
    "rackWait", "reservation", "lastStretch", "avoidFailed", "shunning", "moves", "peerPace"};

/// A set of mechanisms.
class Mechanisms {
 public:
  bool contains(Mechanism mechanism) const { return bits_[static_cast<std::size_t>(mechanism)]; }
  void insert(Mechanism mechanism) { bits_[static_cast<std::size_t>(mechanism)] = true; }
  bool operator==(const Mechanisms&) const = default;

 private:
  std::bitset<static_cast<std::size_t>(Mechanism::count)> bits_;
};

}  // namespace tulip::config
