#include "admission/admission.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>
#include <utility>

#include "admission/placement.hpp"

namespace tulip::admission {

namespace {

constexpr std::size_t kFewestSizes = 16;
constexpr std::size_t kMostPushTries = 24;
constexpr std::size_t kMostForecasts = 32;
constexpr std::size_t kMostFills = 512;
constexpr std::size_t kMostKnown = 48;

std::int64_t laneOf(const Counters& counters, const config::Admission& rules) {
  return std::min(counters.lane, rules.lanes - 1);
}

std::int64_t slotsOf(const Unit& unit) {
  std::int64_t sum = 0;
  for (std::size_t i = 0; i < unit.tasks.size() && !unit.loads.empty(); ++i)
    sum += unit.loads[unit.loads.size() == 1 ? 0 : i][0];
  return sum;
}

// The berths that one kind of work may use, and what is known to fit on none of them in this plan.
struct Scope {
  struct Gang {
    std::size_t count = 0;
    placement::Load load{};
  };
  struct Push {
    Gang what;
    std::int64_t lane = 0;
    std::int64_t rank = 0;
  };
  std::vector<std::uint32_t> workers;
  std::vector<char> has;
  std::vector<Gang> missing;
  std::vector<Push> pushless;
};

struct ScopeKey {
  std::string_view pool;
  std::string_view needs;
  std::size_t leave = 0;
  const placement::Labels* labels = nullptr;

  bool operator==(const ScopeKey& other) const {
    return pool == other.pool && needs == other.needs && leave == other.leave && *labels == *other.labels;
  }
  template <class H>
  friend H AbslHashValue(H state, const ScopeKey& key) {
    state = H::combine(std::move(state), key.pool, key.needs, key.leave);
    for (const auto& [name, value] : *key.labels) state = H::combine(std::move(state), name, value);
    return state;
  }
};

struct Part {
  std::uint32_t worker = 0;
  placement::Load load{};
};

// Runs that are stopped together.
struct Victim {
  std::size_t job = 0;
  std::size_t place = 0;  // in the order of the plan
  std::int64_t lane = 0;
  std::int64_t rank = 0;
  std::int64_t lost = 0;  // thousandths of a worker times milliseconds
  bool standing = false;
  bool stopped = false;
  bool chosen = false;
  std::vector<std::size_t> runs;
  std::vector<Part> parts;
};

struct Ending {
  Millis endsInMs = 0;
  const placement::Load* load = nullptr;
};

std::int64_t thousandths(const placement::Load& load, const placement::Load& total) {
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(1000 * placement::dominantShare(load, total)));
}

struct Planner {
  std::span<const Candidate> jobs;
  Field field;
  const config::Admission& rules;
  Deck deck;
  Capacities free;  // what starts now may take
  Capacities soon;  // free and what is being stopped, less what that is kept for
  Plan out;

  std::vector<Millis> leaves;
  absl::flat_hash_map<std::string, std::uint32_t> rackAt;
  absl::flat_hash_map<ScopeKey, std::size_t> scopeAt;
  std::vector<Scope> scopes;
  absl::flat_hash_map<std::string_view, std::uint32_t> workerAt;
  std::vector<std::uint32_t> avoid;
  std::vector<std::size_t> placeOf;
  std::vector<placement::Load> kept;  // free room taken out for a reservation
  std::vector<std::uint32_t> keptOn;
  Millis keptForMs = 0;
  std::vector<Victim> victims;
  std::vector<std::vector<std::pair<std::size_t, std::size_t>>> victimsOn;  // victim, its part
  bool victimsKnown = false;
  std::int64_t lowestLane = -1;
  std::int64_t lowestRank = 0;
  std::vector<std::vector<Ending>> endings;
  bool endingsKnown = false;
  Capacities scratch;
  std::vector<placement::Load> placed;
  Tally tally;
  Matcher matcher;
  std::size_t pushes = 0, forecasts = 0, fills = 0;

  Planner(std::span<const Candidate> given, Field where, const config::Admission& admission)
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
        if (run.stopping && run.worker < workers.size())
          deck.add(soon, static_cast<std::uint32_t>(run.worker), run.load);
    scratch = free;
    kept.resize(workers.size());
    placed.resize(workers.size());
    tally.count.resize(workers.size());
  }

