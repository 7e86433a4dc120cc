// Which running attempts are stopped so that work before them in the order can start.
#include <algorithm>
#include <tuple>

#include "admission/planner.hpp"

namespace tulip::admission {

namespace {

constexpr std::size_t kMostPreemptionTries = 24;
constexpr std::size_t kMostRackTries = 64;

std::int64_t thousandths(const placement::Load& load, const placement::Load& total) {
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(1000 * placement::dominantShare(load, total)));
}

}  // namespace

void Planner::findVictims() {
  if (std::exchange(victimsKnown, true)) return;
  for (std::size_t job = 0; job < jobs.size(); ++job)
    if (jobs[job].counters.preemptions < rules.mostPushes) findVictimsOf(job);
  orderVictims();
}

// Attempts of a gang that are stopped together are one victim, all others one each.
void Planner::findVictimsOf(std::size_t at) {
  const auto& job = jobs[at];
  std::vector<std::pair<std::size_t, std::size_t>> gangs;  // the gang's number, its victim
  for (std::size_t r = job.runs.size(); r-- > 0;) {
    const auto& run = job.runs[r];
    if (run.stopping || run.worker >= field.workers.size()) continue;
    const auto gang = job.gang ? std::numeric_limits<std::size_t>::max() : run.gang;
    const auto known =
        std::find_if(gangs.begin(), gangs.end(), [&](const auto& each) { return gang > 0 && each.first == gang; });
    std::size_t place = victims.size();
    if (known != gangs.end()) {
      place = known->second;
    } else {
      auto& made = victims.emplace_back();
      made.job = at;
      made.place = placeOf[at];
      made.lane = laneOf(job.counters, rules);
      made.rank = job.rank;
      gangs.emplace_back(gang, place);
    }
    addRun(victims[place], r);
  }
}

void Planner::addRun(Victim& victim, std::size_t at) {
  const auto& job = jobs[victim.job];
  const auto& run = job.runs[at];
  victim.runs.push_back(at);
  victim.longRunning = victim.longRunning || run.standing;
  const auto delayMs = job.dueInMs > 0 ? std::max<Millis>(0, run.endsInMs) : 0;
  const auto share = thousandths(run.load, field.workers[run.worker].total);
  victim.lost += (run.lossMs + delayMs + 1) * share;
  victim.redone += (run.lossMs + 1) * share;
  const auto part = std::find_if(victim.parts.begin(), victim.parts.end(),
                                 [&](const auto& each) { return each.worker == run.worker; });
  if (part == victim.parts.end())
    victim.parts.push_back({static_cast<std::uint32_t>(run.worker), run.load});
  else
    placement::add(part->load, run.load);
  lowestRank = lowestLane < 0 ? job.rank : std::min(lowestRank, job.rank);
  lowestLane = std::max(lowestLane, victim.lane);
}

// At each worker, those first by which least is lost for what they take there.
void Planner::orderVictims() {
  victimsOn.resize(field.workers.size());
  for (std::size_t v = 0; v < victims.size(); ++v)
    for (std::size_t p = 0; p < victims[v].parts.size(); ++p) victimsOn[victims[v].parts[p].worker].emplace_back(v, p);
  for (std::size_t at = 0; at < victimsOn.size(); ++at) {
    const auto key = [&](const std::pair<std::size_t, std::size_t>& entry) {
      const auto& victim = victims[entry.first];
      return std::pair(victim.lost / thousandths(victim.parts[entry.second].load, field.workers[at].total),
                       -static_cast<std::int64_t>(victim.place));
    };
    std::stable_sort(victimsOn[at].begin(), victimsOn[at].end(),
                     [&](const auto& a, const auto& b) { return key(a) < key(b); });
  }
}

bool Planner::mayPreempt(const Candidate& job, std::int64_t lane, const Victim& victim) const {
  if (rules.rankFirst && job.rank != victim.rank) return job.rank > victim.rank;
  return victim.lane > lane && (!victim.longRunning || job.rank > victim.rank);
}

// The cheapest stops found by which the need would fit at the worker, beside what was chosen before.
bool Planner::priceAt(const Candidate& job, std::int64_t lane, const placement::Load& need, std::uint32_t at,
                      Price& price) const {
  price.lost = 0;
  price.place = std::numeric_limits<std::size_t>::max();
  price.picks.clear();
  price.loads.clear();
  auto capacity = scratch.load[at];
  if (deck.fits(need, capacity)) return true;
  bool enough = false;
  for (const auto& [v, p] : victimsOn[at]) {
    const auto& victim = victims[v];
    if (victim.stopped || victim.chosen || !mayPreempt(job, lane, victim)) continue;
    const auto& load = victim.parts[p].load;
    bool helps = false;
    for (std::size_t i = 0; i < deck.kinds; ++i) helps = helps || (need[i] > capacity[i] && load[i] > 0);
    if (!helps) continue;
    for (std::size_t i = 0; i < deck.kinds; ++i) capacity[i] += load[i];
    price.picks.push_back(v);
    price.loads.push_back(&load);
    enough = deck.fits(need, capacity);
    if (enough) break;
  }
  if (!enough) return false;
  dropNeedless(need, capacity, price);
  for (const auto v : price.picks) {
    price.lost += victims[v].lost;
    price.place = std::min(price.place, victims[v].place);
  }
  return true;
}

