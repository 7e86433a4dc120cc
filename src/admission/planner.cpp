#include "admission/planner.hpp"

#include <algorithm>

namespace tulip::admission {

Planner::Planner(std::span<const Candidate> given, Field where, const config::Admission& admission,
                 std::span<const std::size_t> ranking)
    : jobs(given), field(std::move(where)), rules(admission) {
  const auto& workers = field.workers;
  deck = makeDeck(workers, rules.layout, field.farFactor);
  for (std::size_t i = 0; i < workers.size(); ++i) {
    rackAt.try_emplace(workers[i].rack, deck.rack[i]);
    if (workers[i].leavesInMs >= 0) leaves.push_back(workers[i].leavesInMs);
    free.load.push_back(workers[i].free);
    free.score.push_back(deck.score(workers[i].free));
  }
  std::sort(leaves.begin(), leaves.end());
  leaves.erase(std::unique(leaves.begin(), leaves.end()), leaves.end());
  soon = free;
  for (const auto& job : jobs)
    for (const auto& run : job.runs)
      if (run.stopping && run.worker < workers.size()) deck.add(soon, static_cast<std::uint32_t>(run.worker), run.load);
  scratch = free;
  kept.resize(workers.size());
  placed.resize(workers.size());
  tally.count.resize(workers.size());
  placeOf.resize(jobs.size());
  for (std::size_t i = 0; i < ranking.size(); ++i) placeOf[ranking[i]] = i;
}

Plan Planner::finish() {
  out.looks = tally.looks;
  return std::move(out);
}

bool Planner::mayUse(const Unit& unit, const placement::WorkerCapacity& worker, Millis stayMs) const {
  if (!worker.usable || (unit.pool.empty() ? worker.poolRemoved : worker.pool != unit.pool)) return false;
  if (worker.leavesInMs >= 0 && worker.leavesInMs < stayMs) return false;
  if (!unit.needs.empty() && std::none_of(worker.labels.begin(), worker.labels.end(),
                                          [&](const auto& label) { return label.second == unit.needs; }))
    return false;
  return std::all_of(unit.labels.begin(), unit.labels.end(), [&](const auto& label) {
    auto own = worker.labels.find(label.first);
    return own != worker.labels.end() && own->second == label.second;
  });
}

Scope& Planner::scopeOf(const Unit& unit) {
  const Millis stayMs = unit.saves                              ? 0
                        : unit.standing || unit.estimateMs <= 0 ? std::numeric_limits<Millis>::max()
                                                                : unit.estimateMs + unit.estimateMs / 2;
  const auto leave = static_cast<std::size_t>(std::lower_bound(leaves.begin(), leaves.end(), stayMs) - leaves.begin());
  const ScopeKey key{unit.pool.view(), unit.needs, leave, &unit.labels};
  auto [found, fresh] = scopeAt.try_emplace(key, scopes.size());
  if (!fresh) return scopes[found->second];
  Scope made;
  made.has.resize(field.workers.size());
  for (std::size_t i = 0; i < field.workers.size(); ++i) {
    if (!mayUse(unit, field.workers[i], stayMs)) continue;
    made.workers.push_back(static_cast<std::uint32_t>(i));
    made.has[i] = 1;
  }
  scopes.push_back(std::move(made));
  return scopes.back();
}

std::uint32_t Planner::indexOf(const WorkerId& worker) {
  if (workerAt.empty())
    for (std::size_t i = 0; i < field.workers.size(); ++i)
      workerAt.try_emplace(field.workers[i].worker.view(), static_cast<std::uint32_t>(i));
  auto found = workerAt.find(worker.view());
  return found == workerAt.end() ? kNowhere : found->second;
}

Demand Planner::demandOf(const Unit& unit) {
  Demand demand;
  demand.loads = unit.loads;
  demand.count = unit.tasks.size();
  demand.apart = unit.apart;
  demand.oneRack = unit.oneRack;
  if (!unit.near.empty())
    if (auto found = rackAt.find(unit.near); found != rackAt.end()) demand.near = found->second;
  avoid.clear();
  if (!rules.without.contains(config::Mechanism::avoidFailed) && unit.avoid.size() == unit.tasks.size() &&
      std::any_of(unit.avoid.begin(), unit.avoid.end(), [](const auto& worker) { return !worker.empty(); })) {
    for (const auto& worker : unit.avoid) avoid.push_back(worker.empty() ? kNowhere : indexOf(worker));
    demand.avoid = avoid;
  }
  return demand;
}

// Counts the tasks of the unit's step that run already.
void Planner::tallyBeside(const Unit& unit) {
  for (const auto& [worker, count] : unit.beside)
    if (worker < field.workers.size()) tally.put(static_cast<std::uint32_t>(worker), static_cast<int>(count));
}

std::int64_t Planner::quotaLeft(const Candidate& job) const {
  auto quota = field.quotaSlots.find(job.pending);
  if (quota == field.quotaSlots.end() || quota->second == 0) return std::numeric_limits<std::int64_t>::max();
  auto held = field.heldSlots.find(job.pending);
  return quota->second - (held == field.heldSlots.end() ? 0 : held->second);
}

bool Planner::tenantAllows(const Candidate& job, std::span<const placement::Load> needs) const {
  return job.tenant >= field.tenants.size() || withinLimit(field.tenants[job.tenant], needs);
}

// What was placed holds capacity from now on, also where it only waits for others to stop.
void Planner::countForTenant(const Candidate& job, std::span<const placement::Load> needs) {
  if (job.tenant >= field.tenants.size()) return;
  for (const auto& need : needs) placement::add(field.tenants[job.tenant].held, need);
}

bool Planner::knownMisfit(const Scope& scope, const placement::Load& low, std::size_t count) const {
  return std::any_of(scope.misfits.begin(), scope.misfits.end(),
                     [&](const auto& misfit) { return misfit.count <= count && deck.within(misfit.load, low); });
}

void Planner::noteMisfit(Scope& scope, const placement::Load& high, std::size_t count) const {
  std::erase_if(scope.misfits,
                [&](const auto& misfit) { return count <= misfit.count && deck.within(high, misfit.load); });
  if (scope.misfits.size() < kMostKnown) scope.misfits.push_back({count, high});
}

void Planner::start(std::size_t job, std::uint32_t task, std::uint32_t worker, const placement::Load& need) {
  out.starts.push_back({job, task, worker});
  deck.take(free, worker, need);
  deck.take(soon, worker, need);
}

namespace {

std::vector<placement::Load> needsOf(const Demand& demand) {
  std::vector<placement::Load> needs;
  needs.reserve(demand.count);
  for (std::size_t i = 0; i < demand.count; ++i) needs.push_back(demand.load(i));
  return needs;
}

}  // namespace

bool Planner::placeWhole(std::size_t job, const Unit& unit) {
  if (unit.tasks.empty() || unit.loads.empty()) return false;
  const auto demand = demandOf(unit);
  Batch batch{job, unit, demand, 0, demand.count, demand.load(0), demand.load(0)};
  std::int64_t slots = 0;
  for (std::size_t i = 0; i < demand.count; ++i) {
    const auto& need = demand.load(i);
    slots += need[0];
    if (demand.alike()) continue;
    for (std::size_t k = 0; k < placement::kMostKinds; ++k) {
      batch.low[k] = std::min(batch.low[k], need[k]);
      batch.high[k] = std::max(batch.high[k], need[k]);
    }
  }
  if (slots > quotaLeft(jobs[job])) return false;
  const auto needs = needsOf(demand);
  if (!tenantAllows(jobs[job], needs)) return false;
  auto& scope = scopeOf(unit);
  tallyBeside(unit);
  const bool placedNow = placeTogether(batch, scope);
  tally.clear();
  if (!placedNow) return false;
  field.heldSlots[jobs[job].pending] += slots;
  countForTenant(jobs[job], needs);
  return true;
}

bool Planner::placeTogether(const Batch& batch, Scope& scope) {
  const auto& demand = batch.demand;
  if (deck.offered(batch.high) && !knownMisfit(scope, batch.low, demand.count) && !knownMisfit(scope, batch.high, 1)) {
    ++out.tries;
    if (matcher.together(deck, demand, scope.workers, free, tally)) {
      const auto chosen = matcher.chosen;
      const bool far =
          matcher.spread || (demand.near != kNowhere && std::any_of(chosen.begin(), chosen.end(), [&](auto worker) {
                               return deck.rack[worker] != demand.near;
                             }));
      if (far && waitsForRack(batch, true, scope)) {
        ++out.passedOver;
        return false;
      }
      for (std::size_t i = 0; i < demand.count; ++i) start(batch.job, batch.unit.tasks[i], chosen[i], demand.load(i));
      return true;
    }
    if (matcher.together(deck, demand, scope.workers, soon, tally)) {
      for (std::size_t i = 0; i < demand.count; ++i) claim(matcher.chosen[i], demand.load(i), false);
      return true;
    }
    if (demand.apart == 0) noteMisfit(scope, batch.high, demand.count);
  }
  if (preempt(batch, scope)) return true;
  ++out.passedOver;
  return false;
}

std::size_t Planner::placeEach(std::size_t job, const Unit& unit) {
  if (unit.tasks.empty() || unit.loads.empty()) return 0;
  const auto demand = demandOf(unit);
  auto left = quotaLeft(jobs[job]);
  auto& scope = scopeOf(unit);
  tallyBeside(unit);
  std::int64_t took = 0;
  std::size_t found = 0;
  for (std::size_t i = 0; i < demand.count; ++i) {
    const auto& need = demand.load(i);
    if (need[0] > left || !tenantAllows(jobs[job], {&need, 1})) {
      if (demand.alike()) break;
      continue;
    }
    if (placeOne({job, unit, demand, i, 1, need, need}, scope)) {
      countForTenant(jobs[job], {&need, 1});
      ++found;
      took += need[0];
      left -= need[0];
      continue;
    }
    ++out.passedOver;
    if (!demand.alike()) continue;
    out.passedOver += demand.count - i - 1;
    break;
  }
  tally.clear();
  if (took > 0) field.heldSlots[jobs[job].pending] += took;
  return found;
}

bool Planner::placeOne(const Batch& batch, Scope& scope) {
  const auto& demand = batch.demand;
  const auto& need = batch.low;
  const auto task = batch.first;
  if (!deck.offered(need)) return false;
  if (!knownMisfit(scope, need, 1)) {
    ++out.tries;
    if (const auto found = pick(deck, demand, task, scope.workers, free, tally); found != kNowhere) {
      const bool far = demand.near != kNowhere && deck.rack[found] != demand.near;
      if (far && waitsForRack(batch, false, scope)) return false;
      if (far && (rackIsComing(batch, scope) || preemptOnRack(batch, scope))) return true;
      start(batch.job, batch.unit.tasks[task], found, need);
      tally.put(found, 1);
      return true;
    }
    if (const auto found = pick(deck, demand, task, scope.workers, soon, tally); found != kNowhere) {
      claim(found, need, false);
      tally.put(found, 1);
      return true;
    }
    if (demand.apart == 0) noteMisfit(scope, need, 1);
  }
  if (const auto found = fill(batch.unit, demand, task, scope); found != kNowhere) {
    out.starts.push_back({batch.job, batch.unit.tasks[task], found});
    tally.put(found, 1);
    return true;
  }
  return preempt(batch, scope);
}

bool Planner::wide(const Candidate& job, const Unit& unit) const {
  if (job.gang || unit.whole) return true;
  if (unit.loads.empty()) return false;
  for (std::size_t i = 0; i < deck.kinds; ++i)
    if (static_cast<double>(unit.loads[0][i]) * deck.weight[i] > kWorker / 2.0) return true;
  return false;
}

}  // namespace tulip::admission