  Scope& scopeOf(const Unit& unit) {
    const Millis stayMs = unit.saves                              ? 0
                          : unit.standing || unit.estimateMs <= 0 ? std::numeric_limits<Millis>::max()
                                                                  : unit.estimateMs + unit.estimateMs / 2;
    const auto leave =
        static_cast<std::size_t>(std::lower_bound(leaves.begin(), leaves.end(), stayMs) - leaves.begin());
    const ScopeKey key{unit.pool.view(), unit.needs, leave, &unit.labels};
    auto [found, fresh] = scopeAt.try_emplace(key, scopes.size());
    if (!fresh) return scopes[found->second];
    Scope made;
    made.has.resize(field.workers.size());
    for (std::size_t i = 0; i < field.workers.size(); ++i) {
      const auto& worker = field.workers[i];
      if (!worker.usable || (!unit.pool.empty() && worker.pool != unit.pool)) continue;
      if (worker.leavesInMs >= 0 && worker.leavesInMs < stayMs) continue;
      if (!unit.needs.empty() && std::none_of(worker.labels.begin(), worker.labels.end(),
                                              [&](const auto& label) { return label.second == unit.needs; }))
        continue;
      if (!std::all_of(unit.labels.begin(), unit.labels.end(), [&](const auto& label) {
            auto own = worker.labels.find(label.first);
            return own != worker.labels.end() && own->second == label.second;
          }))
        continue;
      made.workers.push_back(static_cast<std::uint32_t>(i));
      made.has[i] = 1;
    }
    scopes.push_back(std::move(made));
    return scopes.back();
  }

  std::uint32_t indexOf(const WorkerId& worker) {
    if (workerAt.empty())
      for (std::size_t i = 0; i < field.workers.size(); ++i)
        workerAt.try_emplace(field.workers[i].worker.view(), static_cast<std::uint32_t>(i));
    auto found = workerAt.find(worker.view());
    return found == workerAt.end() ? kNowhere : found->second;
  }

  Demand demandOf(const Unit& unit) {
    Demand demand;
    demand.loads = unit.loads;
    demand.count = unit.tasks.size();
    demand.apart = unit.apart;
    demand.oneRack = unit.oneRack;
    if (!unit.near.empty())
      if (auto found = rackAt.find(unit.near); found != rackAt.end()) demand.near = found->second;
    avoid.clear();
    if (unit.avoid.size() == unit.tasks.size() &&
        std::any_of(unit.avoid.begin(), unit.avoid.end(), [](const auto& worker) { return !worker.empty(); })) {
      for (const auto& worker : unit.avoid) avoid.push_back(worker.empty() ? kNowhere : indexOf(worker));
      demand.avoid = avoid;
    }
    return demand;
  }

  std::int64_t quotaLeft(const Candidate& job) const {
    auto quota = field.quotaSlots.find(job.pending);
    if (quota == field.quotaSlots.end() || quota->second == 0) return std::numeric_limits<std::int64_t>::max();
    auto held = field.heldSlots.find(job.pending);
    return quota->second - (held == field.heldSlots.end() ? 0 : held->second);
  }

  bool knownMissing(const Scope& scope, const placement::Load& low, std::size_t count) const {
    return std::any_of(scope.missing.begin(), scope.missing.end(),
                       [&](const auto& gang) { return gang.count <= count && deck.within(gang.load, low); });
  }

  void noteMissing(Scope& scope, const placement::Load& high, std::size_t count) const {
    std::erase_if(scope.missing, [&](const auto& gang) { return count <= gang.count && deck.within(high, gang.load); });
    if (scope.missing.size() < kMostKnown) scope.missing.push_back({count, high});
  }

  void start(std::size_t job, std::uint32_t task, std::uint32_t at, const placement::Load& need) {
    out.starts.push_back({job, task, at});
    deck.take(free, at, need);
    deck.take(soon, at, need);
  }

