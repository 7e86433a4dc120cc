// Whether work could ever start on workers as the configuration names them.
#include <algorithm>
#include <numeric>

#include "admission/admission.hpp"
#include "admission/placement.hpp"

namespace tulip::admission {

namespace {

bool carriesLabels(const Unit& unit, const config::Pool& pool) {
  const bool all = std::all_of(unit.labels.begin(), unit.labels.end(), [&](const auto& label) {
    auto own = pool.labels.find(label.first);
    return own != pool.labels.end() && own->second == label.second;
  });
  if (!all || unit.needs.empty()) return all;
  return std::any_of(pool.labels.begin(), pool.labels.end(),
                     [&](const auto& label) { return label.second == unit.needs; });
}

}  // namespace

bool couldEverFit(const Unit& unit, const config::Config& config, placement::Kinds& kinds) {
  if (unit.tasks.empty() || unit.loads.empty()) return true;
  const auto needed = static_cast<std::int64_t>(unit.tasks.size());
  std::vector<placement::WorkerCapacity> workers;
  for (const auto& [name, pool] : config.pools) {
    if (!unit.pool.empty() && unit.pool != pool.name) continue;
    if (pool.slots == 0) return true;
    if (!carriesLabels(unit, pool)) continue;
    placement::WorkerCapacity made;
    made.total = made.free = kinds.load({pool.slots, pool.capacity});
    for (std::int64_t i = 0; i < std::min(pool.workers, needed); ++i) workers.push_back(made);
  }
  const auto deck = makeDeck(workers, config::Layout::pack, 1);
  std::vector<std::uint32_t> among(workers.size());
  std::iota(among.begin(), among.end(), 0);
  Capacities capacities;
  for (const auto& worker : workers) {
    capacities.load.push_back(worker.free);
    capacities.score.push_back(deck.score(worker.free));
  }
  Tally tally;
  tally.count.resize(workers.size());
  Demand demand;
  demand.loads = unit.loads;
  demand.count = unit.tasks.size();
  demand.apart = unit.apart;
  for (std::size_t i = 0; i < demand.count; ++i)
    if (!deck.offered(demand.load(i)) || pick(deck, demand, i, among, capacities, tally) == kNowhere) return false;
  return !unit.whole || Matcher{}.together(deck, demand, among, capacities, tally);
}

}  // namespace tulip::admission
