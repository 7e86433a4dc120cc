#pragma once
#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "placement/capacity.hpp"

namespace tulip::admission {

constexpr std::uint32_t kNowhere = UINT32_MAX;
constexpr int kWorker = 1 << 16;  // the score of a whole free worker in one kind

// The capacities of all workers, with a score of how much of a whole worker each is.
struct Capacities {
  std::vector<placement::Load> load;
  std::vector<int> score;
};

// What placement knows of the workers, as plain numbers.
struct Deck {
  std::size_t kinds = 0;  // places of a load that any worker offers
  std::array<double, placement::kMostKinds> weight{};
  std::vector<int> doubt;
  std::vector<std::uint32_t> rack;
  config::Layout layout = config::Layout::pack;
  int farDoubt = 0;  // what work away from its rack counts in doubt

  bool fits(const placement::Load& need, const placement::Load& capacity) const {
    for (std::size_t i = 0; i < kinds; ++i)
      if (need[i] > capacity[i] && need[i] > 0) return false;
    return true;
  }
  bool within(const placement::Load& low, const placement::Load& high) const {
    for (std::size_t i = 0; i < kinds; ++i)
      if (low[i] > high[i]) return false;
    return true;
  }
  bool offered(const placement::Load& need) const {
    for (std::size_t i = kinds; i < placement::kMostKinds; ++i)
      if (need[i] > 0) return false;
    return true;
  }
  int score(const placement::Load& load) const {
    double sum = 0;
    for (std::size_t i = 0; i < kinds; ++i) sum += static_cast<double>(load[i]) * weight[i];
    return static_cast<int>(sum);
  }
  void add(Capacities& capacities, std::uint32_t at, const placement::Load& load) const {
    for (std::size_t i = 0; i < kinds; ++i) capacities.load[at][i] += load[i];
    capacities.score[at] = score(capacities.load[at]);
  }
  void take(Capacities& capacities, std::uint32_t at, const placement::Load& load) const {
    for (std::size_t i = 0; i < kinds; ++i) capacities.load[at][i] -= load[i];
    capacities.score[at] = score(capacities.load[at]);
  }
};

Deck makeDeck(std::span<const placement::WorkerCapacity> workers, config::Layout layout, double farFactor);

// Tasks to place, as plain numbers.
struct Demand {
  std::span<const placement::Load> loads;  // one for each task, or a single one for all
  std::size_t count = 0;
  std::int64_t apart = 0;
  std::uint32_t near = kNowhere;
  bool oneRack = false;
  std::span<const std::uint32_t> avoid;  // worker for each task, or none

  const placement::Load& load(std::size_t at) const { return loads[loads.size() == 1 ? 0 : at]; }
  bool alike() const { return loads.size() == 1; }
  std::uint32_t avoided(std::size_t at) const { return avoid.empty() ? kNowhere : avoid[at]; }
};

// How many of the unit's tasks are on each worker.
struct Tally {
  std::vector<int> count;
  std::vector<std::uint32_t> touched;
  std::size_t looks = 0;  // at a worker for a task

  void put(std::uint32_t at, int amount) {
    count[at] += amount;
    touched.push_back(at);
  }
  void clear() {
    for (const auto at : touched) count[at] = 0;
    touched.clear();
  }
};

int burden(const Deck& deck, const Demand& demand, std::size_t task, std::uint32_t at);
std::uint32_t pick(const Deck& deck, const Demand& demand, std::size_t task, std::span<const std::uint32_t> among,
                   const Capacities& capacities, Tally& tally);

// Places tasks together and reuses its memory from call to call.
struct Matcher {
  std::vector<std::uint32_t> chosen;  // the result: a worker for each task
  bool spread = false;                // the result is on more than one rack
  bool together(const Deck& deck, const Demand& demand, std::span<const std::uint32_t> among,
                const Capacities& capacities, Tally& tally);

  const std::vector<std::size_t>& bySize(const Deck& deck, const Demand& demand);

 private:
  Capacities scratch;
  std::vector<std::size_t> order;
  std::vector<std::uint32_t> racks, part, best;
  int heaviest = 0;
  bool greedy(const Deck& deck, const Demand& demand, std::span<const std::uint32_t> among,
              const Capacities& capacities, Tally& tally);
};

}  // namespace tulip::admission