  // Keeps room at a berth: free room first, then what is coming.
  void claim(std::uint32_t at, const placement::Load& need, bool reserved) {
    for (std::size_t i = 0; i < deck.kinds; ++i) {
      const auto first = std::min(std::max<std::int64_t>(free.load[at][i], 0), need[i]);
      free.load[at][i] -= first;
      if (reserved) kept[at][i] += first;
    }
    free.score[at] = deck.score(free.load[at]);
    deck.take(soon, at, need);
  }

  void findEndings() {
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
  bool fitsBy(const Demand& demand, std::size_t task, bool whole, const Scope& scope, Millis horizonMs, bool nearOnly) {
    if (horizonMs <= 0 || ++forecasts > kMostForecasts) return false;
    findEndings();
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
      const auto found = pick(deck, demand, task, among, scratch, tally);
      return found != kNowhere && !(nearOnly && found == demand.avoided(task));
    }
    if (!matcher.together(deck, demand, among, scratch, tally)) return false;
    if (!nearOnly) return true;
    for (std::size_t i = 0; i < demand.count; ++i)
      if (matcher.chosen[i] == demand.avoided(i)) return false;
    return !matcher.spread;
  }

  // Whether work that would start away from its rack does better to wait a little for room there.
  bool waitsForRack(const Candidate& job, const Unit& unit, const Demand& demand, std::size_t task, bool whole,
                    const Scope& scope) {
    const auto extraMs = static_cast<Millis>((field.farFactor - 1) * static_cast<double>(unit.estimateMs)) / 2;
    if (!job.runs.empty() || job.readyForMs >= std::min(extraMs, rules.reserveAfterMs / 10)) return false;
    return fitsBy(demand, task, whole, scope, extraMs, true);
  }

  void findVictims() {
    if (std::exchange(victimsKnown, true)) return;
    victimsOn.resize(field.workers.size());
    std::vector<std::pair<std::size_t, std::size_t>> gangs;
    for (std::size_t j = 0; j < jobs.size(); ++j) {
      const auto& job = jobs[j];
      if (job.counters.preemptions >= rules.mostPushes) continue;
      gangs.clear();
      for (std::size_t r = job.runs.size(); r-- > 0;) {
        const auto& run = job.runs[r];
        if (run.stopping || run.worker >= field.workers.size()) continue;
        const auto gang = job.gang ? std::numeric_limits<std::size_t>::max() : run.gang;
        auto known =
            std::find_if(gangs.begin(), gangs.end(), [&](const auto& each) { return gang > 0 && each.first == gang; });
        std::size_t at = victims.size();
        if (known != gangs.end()) {
          at = known->second;
        } else {
          victims.push_back({});
          victims.back().job = j;
          victims.back().place = placeOf[j];
          victims.back().lane = laneOf(job.counters, rules);
          victims.back().rank = job.rank;
          gangs.emplace_back(gang, at);
        }
        auto& victim = victims[at];
        victim.runs.push_back(r);
        victim.standing = victim.standing || run.standing;
        const auto delayMs = job.dueInMs > 0 ? std::max<Millis>(0, run.endsInMs) : 0;
        victim.lost += (run.lossMs + delayMs + 1) * thousandths(run.load, field.workers[run.worker].total);
        auto part = std::find_if(victim.parts.begin(), victim.parts.end(),
                                 [&](const auto& each) { return each.worker == run.worker; });
        if (part == victim.parts.end())
          victim.parts.push_back({static_cast<std::uint32_t>(run.worker), run.load});
        else
          placement::add(part->load, run.load);
        lowestRank = lowestLane < 0 ? job.rank : std::min(lowestRank, job.rank);
        lowestLane = std::max(lowestLane, victim.lane);
      }
    }
    for (std::size_t v = 0; v < victims.size(); ++v)
      for (std::size_t p = 0; p < victims[v].parts.size(); ++p)
        victimsOn[victims[v].parts[p].worker].emplace_back(v, p);
    for (std::size_t at = 0; at < victimsOn.size(); ++at) {
      auto price = [&](const std::pair<std::size_t, std::size_t>& entry) {
        const auto& victim = victims[entry.first];
        return std::pair(victim.lost / thousandths(victim.parts[entry.second].load, field.workers[at].total),
                         -static_cast<std::int64_t>(victim.place));
      };
      std::stable_sort(victimsOn[at].begin(), victimsOn[at].end(),
                       [&](const auto& a, const auto& b) { return price(a) < price(b); });
    }
  }

