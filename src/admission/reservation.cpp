// Capacity that isn't free now: expected by a time, waited for, or kept for one unit.
#include <algorithm>

#include "admission/planner.hpp"

namespace tulip::admission {

namespace {
constexpr std::size_t kMostFills = 512;
}  // namespace

// Keeps capacity at a worker: free capacity first, then what is coming.
void Planner::claim(std::uint32_t worker, const placement::Load& need, bool reserved) {
  for (std::size_t i = 0; i < deck.kinds; ++i) {
    const auto first = std::min(std::max<std::int64_t>(free.load[worker][i], 0), need[i]);
    free.load[worker][i] -= first;
    if (reserved) kept[worker][i] += first;
  }
  free.score[worker] = deck.score(free.load[worker]);
  deck.take(soon, worker, need);
}

void Planner::findEndings() {
  if (std::exchange(endingsKnown, true)) return;
  endings.resize(field.workers.size());
  for (const auto& job : jobs)
    for (const auto& run : job.runs)
      if (!run.stopping && !run.standing && run.endsInMs > 0 && run.worker < endings.size())
        endings[run.worker].push_back({run.endsInMs, &run.load});
  for (auto& each : endings)
    std::sort(each.begin(), each.end(), [](const auto& a, const auto& b) { return a.endsInMs < b.endsInMs; });
}

// Whether the tasks would fit once what is thought to end by then has ended; if they are to be by their data or on
// one rack, then there and on workers that are worth the wait.
bool Planner::fitsBy(const Batch& batch, bool whole, const Scope& scope, Millis horizonMs, bool nearOnly) {
  if (horizonMs <= 0 || ++forecasts > kMostForecasts) return false;
  findEndings();
  const auto& demand = batch.demand;
  std::vector<std::uint32_t> among;
  for (const auto at : scope.workers) {
    if (nearOnly && (deck.doubt[at] >= deck.farDoubt || (demand.near != kNowhere && deck.rack[at] != demand.near)))
      continue;
    among.push_back(at);
    scratch.load[at] = soon.load[at];
    for (const auto& ending : endings[at]) {
      if (ending.endsInMs > horizonMs) break;
      for (std::size_t i = 0; i < deck.kinds; ++i) scratch.load[at][i] += (*ending.load)[i];
    }
    scratch.score[at] = deck.score(scratch.load[at]);
  }
  if (!whole) {
    const auto found = pick(deck, demand, batch.first, among, scratch, tally);
    return found != kNowhere && !(nearOnly && found == demand.avoided(batch.first));
  }
  if (!matcher.together(deck, demand, among, scratch, tally)) return false;
  if (!nearOnly) return true;
  for (std::size_t i = 0; i < demand.count; ++i)
    if (matcher.chosen[i] == demand.avoided(i)) return false;
  return !matcher.spread;
}

// Whether work that would start away from its rack does better to wait a little for capacity there.
bool Planner::waitsForRack(const Batch& batch, bool whole, const Scope& scope) {
  if (rules.without.contains(config::Mechanism::rackWait)) return false;
  const auto& job = jobs[batch.job];
  const auto extraMs = static_cast<Millis>((field.farFactor - 1) * static_cast<double>(batch.unit.estimateMs)) / 2;
  if (!job.runs.empty() || job.readyForMs >= std::min(extraMs, rules.reserveAfterMs / 10)) return false;
  return fitsBy(batch, whole, scope, extraMs, true);
}

// What each worker would have free if only long-running work ran.
Capacities Planner::capacitiesWithoutJobs() const {
  Capacities whole = free;
  for (std::size_t i = 0; i < field.workers.size(); ++i) whole.load[i] = field.workers[i].total;
  for (const auto& job : jobs)
    for (const auto& run : job.runs)
      if (run.standing && !run.stopping && run.worker < field.workers.size())
        placement::take(whole.load[run.worker], run.load);
  for (std::size_t i = 0; i < field.workers.size(); ++i) whole.score[i] = deck.score(whole.load[i]);
  return whole;
}

// When what is placed at the worker is thought to fit there; 0 if it does now, or if no known end brings it about.
Millis Planner::reservationReadyInMs(std::uint32_t worker) const {
  auto capacity = soon.load[worker];
  const auto ready = [&] {
    for (std::size_t i = 0; i < deck.kinds; ++i)
      if (placed[worker][i] > 0 && capacity[i] < 0) return false;
    return true;
  };
  Millis byMs = 0;
  for (const auto& ending : endings[worker]) {
    if (ready()) break;
    byMs = ending.endsInMs;
    for (std::size_t i = 0; i < deck.kinds; ++i) capacity[i] += (*ending.load)[i];
  }
  return ready() ? byMs : 0;
}

bool Planner::reserve(const Unit& unit, std::size_t count) {
  auto demand = demandOf(unit);
  demand.count = count;
  for (const auto& load : unit.loads)
    if (!deck.offered(load)) return false;
  auto& scope = scopeOf(unit);
  const auto whole = capacitiesWithoutJobs();
  auto doubt = deck.doubt;
  for (std::size_t i = 0; i < field.workers.size(); ++i) deck.doubt[i] = whole.score[i] - soon.score[i];
  tallyBeside(unit);
  const bool found = matcher.together(deck, demand, scope.workers, whole, tally);
  tally.clear();
  deck.doubt = std::move(doubt);
  if (!found) return false;
  std::fill(placed.begin(), placed.end(), placement::Load{});
  for (std::size_t i = 0; i < demand.count; ++i) {
    claim(matcher.chosen[i], demand.load(i), true);
    placement::add(placed[matcher.chosen[i]], demand.load(i));
  }
  keptOn = matcher.chosen;
  std::sort(keptOn.begin(), keptOn.end());
  keptOn.erase(std::unique(keptOn.begin(), keptOn.end()), keptOn.end());
  findEndings();
  for (const auto worker : keptOn) keptForMs = std::max(keptForMs, reservationReadyInMs(worker));
  return true;
}

bool Planner::poolIdle(const Unit& unit) const {
  placement::Load total{}, unused{};
  for (const auto& worker : field.workers) {
    if (!worker.usable || (!unit.pool.empty() && worker.pool != unit.pool)) continue;
    placement::add(total, worker.total);
    placement::add(unused, worker.free);
  }
  for (std::size_t kind = 0; kind < deck.kinds; ++kind) {
    const bool needed = std::ranges::any_of(unit.loads, [&](const auto& load) { return load[kind] > 0; });
    if (needed && 2 * unused[kind] <= total[kind]) return false;
  }
  return true;
}

// Capacity kept for a reservation may be used by work that is thought to end before the reserved capacity has come
// together.
std::uint32_t Planner::fill(const Unit& unit, const Demand& demand, std::size_t task, const Scope& scope) {
  if (keptForMs <= 0 || unit.estimateMs <= 0 || unit.standing) return kNowhere;
  const auto& need = demand.load(task);
  for (const auto at : keptOn) {
    if (!scope.has[at] || ++fills > kMostFills) continue;
    if (unit.estimateMs * 3 / 2 * (10 + std::max(0, deck.doubt[at])) / 10 > keptForMs) continue;
    if (demand.apart > 0 && tally.count[at] >= demand.apart) continue;
    auto capacity = free.load[at];
    for (std::size_t i = 0; i < deck.kinds; ++i) capacity[i] = std::max<std::int64_t>(capacity[i], 0) + kept[at][i];
    if (!deck.fits(need, capacity)) continue;
    for (std::size_t i = 0; i < deck.kinds; ++i) {
      const auto first = std::min(std::max<std::int64_t>(free.load[at][i], 0), need[i]);
      free.load[at][i] -= first;
      kept[at][i] -= need[i] - first;
    }
    free.score[at] = deck.score(free.load[at]);
    return at;
  }
  return kNowhere;
}

}  // namespace tulip::admission
