#include "berth/berth.hpp"

#include <algorithm>
#include <numeric>

namespace tulip::berth {

bool fits(const Room& need, const Room& free) {
  if (need.slots > free.slots) return false;
  for (const auto& [name, amount] : need.more) {
    auto found = free.more.find(name);
    if (amount > (found == free.more.end() ? 0 : found->second)) return false;
  }
  return true;
}

void add(Room& into, const Room& room) {
  into.slots += room.slots;
  for (const auto& [name, amount] : room.more) into.more[name] += amount;
}

void take(Room& from, const Room& room) {
  from.slots -= room.slots;
  for (const auto& [name, amount] : room.more) from.more[name] -= amount;
}

bool suits(const Need& need, const Berth& berth) {
  if (!berth.usable || !fits(need.room, berth.total)) return false;
  for (const auto& [name, value] : need.labels) {
    auto found = berth.labels.find(name);
    if (found == berth.labels.end() || found->second != value) return false;
  }
  return true;
}

std::optional<Match> match(std::span<const Need> needs, std::span<const Berth> berths, std::vector<Room>& free,
                           chart::Layout layout) {
  std::vector<std::size_t> order(needs.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return needs[a].room.slots > needs[b].room.slots; });
  std::vector<Room> left = free;
  std::vector<int> mine(berths.size(), 0);
  Match chosen(needs.size(), berths.size());
  for (const auto at : order) {
    const auto& need = needs[at];
    std::size_t best = berths.size();
    for (std::size_t i = 0; i < berths.size(); ++i) {
      if (!suits(need, berths[i]) || !fits(need.room, left[i])) continue;
      if (best == berths.size()) {
        best = i;
        continue;
      }
      const auto doubt = [&](std::size_t at) { return berths[at].doubt + (!need.avoid.empty() && need.avoid == berths[at].worker); };
      if (doubt(i) != doubt(best)) {
        if (doubt(i) < doubt(best)) best = i;
        continue;
      }
      if (layout == chart::Layout::pack) {
        if (std::pair(-mine[i], left[i].slots) < std::pair(-mine[best], left[best].slots)) best = i;
      } else if (std::pair(mine[i], -left[i].slots) < std::pair(mine[best], -left[best].slots)) {
        best = i;
      }
    }
    if (best == berths.size()) return std::nullopt;
    chosen[at] = best;
    ++mine[best];
    take(left[best], need.room);
  }
  free = std::move(left);
  return chosen;
}

bool couldEverFit(std::span<const Need> needs, const chart::Chart& chart) {
  std::vector<Berth> berths;
  std::vector<Room> free;
  for (const auto& [name, pool] : chart.pools)
    for (std::int64_t i = 0; i < std::min<std::int64_t>(pool.workers, static_cast<std::int64_t>(needs.size())); ++i) {
      berths.push_back({{}, {}, pool.name, pool.labels, {pool.slots, pool.room}, true, 0});
      free.push_back(berths.back().total);
    }
  return match(needs, berths, free, chart::Layout::pack).has_value();
}

}  // namespace tulip::berth