  bool mayPush(const Candidate& job, std::int64_t lane, const Victim& victim) const {
    if (rules.rankFirst && job.rank != victim.rank) return job.rank > victim.rank;
    return victim.lane > lane && (!victim.standing || job.rank > victim.rank);
  }

  struct Price {
    std::int64_t lost = 0;
    std::size_t place = 0;  // of the first in the order that would be stopped
    std::vector<std::size_t> picks;
    std::vector<const placement::Load*> loads;
  };

  // The cheapest stops found by which the need would fit at the berth, beside what was chosen before.
  bool priceAt(const Candidate& job, std::int64_t lane, const placement::Load& need, std::uint32_t at,
               Price& price) const {
    price.lost = 0;
    price.place = std::numeric_limits<std::size_t>::max();
    price.picks.clear();
    price.loads.clear();
    auto capacity = scratch.load[at];
    if (!deck.fits(need, capacity)) {
      bool enough = false;
      for (const auto& [v, p] : victimsOn[at]) {
        const auto& victim = victims[v];
        if (victim.stopped || victim.chosen || !mayPush(job, lane, victim)) continue;
        const auto& load = victim.parts[p].load;
        bool helps = false;
        for (std::size_t i = 0; i < deck.kinds; ++i) helps = helps || (need[i] > capacity[i] && load[i] > 0);
        if (!helps) continue;
        for (std::size_t i = 0; i < deck.kinds; ++i) capacity[i] += load[i];
        price.picks.push_back(v);
        price.loads.push_back(&load);
        if ((enough = deck.fits(need, capacity))) break;
      }
      if (!enough) return false;
      for (std::size_t i = price.picks.size(); i-- > 0;) {
        auto less = capacity;
        for (std::size_t k = 0; k < deck.kinds; ++k) less[k] -= (*price.loads[i])[k];
        if (!deck.fits(need, less)) continue;
        capacity = less;
        price.picks.erase(price.picks.begin() + static_cast<std::ptrdiff_t>(i));
        price.loads.erase(price.loads.begin() + static_cast<std::ptrdiff_t>(i));
      }
    }
    for (const auto v : price.picks) {
      price.lost += victims[v].lost;
      price.place = std::min(price.place, victims[v].place);
    }
    return true;
  }

