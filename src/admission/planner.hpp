#pragma once
#include <absl/container/flat_hash_map.h>

#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "admission/admission.hpp"
#include "admission/placement.hpp"

namespace tulip::admission {

/// The lane of a job, where a configuration that has fewer lanes than before is in force.
std::int64_t laneOf(const Counters& counters, const config::Admission& rules);

/// The tasks of one unit that are to be placed together: a single one, or all.
struct Batch {
  std::size_t job = 0;
  const Unit& unit;
  const Demand& demand;
  std::size_t first = 0;
  std::size_t count = 1;
  placement::Load low{};   // the least that any of them needs of each kind
  placement::Load high{};  // the most
};

/// Workers that one kind of work may use, and what is known not to fit on them in this plan.
struct Scope {
  struct Misfit {
    std::size_t count = 0;
    placement::Load load{};
  };
  struct VainPreemption {
    Misfit what;
    std::int64_t lane = 0;
    std::int64_t rank = 0;
  };
  std::vector<std::uint32_t> workers;
  std::vector<char> has;  // by worker
  std::vector<Misfit> misfits;
  std::vector<VainPreemption> vainPreemptions;
};

/// What decides which workers a unit may use.
struct ScopeKey {
  std::string_view pool;
  std::string_view needs;
  std::size_t leave = 0;  // how many of the workers' times of leaving come too early for it
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

/// Running attempts that can only be stopped together.
struct Victim {
  struct Part {
    std::uint32_t worker = 0;
    placement::Load load{};
  };
  std::size_t job = 0;
  std::size_t place = 0;  // of its job in the order of the plan
  std::int64_t lane = 0;
  std::int64_t rank = 0;
  std::int64_t lost = 0;    // by stopping it, in thousandths of a worker times milliseconds
  std::int64_t redone = 0;  // of that, work that has to be done again
  bool longRunning = false;
  bool stopped = false;
  bool chosen = false;  // by the preemption that is being looked for
  std::vector<std::size_t> runs;
  std::vector<Part> parts;
};

/// What would have to be stopped to start a batch, and where its tasks would go.
struct Preemption {
  std::vector<std::size_t> victims;
  std::vector<std::pair<std::size_t, std::uint32_t>> where;  // task, worker
};

/// Makes one plan: where ready tasks start now, what is preempted for others, and what is reserved. Everything it keeps
/// lives for the one plan only.
class Planner {
 public:
  Planner(std::span<const Candidate> jobs, Field field, const config::Admission& rules,
          std::span<const std::size_t> ranking);

  /// Places all tasks of a unit or none. True if they start now or their capacity is on its way.
  bool placeWhole(std::size_t job, const Unit& unit);
  /// Places the tasks of a unit one by one, in their order. Returns how many found a place.
  std::size_t placeEach(std::size_t job, const Unit& unit);
  /// Keeps capacity for the first tasks of a unit, on the workers that are nearest to having it.
  bool reserve(const Unit& unit, std::size_t count);
  bool mayReserve() const { return field.mayReserve; }
  /// How often work found no place so far.
  std::size_t passedOver() const { return out.passedOver; }
  /// Whether capacity was kept for the job last, in vain.
  bool gaveUp(const Candidate& job) const { return job.id == field.gaveUp; }
  /// Whether under half of the unit's pool is in use, of all that the unit needs.
  bool poolIdle(const Unit& unit) const;
  /// Whether a stream of smaller work could keep the unit from ever starting.
  bool wide(const Candidate& job, const Unit& unit) const;
  std::int64_t quotaLeft(const Candidate& job) const;
  /// Whether the job's tenant may start tasks with these needs together.
  bool tenantAllows(const Candidate& job, std::span<const placement::Load> needs) const;
  /// The plan made so far; to be called once, at the end.
  Plan finish();

 private:
  struct Ending {
    Millis endsInMs = 0;
    const placement::Load* load = nullptr;
  };
  struct Price {
    std::int64_t lost = 0;
    std::size_t place = 0;  // of the first in the order that would be stopped
    std::vector<std::size_t> picks;
    std::vector<const placement::Load*> loads;
  };

