#include "admission/placement.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace tulip::admission {

namespace {

constexpr int kAvoided = 10000;
constexpr int kLeaving = 10;
constexpr int kSameFit = kWorker / 16;

}  // namespace

Deck makeDeck(std::span<const placement::WorkerCapacity> workers, config::Layout layout, double farFactor) {
  Deck deck;
  deck.layout = layout;
  deck.farDoubt = std::max(1, static_cast<int>(std::lround(10 * (farFactor - 1))));
  placement::Load most{};
  absl::flat_hash_map<std::string_view, std::uint32_t> racks;
  for (const auto& worker : workers) {
    for (std::size_t i = 0; i + 1 < placement::kMostKinds; ++i) {
      most[i] = std::max({most[i], worker.total[i], worker.free[i]});
      if (worker.total[i] != 0 || worker.free[i] != 0) deck.kinds = std::max(deck.kinds, i + 1);
    }
    deck.doubt.push_back(worker.doubt + (worker.leavesInMs >= 0 ? kLeaving : 0));
    deck.rack.push_back(racks.try_emplace(worker.rack, static_cast<std::uint32_t>(racks.size())).first->second);
  }
  for (std::size_t i = 0; i < deck.kinds; ++i)
    deck.weight[i] = most[i] > 0 ? kWorker / static_cast<double>(most[i]) : 0;
  return deck;
}

int burden(const Deck& deck, const Demand& demand, std::size_t task, std::uint32_t at) {
  return deck.doubt[at] + (demand.near != kNowhere && deck.rack[at] != demand.near ? deck.farDoubt : 0) +
         (demand.avoided(task) == at ? kAvoided : 0);
}

std::uint32_t pick(const Deck& deck, const Demand& demand, std::size_t task, std::span<const std::uint32_t> among,
                   const Capacities& capacities, Tally& tally) {
  tally.looks += among.size();
  const auto& need = demand.load(task);
  std::uint32_t best = kNowhere;
  std::tuple<int, int, int> bestKey;
  for (const auto at : among) {
    if (!deck.fits(need, capacities.load[at])) continue;
    const int mine = tally.count[at];
    if (demand.apart > 0 && mine >= demand.apart) continue;
    const int heavy = burden(deck, demand, task, at);
    const auto key = deck.layout == config::Layout::pack ? std::tuple(heavy, capacities.score[at] / kSameFit, mine)
                                                         : std::tuple(heavy, mine, -capacities.score[at]);
    if (best != kNowhere && key >= bestKey) continue;
    best = at;
    bestKey = key;
  }
  return best;
}

const std::vector<std::size_t>& Matcher::bySize(const Deck& deck, const Demand& demand) {
  order.resize(demand.count);
  std::iota(order.begin(), order.end(), 0);
  if (!demand.alike())
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      return deck.score(demand.load(a)) > deck.score(demand.load(b));
    });
  return order;
}

bool Matcher::greedy(const Deck& deck, const Demand& demand, std::span<const std::uint32_t> among,
                     const Capacities& capacities, Tally& tally) {
  for (const auto at : among) {
    scratch.load[at] = capacities.load[at];
    scratch.score[at] = capacities.score[at];
  }
  chosen.assign(demand.count, kNowhere);
  heaviest = 0;
  bool whole = true;
  for (const auto task : order) {
    const auto at = pick(deck, demand, task, among, scratch, tally);
    if (at == kNowhere) {
      whole = false;
      break;
    }
    chosen[task] = at;
    heaviest = std::max(heaviest, burden(deck, demand, task, at));
    deck.take(scratch, at, demand.load(task));
    ++tally.count[at];
  }
  for (const auto at : chosen)
    if (at != kNowhere) --tally.count[at];
  return whole;
}

bool Matcher::together(const Deck& deck, const Demand& demand, std::span<const std::uint32_t> among,
                       const Capacities& capacities, Tally& tally) {
  scratch.load.resize(capacities.load.size());
  scratch.score.resize(capacities.score.size());
  bySize(deck, demand);
  spread = false;
  if (!greedy(deck, demand, among, capacities, tally)) return false;
  const auto onMany = [&] {
    return std::any_of(chosen.begin(), chosen.end(), [&](auto at) { return deck.rack[at] != deck.rack[chosen[0]]; });
  };
  if (!demand.oneRack || demand.count < 2 || !onMany()) return true;
  best = chosen;
  std::pair<int, int> bestKey{heaviest + deck.farDoubt, 0};
  spread = true;
  racks.clear();
  for (const auto at : among)
    if (std::find(racks.begin(), racks.end(), deck.rack[at]) == racks.end()) racks.push_back(deck.rack[at]);
  for (const auto rack : racks) {
    part.clear();
    int free = 0;
    for (const auto at : among)
      if (deck.rack[at] == rack) {
        part.push_back(at);
        free += std::max(capacities.score[at], 0) / kSameFit;
      }
    if (!greedy(deck, demand, part, capacities, tally)) continue;
    const std::pair key{heaviest, free};
    if (key >= bestKey) continue;
    best = chosen;
    bestKey = key;
    spread = false;
  }
  chosen.swap(best);
  return true;
}

}  // namespace tulip::admission