  // Stops what must make room for the tasks, all or none, and keeps that room for them.
  bool push(std::size_t at, const Unit& unit, const Demand& demand, std::size_t first, std::size_t count, Scope& scope,
            const placement::Load& low, const placement::Load& high) {
    const auto& job = jobs[at];
    const auto lane = laneOf(job.counters, rules);
    if (rules.rule == config::Rule::fifo || pushes >= kMostPushTries || scope.workers.empty() || !deck.offered(high))
      return false;
    findVictims();
    if (lowestLane <= lane && !(rules.rankFirst && lowestRank < job.rank)) return false;
    if (std::any_of(scope.pushless.begin(), scope.pushless.end(), [&](const auto& each) {
          return each.what.count <= count && deck.within(each.what.load, low) && job.rank <= each.rank &&
                 (lane >= each.lane || (rules.rankFirst && job.rank < each.rank));
        }))
      return false;
    const bool whole = count > 1;
    if (job.dueInMs != 0) {
      if (job.dueInMs < 0 || job.dueInMs > unit.estimateMs || forecasts >= kMostForecasts) return false;
      if (fitsBy(demand, first, whole, scope, job.dueInMs / 2, false)) return false;
    }
    ++pushes;
    scratch = soon;
    std::fill(placed.begin(), placed.end(), placement::Load{});
    std::vector<std::size_t> picks;
    std::vector<std::pair<std::size_t, std::uint32_t>> where;
    Price price, best;
    auto place = [&](std::size_t task) {
      const auto& need = demand.load(task);
      std::uint32_t found = kNowhere;
      std::tuple<std::int64_t, int, std::size_t> bestKey;
      tally.looks += scope.workers.size();
      for (const auto worker : scope.workers) {
        if (demand.apart > 0 && tally.count[worker] >= demand.apart) continue;
        if (!priceAt(job, lane, need, worker, price)) continue;
        const std::tuple key(price.lost, burden(deck, demand, task, worker),
                             std::numeric_limits<std::size_t>::max() - price.place);
        if (found != kNowhere && key >= bestKey) continue;
        found = worker;
        bestKey = key;
        std::swap(price, best);
      }
      if (found == kNowhere) return false;
      for (const auto v : best.picks) {
        picks.push_back(v);
        victims[v].chosen = true;
        for (const auto& part : victims[v].parts) deck.add(scratch, part.worker, part.load);
      }
      deck.take(scratch, found, need);
      placement::add(placed[found], need);
      ++tally.count[found];
      where.emplace_back(task, found);
      return true;
    };
    bool all = true;
    if (!whole) {
      all = place(first);
    } else {
      for (const auto task : matcher.bySize(deck, demand))
        if (!(all = place(task))) break;
    }
    for (const auto& [task, worker] : where) --tally.count[worker];
    if (all) prune(picks);
    std::int64_t lost = 0;
    double gain = 0;
    for (const auto v : picks) {
      victims[v].chosen = false;
      lost += victims[v].lost;
    }
    for (const auto& [task, worker] : where)
      gain += static_cast<double>(thousandths(demand.load(task), field.workers[worker].total) * unit.estimateMs);
    if (!all) {
      if (demand.apart == 0 && scope.pushless.size() < kMostKnown)
        scope.pushless.push_back({{count, high}, lane, job.rank});
      return false;
    }
    if (rules.mostLoss > 0 && unit.estimateMs > 0 && static_cast<double>(lost) > rules.mostLoss * gain) return false;
    for (const auto v : picks) {
      victims[v].stopped = true;
      for (const auto& part : victims[v].parts) deck.add(soon, part.worker, part.load);
      for (const auto r : victims[v].runs) out.stops.push_back({victims[v].job, jobs[victims[v].job].runs[r].task});
    }
    for (const auto& [task, worker] : where) {
      claim(worker, demand.load(task), false);
      tally.put(worker, 1);
    }
    for (auto& each : scopes) {
      each.missing.clear();
      each.pushless.clear();
    }
    return true;
  }