// Drops picks without which the need still fits into what the others leave.
void Planner::dropNeedless(const placement::Load& need, placement::Load capacity, Price& price) const {
  for (std::size_t i = price.picks.size(); i-- > 0;) {
    auto less = capacity;
    for (std::size_t k = 0; k < deck.kinds; ++k) less[k] -= (*price.loads[i])[k];
    if (!deck.fits(need, less)) continue;
    capacity = less;
    price.picks.erase(price.picks.begin() + static_cast<std::ptrdiff_t>(i));
    price.loads.erase(price.loads.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

// Whether a preemption is allowed at all, not known to be vain, and not made needless by what ends soon enough.
bool Planner::preemptionMayHelp(const Batch& batch, const Scope& scope) {
  const auto& job = jobs[batch.job];
  const auto lane = laneOf(job.counters, rules);
  if (rules.rule == config::Rule::fifo || preemptionTries >= kMostPreemptionTries || scope.workers.empty() ||
      !deck.offered(batch.high))
    return false;
  findVictims();
  if (lowestLane <= lane && !(rules.rankFirst && lowestRank < job.rank)) return false;
  const auto covers = [&](const Scope::VainPreemption& vain) {
    return vain.what.count <= batch.count && deck.within(vain.what.load, batch.low) && job.rank <= vain.rank &&
           (lane >= vain.lane || (rules.rankFirst && job.rank < vain.rank));
  };
  if (std::any_of(scope.vainPreemptions.begin(), scope.vainPreemptions.end(), covers)) return false;
  if (job.dueInMs == 0) return true;
  if (job.dueInMs < 0) return gaveUp(job);
  if (rules.without.contains(config::Mechanism::lastStretch)) return true;
  if (job.dueInMs > batch.unit.estimateMs || forecasts >= kMostForecasts) return false;
  return !fitsBy(batch, batch.count > 1, scope, job.dueInMs / 2, false);
}

// Chooses the worker where the task costs least, and counts it there as if its victims were stopped.
bool Planner::preemptForTask(const Batch& batch, std::size_t task, std::span<const std::uint32_t> among,
                             Preemption& found) {
  const auto& job = jobs[batch.job];
  const auto& demand = batch.demand;
  const auto lane = laneOf(job.counters, rules);
  const auto& need = demand.load(task);
  std::uint32_t cheapest = kNowhere;
  std::tuple<std::int64_t, int, std::size_t> cheapestKey;
  tally.looks += among.size();
  for (const auto worker : among) {
    if (demand.apart > 0 && tally.count[worker] >= demand.apart) continue;
    if (!priceAt(job, lane, need, worker, price)) continue;
    const std::tuple key(price.lost, burden(deck, demand, task, worker),
                         std::numeric_limits<std::size_t>::max() - price.place);
    if (cheapest != kNowhere && key >= cheapestKey) continue;
    cheapest = worker;
    cheapestKey = key;
    std::swap(price, best);
  }
  if (cheapest == kNowhere) return false;
  for (const auto v : best.picks) {
    found.victims.push_back(v);
    victims[v].chosen = true;
    for (const auto& part : victims[v].parts) deck.add(scratch, part.worker, part.load);
  }
  deck.take(scratch, cheapest, need);
  placement::add(placed[cheapest], need);
  ++tally.count[cheapest];
  found.where.emplace_back(task, cheapest);
  return true;
}

// Looks for what to stop for all tasks of the batch. False if one of them can't be helped; the victims that `found`
// names were then considered in vain.
bool Planner::findPreemption(const Batch& batch, std::span<const std::uint32_t> among, Preemption& found) {
  scratch = soon;
  std::fill(placed.begin(), placed.end(), placement::Load{});
  bool all = true;
  if (batch.count == 1) {
    all = preemptForTask(batch, batch.first, among, found);
  } else {
    for (const auto task : matcher.bySize(deck, batch.demand)) {
      all = preemptForTask(batch, task, among, found);
      if (!all) break;
    }
  }
  for (const auto& [task, worker] : found.where) --tally.count[worker];
  if (all) spareNeedless(found.victims);
  for (const auto v : found.victims) victims[v].chosen = false;
  return all;
}

// Spares the victims without which everything placed still fits, those first by which most would be lost.
void Planner::spareNeedless(std::vector<std::size_t>& picks) {
  std::stable_sort(picks.begin(), picks.end(), [&](auto a, auto b) { return victims[a].lost > victims[b].lost; });
  std::erase_if(picks, [&](auto v) {
    for (const auto& part : victims[v].parts)
      for (std::size_t i = 0; i < deck.kinds; ++i)
        if (placed[part.worker][i] > 0 && scratch.load[part.worker][i] < part.load[i]) return false;
    for (const auto& part : victims[v].parts) deck.take(scratch, part.worker, part.load);
    victims[v].chosen = false;
    return true;
  });
}

// Whether more work would be lost than `mostLoss` allows for the work that could start.
bool Planner::losesTooMuch(const Batch& batch, const Preemption& found) const {
  if (rules.mostLoss <= 0 || batch.unit.estimateMs <= 0) return false;
  std::int64_t lost = 0;
  for (const auto v : found.victims) lost += victims[v].lost;
  return static_cast<double>(lost) > rules.mostLoss * static_cast<double>(workOf(batch, found));
}

// The work that could start, by its estimate.
std::int64_t Planner::workOf(const Batch& batch, const Preemption& found) const {
  std::int64_t work = 0;
  for (const auto& [task, worker] : found.where)
    work += thousandths(batch.demand.load(task), field.workers[worker].total) * batch.unit.estimateMs;
  return work;
}

std::span<const std::uint32_t> Planner::workersOnRack(const Batch& batch, const Scope& scope) {
  onRack.clear();
  for (const auto at : scope.workers)
    if (deck.rack[at] == batch.demand.near && deck.doubt[at] < deck.farDoubt && at != batch.demand.avoided(batch.first))
      onRack.push_back(at);
  return onRack;
}

// Whether the task may wait for capacity on its rack that others are giving up: it could still make its aim.
bool Planner::rackIsComing(const Batch& batch, const Scope& scope) {
  if (rules.mostRackLoss <= 0 || jobs[batch.job].dueInMs <= 0) return false;
  const auto found = pick(deck, batch.demand, batch.first, workersOnRack(batch, scope), soon, tally);
  if (found == kNowhere) return false;
  claim(found, batch.low, false);
  tally.put(found, 1);
  return true;
}

// Stops work of lower rank on the task's rack, if less has to be done again than running elsewhere would cost. What is
// stopped can go on where the task would have gone.
bool Planner::preemptOnRack(const Batch& batch, const Scope& scope) {
  const auto& job = jobs[batch.job];
  if (rules.mostRackLoss <= 0 || !rules.rankFirst || rules.rule == config::Rule::fifo || job.dueInMs <= 0) return false;
  if (++rackTries > kMostRackTries) return false;
  findVictims();
  if (lowestLane < 0 || lowestRank >= job.rank) return false;
  Preemption found;
  if (!findPreemption(batch, workersOnRack(batch, scope), found)) return false;
  std::int64_t redone = 0;
  for (const auto v : found.victims) {
    if (victims[v].rank >= job.rank || victims[v].longRunning) return false;
    redone += victims[v].redone;
  }
  const double costAway = (field.farFactor - 1) * static_cast<double>(workOf(batch, found));
  if (static_cast<double>(redone) > rules.mostRackLoss * costAway) return false;
  stopFor(batch, found, true);
  return true;
}

// Stops what must make way for the tasks, all or none, and keeps that capacity for them.
bool Planner::preempt(const Batch& batch, Scope& scope) {
  if (!preemptionMayHelp(batch, scope)) return false;
  ++preemptionTries;
  Preemption found;
  if (!findPreemption(batch, scope.workers, found)) {
    const auto& job = jobs[batch.job];
    if (batch.demand.apart == 0 && scope.vainPreemptions.size() < kMostKnown)
      scope.vainPreemptions.push_back({{batch.count, batch.high}, laneOf(job.counters, rules), job.rank});
    return false;
  }
  if (losesTooMuch(batch, found)) return false;
  stopFor(batch, found, false);
  return true;
}

// Stops what was found and keeps its capacity for the tasks.
void Planner::stopFor(const Batch& batch, const Preemption& found, bool forRack) {
  for (const auto v : found.victims) {
    victims[v].stopped = true;
    for (const auto& part : victims[v].parts) deck.add(soon, part.worker, part.load);
    for (const auto r : victims[v].runs)
      out.stops.push_back({victims[v].job, jobs[victims[v].job].runs[r].task, forRack});
  }
  for (const auto& [task, worker] : found.where) {
    claim(worker, batch.demand.load(task), false);
    tally.put(worker, 1);
  }
  for (auto& each : scopes) {
    each.misfits.clear();
    each.vainPreemptions.clear();
  }
}

}  // namespace tulip::admission
