#pragma once
#include <array>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/types.hpp"
#include "config/config.hpp"

namespace tulip::placement {

struct Capacity {
  std::int64_t slots = 0;
  std::map<std::string, std::int64_t> more;
  bool operator==(const Capacity&) const = default;
  MSGPACK_DEFINE(slots, more)
};

bool fits(const Capacity& need, const Capacity& free);
void add(Capacity& into, const Capacity& capacity);
void take(Capacity& from, const Capacity& capacity);

using Labels = std::map<std::string, std::string>;

// Capacities as plain numbers, for plans: slots first, then the named kinds in the order of their interning.
constexpr std::size_t kMostKinds = 8;
using Load = std::array<std::int64_t, kMostKinds>;

struct Kinds {
  std::vector<std::string>
      names;  // names[i] is place i + 1 of a Load, but for the last place, which marks kinds too many
  Load load(const Capacity& capacity);  // what asks for a kind too many fits nowhere
};

bool fits(const Load& need, const Load& free);
void add(Load& into, const Load& load);
void take(Load& from, const Load& load);
// The largest share of total that need takes in any kind, 0 to 1; kinds that total lacks don't count.
double dominantShare(const Load& need, const Load& total);

struct WorkerCapacity {
  WorkerId worker;
  ZoneName zone;
  PoolName pool;
  bool poolRemoved = false;  // only work that is sent there by name still starts here
  Labels labels;
  std::string rack;
  Load total{};
  Load free{};
  bool usable = true;
  int doubt = 0;           // tenths by which work is thought to take longer here; lower goes first
  Millis leavesInMs = -1;  // what starts here and can neither end nor save by then is lost; -1: it stays
};

}  // namespace tulip::placement