  void prune(std::vector<std::size_t>& picks) {
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

  // Room kept for a reservation may be used by work that is thought to end before the reserved room has come together.
  std::uint32_t fill(const Unit& unit, const Demand& demand, std::size_t task, const Scope& scope) {
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

  bool placeWhole(std::size_t at, const Unit& unit) {
    const auto& job = jobs[at];
    if (unit.tasks.empty() || unit.loads.empty()) return false;
    auto demand = demandOf(unit);
    auto low = demand.load(0), high = low;
    std::int64_t slots = 0;
    for (std::size_t i = 0; i < demand.count; ++i) {
      const auto& need = demand.load(i);
      slots += need[0];
      if (demand.alike()) continue;
      for (std::size_t k = 0; k < placement::kMostKinds; ++k) {
        low[k] = std::min(low[k], need[k]);
        high[k] = std::max(high[k], need[k]);
      }
    }
    if (slots > quotaLeft(job)) return false;
    auto& scope = scopeOf(unit);
    for (const auto& [worker, count] : unit.beside)
      if (worker < field.workers.size()) tally.put(static_cast<std::uint32_t>(worker), static_cast<int>(count));
    const bool placedNow = placeTogether(at, unit, demand, scope, low, high);
    tally.clear();
    if (placedNow) field.heldSlots[job.pending] += slots;
    return placedNow;
  }

  bool placeTogether(std::size_t at, const Unit& unit, const Demand& demand, Scope& scope, const placement::Load& low,
                     const placement::Load& high) {
    if (deck.offered(high) && !knownMissing(scope, low, demand.count) && !knownMissing(scope, high, 1)) {
      ++out.tries;
      if (matcher.together(deck, demand, scope.workers, free, tally)) {
        const auto chosen = matcher.chosen;
        const bool far =
            matcher.spread || (demand.near != kNowhere && std::any_of(chosen.begin(), chosen.end(), [&](auto worker) {
                                 return deck.rack[worker] != demand.near;
                               }));
        if (far && waitsForRack(jobs[at], unit, demand, 0, true, scope)) {
          ++out.passedOver;
          return false;
        }
        for (std::size_t i = 0; i < demand.count; ++i) start(at, unit.tasks[i], chosen[i], demand.load(i));
        return true;
      }
      if (matcher.together(deck, demand, scope.workers, soon, tally)) {
        for (std::size_t i = 0; i < demand.count; ++i) claim(matcher.chosen[i], demand.load(i), false);
        return true;
      }
      if (demand.apart == 0) noteMissing(scope, high, demand.count);
    }
    if (push(at, unit, demand, 0, demand.count, scope, low, high)) return true;
    ++out.passedOver;
    return false;
  }

  std::size_t placeEach(std::size_t at, const Unit& unit) {
    const auto& job = jobs[at];
    if (unit.tasks.empty() || unit.loads.empty()) return 0;
    const auto demand = demandOf(unit);
    auto left = quotaLeft(job);
    auto& scope = scopeOf(unit);
    for (const auto& [worker, count] : unit.beside)
      if (worker < field.workers.size()) tally.put(static_cast<std::uint32_t>(worker), static_cast<int>(count));
    std::int64_t took = 0;
    std::size_t found = 0;
    for (std::size_t i = 0; i < demand.count; ++i) {
      const auto& need = demand.load(i);
      if (need[0] > left) {
        if (demand.alike()) break;
        continue;
      }
      if (placeOne(at, unit, demand, i, scope)) {
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
    if (took > 0) field.heldSlots[job.pending] += took;
    return found;
  }

  bool placeOne(std::size_t at, const Unit& unit, const Demand& demand, std::size_t task, Scope& scope) {
    const auto& need = demand.load(task);
    if (!deck.offered(need)) return false;
    if (!knownMissing(scope, need, 1)) {
      ++out.tries;
      if (const auto found = pick(deck, demand, task, scope.workers, free, tally); found != kNowhere) {
        const bool far = demand.near != kNowhere && deck.rack[found] != demand.near;
        if (far && waitsForRack(jobs[at], unit, demand, task, false, scope)) return false;
        start(at, unit.tasks[task], found, need);
        tally.put(found, 1);
        return true;
      }
      if (const auto found = pick(deck, demand, task, scope.workers, soon, tally); found != kNowhere) {
        claim(found, need, false);
        tally.put(found, 1);
        return true;
      }
      if (demand.apart == 0) noteMissing(scope, need, 1);
    }
    if (const auto found = fill(unit, demand, task, scope); found != kNowhere) {
      out.starts.push_back({at, unit.tasks[task], found});
      tally.put(found, 1);
      return true;
    }
    return push(at, unit, demand, task, 1, scope, need, need);
  }

  // Work that a stream of smaller work could keep out for ever.
  bool wide(const Candidate& job, const Unit& unit) const {
    if (job.gang || unit.whole) return true;
    if (unit.loads.empty()) return false;
    for (std::size_t i = 0; i < deck.kinds; ++i)
      if (static_cast<double>(unit.loads[0][i]) * deck.weight[i] > kWorker / 2) return true;
    return false;
  }

  // Keeps room for the first tasks, on the berths that are nearest to having it.
  bool reserve(const Unit& unit, std::size_t count) {
    auto demand = demandOf(unit);
    demand.count = count;
    for (const auto& load : unit.loads)
      if (!deck.offered(load)) return false;
    auto& scope = scopeOf(unit);
    Capacities whole = free;
    for (std::size_t i = 0; i < field.workers.size(); ++i) whole.load[i] = field.workers[i].total;
    for (const auto& job : jobs)
      for (const auto& run : job.runs)
        if (run.standing && !run.stopping && run.worker < field.workers.size())
          placement::take(whole.load[run.worker], run.load);
    auto doubt = deck.doubt;
    for (std::size_t i = 0; i < field.workers.size(); ++i) {
      whole.score[i] = deck.score(whole.load[i]);
      deck.doubt[i] = whole.score[i] - soon.score[i];
    }
    for (const auto& [worker, count] : unit.beside)
      if (worker < field.workers.size()) tally.put(static_cast<std::uint32_t>(worker), static_cast<int>(count));
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
    for (const auto at : keptOn) {
      auto capacity = soon.load[at];
      auto ready = [&] {
        for (std::size_t i = 0; i < deck.kinds; ++i)
          if (placed[at][i] > 0 && capacity[i] < 0) return false;
        return true;
      };
      Millis byMs = 0;
      for (const auto& ending : endings[at]) {
        if (ready()) break;
        byMs = ending.endsInMs;
        for (std::size_t i = 0; i < deck.kinds; ++i) capacity[i] += (*ending.load)[i];
      }
      if (ready()) keptForMs = std::max(keptForMs, byMs);
    }
    return true;
  }
};

}  // namespace

void accrue(Counters& counters, std::int64_t held, bool waiting, Millis spanMs) {
  if (spanMs <= 0) return;
  if (held > 0) {
    const auto served = held * spanMs + counters.rest;
    counters.servedMs += served / 1000;
    counters.totalServedMs += served / 1000;
    counters.rest = served % 1000;
    counters.ranMs += spanMs;
    counters.waitMs = 0;
  } else if (waiting) {
    counters.waitMs += spanMs;
  }
}

bool settle(Counters& counters, const config::Admission& rules, bool holds) {
  const auto before = counters.lane;
  counters.lane = std::min(counters.lane, rules.lanes - 1);
  while (counters.lane < rules.lanes - 1 &&
         counters.servedMs >= rules.thresholdsMs[static_cast<std::size_t>(counters.lane)])
    ++counters.lane;
  if (rules.promoteKnob && counters.lane > 0 && !holds && counters.ranMs > 0 &&
      static_cast<double>(counters.waitMs) >= *rules.promoteKnob * static_cast<double>(counters.ranMs)) {
    counters.lane = 0;
    counters.servedMs = counters.ranMs = counters.waitMs = 0;
    ++counters.promotions;
  }
  return counters.lane != before;
}

double gittinsIndex(std::int64_t servedMs, std::span<const std::int64_t> sizes, std::int64_t quantumMs) {
  double done = 0, spent = 0;
  for (const auto size : sizes) {
    if (size <= servedMs) continue;
    const auto left = size - servedMs;
    done += left <= quantumMs;
    spent += static_cast<double>(std::min(left, quantumMs));
  }
  return spent > 0 ? done / spent : 0;
}

std::vector<std::size_t> order(std::span<const Candidate> jobs, const config::Admission& rules,
                               std::span<const std::int64_t> sizes) {
  std::vector<std::size_t> ranking(jobs.size());
  std::iota(ranking.begin(), ranking.end(), 0);
  const bool byIndex = rules.rule == config::Rule::gittins && sizes.size() >= kFewestSizes;
  std::vector<double> index(jobs.size(), 0);
  if (byIndex)
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      const auto lane = laneOf(jobs[i].counters, rules);
      if (lane < rules.lanes - 1)
        index[i] = gittinsIndex(jobs[i].counters.servedMs, sizes, rules.thresholdsMs[static_cast<std::size_t>(lane)]);
    }
  struct Key {
    std::int64_t rank, lane;
    double index;
    std::int64_t firstStartMs, standing;
    bool passed;
    Millis dueInMs, acceptedMs;
  };
  std::vector<Key> keys(jobs.size());
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    const auto& job = jobs[i];
    const bool fresh = job.counters.firstStartMs < 0;
    keys[i].rank = rules.rankFirst ? -job.rank : 0;
    keys[i].acceptedMs = job.acceptedMs;
    if (rules.rule == config::Rule::fifo) continue;
    keys[i].lane = laneOf(job.counters, rules);
    keys[i].index = -index[i];
    keys[i].firstStartMs = fresh ? std::numeric_limits<Millis>::max() : job.counters.firstStartMs;
    keys[i].standing = -job.rank;
    keys[i].passed = fresh && job.dueInMs < 0 && job.readyForMs < rules.reserveAfterMs;
    keys[i].dueInMs = !fresh ? 0 : job.dueInMs == 0 ? rules.reserveAfterMs : job.dueInMs;
  }
  std::sort(ranking.begin(), ranking.end(), [&](std::size_t a, std::size_t b) {
    auto tie = [](const Key& key) {
      return std::tie(key.rank, key.lane, key.index, key.firstStartMs, key.standing, key.passed, key.dueInMs,
                      key.acceptedMs);
    };
    const auto x = tie(keys[a]), y = tie(keys[b]);
    return x != y ? x < y : jobs[a].id != jobs[b].id ? jobs[a].id < jobs[b].id : a < b;
  });
  return ranking;
}

Plan plan(std::span<const Candidate> jobs, Field field, const config::Admission& given,
          std::span<const std::int64_t> sizes) {
  auto rules = given;
  rules.rankFirst = rules.rankFirst || field.rankFirst;
  if (field.mostLoss > 0) rules.mostLoss = field.mostLoss;
  const auto ranking = order(jobs, rules, sizes);
  Planner planner(jobs, std::move(field), rules);
  planner.placeOf.resize(jobs.size());
  for (std::size_t i = 0; i < ranking.size(); ++i) planner.placeOf[ranking[i]] = i;
  auto place = [&](std::size_t at, const Unit& unit) {
    return jobs[at].gang || unit.whole ? planner.placeWhole(at, unit) : planner.placeEach(at, unit) > 0;
  };
  std::optional<std::size_t> longest;
  std::size_t longestUnit = 0;
  for (const auto at : ranking) {
    const auto& job = jobs[at];
    if (job.readyForMs < rules.reserveAfterMs) continue;
    auto key = [&](const Candidate& each) {
      return std::tuple(rules.rankFirst ? -each.rank : 0, -each.readyForMs, each.id.view());
    };
    if (longest && key(job) >= key(jobs[*longest])) continue;
    for (std::size_t u = 0; u < job.ready.size(); ++u)
      if (planner.wide(job, job.ready[u]) && slotsOf(job.ready[u]) <= planner.quotaLeft(job)) {
        longest = at;
        longestUnit = u;
        break;
      }
  }
  bool reserved = !longest;
  for (const auto at : ranking) {
    const auto& job = jobs[at];
    if (!reserved && (!rules.rankFirst || job.rank <= jobs[*longest].rank)) {
      reserved = true;
      const auto& unit = jobs[*longest].ready[longestUnit];
      const auto count = jobs[*longest].gang || unit.whole ? unit.tasks.size() : 1;
      if (!unit.tasks.empty() && !place(*longest, unit) && planner.reserve(unit, count))
        planner.out.reservedFor = longest;
    }
    for (std::size_t u = 0; u < job.ready.size(); ++u) {
      if (longest && *longest == at && longestUnit == u) continue;
      place(at, job.ready[u]);
    }
  }
  planner.out.looks = planner.tally.looks;
  return std::move(planner.out);
}

bool couldEverFit(const Unit& unit, const config::Config& config, placement::Kinds& kinds) {
  if (unit.tasks.empty() || unit.loads.empty()) return true;
  const auto needed = static_cast<std::int64_t>(unit.tasks.size());
  std::vector<placement::WorkerCapacity> workers;
  for (const auto& [name, pool] : config.pools) {
    if (!unit.pool.empty() && unit.pool != pool.name) continue;
    if (pool.slots == 0) return true;
    if (!std::all_of(unit.labels.begin(), unit.labels.end(), [&](const auto& label) {
          auto own = pool.labels.find(label.first);
          return own != pool.labels.end() && own->second == label.second;
        }))
      continue;
    if (!unit.needs.empty() && std::none_of(pool.labels.begin(), pool.labels.end(),
                                            [&](const auto& label) { return label.second == unit.needs; }))
      continue;
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
