#include "placement/capacity.hpp"

#include <algorithm>

namespace tulip::placement {

namespace {

constexpr std::size_t kTooMany = kMostKinds - 1;

}  // namespace

bool fits(const Capacity& need, const Capacity& free) {
  if (need.slots > free.slots) return false;
  for (const auto& [name, amount] : need.more) {
    auto found = free.more.find(name);
    if (amount > (found == free.more.end() ? 0 : found->second)) return false;
  }
  return true;
}

void add(Capacity& into, const Capacity& capacity) {
  into.slots += capacity.slots;
  for (const auto& [name, amount] : capacity.more) into.more[name] += amount;
}

void take(Capacity& from, const Capacity& capacity) {
  from.slots -= capacity.slots;
  for (const auto& [name, amount] : capacity.more) from.more[name] -= amount;
}

Load Kinds::load(const Capacity& capacity) {
  Load made{};
  made[0] = capacity.slots;
  for (const auto& [name, amount] : capacity.more) {
    if (amount == 0) continue;
    auto place = static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
    if (place == names.size() && place + 1 < kTooMany) names.push_back(name);
    if (place + 1 < kTooMany)
      made[place + 1] = amount;
    else
      made[kTooMany] = 1;
  }
  return made;
}

bool fits(const Load& need, const Load& free) {
  for (std::size_t i = 0; i < kTooMany; ++i)
    if (need[i] > 0 && need[i] > free[i]) return false;
  return need[kTooMany] == 0;
}

void add(Load& into, const Load& load) {
  for (std::size_t i = 0; i < kTooMany; ++i) into[i] += load[i];
}

void take(Load& from, const Load& load) {
  for (std::size_t i = 0; i < kTooMany; ++i) from[i] -= load[i];
}

double dominantShare(const Load& need, const Load& total) {
  double share = 0;
  for (std::size_t i = 0; i < kTooMany; ++i)
    if (total[i] > 0) share = std::max(share, static_cast<double>(need[i]) / static_cast<double>(total[i]));
  return std::min(share, 1.0);
}

}  // namespace tulip::placement