  // planner.cpp: what units want and where they may go, and placing them where there is capacity
  Scope& scopeOf(const Unit& unit);
  bool mayUse(const Unit& unit, const placement::WorkerCapacity& worker, Millis stayMs) const;
  std::uint32_t indexOf(const WorkerId& worker);
  Demand demandOf(const Unit& unit);
  void tallyBeside(const Unit& unit);
  bool knownMisfit(const Scope& scope, const placement::Load& low, std::size_t count) const;
  void noteMisfit(Scope& scope, const placement::Load& high, std::size_t count) const;
  void countForTenant(const Candidate& job, std::span<const placement::Load> needs);
  void start(std::size_t job, std::uint32_t task, std::uint32_t worker, const placement::Load& need);
  bool placeTogether(const Batch& batch, Scope& scope);
  bool placeOne(const Batch& batch, Scope& scope);

  // reservation.cpp: capacity that is expected or kept
  void claim(std::uint32_t worker, const placement::Load& need, bool reserved);
  void findEndings();
  bool fitsBy(const Batch& batch, bool whole, const Scope& scope, Millis horizonMs, bool nearOnly);
  bool waitsForRack(const Batch& batch, bool whole, const Scope& scope);
  Capacities capacitiesWithoutJobs() const;
  Millis reservationReadyInMs(std::uint32_t worker) const;
  std::uint32_t fill(const Unit& unit, const Demand& demand, std::size_t task, const Scope& scope);

  // preemption.cpp: capacity that others have to give up
  void findVictims();
  void findVictimsOf(std::size_t job);
  void addRun(Victim& victim, std::size_t run);
  void orderVictims();
  bool mayPreempt(const Candidate& job, std::int64_t lane, const Victim& victim) const;
  bool priceAt(const Candidate& job, std::int64_t lane, const placement::Load& need, std::uint32_t worker,
               Price& price) const;
  void dropNeedless(const placement::Load& need, placement::Load capacity, Price& price) const;
  bool preemptionMayHelp(const Batch& batch, const Scope& scope);
  bool preemptForTask(const Batch& batch, std::size_t task, std::span<const std::uint32_t> among, Preemption& found);
  bool findPreemption(const Batch& batch, std::span<const std::uint32_t> among, Preemption& found);
  std::span<const std::uint32_t> workersOnRack(const Batch& batch, const Scope& scope);
  void spareNeedless(std::vector<std::size_t>& picks);
  bool losesTooMuch(const Batch& batch, const Preemption& found) const;
  std::int64_t workOf(const Batch& batch, const Preemption& found) const;
  void stopFor(const Batch& batch, const Preemption& found, bool forRack);
  bool rackIsComing(const Batch& batch, const Scope& scope);
  bool preemptOnRack(const Batch& batch, const Scope& scope);
  bool preempt(const Batch& batch, Scope& scope);

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
  std::vector<std::size_t> placeOf;   // of a job in the order of the plan
  std::vector<placement::Load> kept;  // free capacity taken out for a reservation
  std::vector<std::uint32_t> keptOn;
  Millis keptForMs = 0;
  std::vector<Victim> victims;
  std::vector<std::vector<std::pair<std::size_t, std::size_t>>> victimsOn;  // victim, its part; by worker
  bool victimsKnown = false;
  std::int64_t lowestLane = -1;
  std::int64_t lowestRank = 0;
  std::vector<std::vector<Ending>> endings;
  bool endingsKnown = false;
  Capacities scratch;
  std::vector<placement::Load> placed;
  Tally tally;
  Matcher matcher;
  Price price, best;  // of one task's preemption, kept for their memory
  std::vector<std::uint32_t> onRack;
  std::size_t preemptionTries = 0, rackTries = 0, forecasts = 0, fills = 0;
};

inline constexpr std::size_t kMostForecasts = 32;
inline constexpr std::size_t kMostKnown = 48;  // misfits or vain preemptions remembered for a scope

}  // namespace tulip::admission
