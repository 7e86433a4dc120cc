#pragma once
#include <optional>
#include <span>
#include <vector>

#include "placement/capacity.hpp"

namespace tulip::admission {

struct Counters {
  std::int64_t lane = 0;
  std::int64_t servedMs = 0;
  Millis ranMs = 0;
  Millis waitMs = 0;
  Millis firstStartMs = -1;
  std::int64_t totalServedMs = 0;
  std::int64_t promotions = 0;
  std::int64_t preemptions = 0;
  std::int64_t rest = 0;  // service below a millisecond, in thousandths
  MSGPACK_DEFINE(lane, servedMs, ranMs, waitMs, firstStartMs, totalServedMs, promotions, preemptions, rest)
};

// held is the capacity held, in thousandths of the resource count W_J: slots of the own interface count 1000 each;
// loads of several kinds count the dominant share of a worker that each run takes, servedMs then worker milliseconds.
void accrue(Counters& counters, std::int64_t held, bool waiting, Millis spanMs);
bool settle(Counters& counters, const config::Admission& rules, bool holds);

// Tasks that are alike and ready: a step's, or a whole gang's.
struct Unit {
  std::vector<std::uint32_t> tasks;    // places in the job's tasks, in the order they are to start
  std::vector<placement::Load> loads;  // one for each task, or a single one for all
  bool whole = false;                  // all start together or none
  bool oneRack = false;                // takes farFactor times as long on more than one rack
  bool saves = false;                  // keeps checkpoints
  bool standing = false;               // long running
  PoolName pool;                       // empty: any
  placement::Labels labels;            // each must stand on the worker with this value
  std::string needs;                   // a value that one of the worker's labels must have; empty: none
  std::string near;                    // the rack where its data lies; empty: anywhere
  std::int64_t apart = 0;              // at most this many of the step's tasks on one worker; 0: no bound
  std::vector<std::pair<std::size_t, std::int64_t>> beside;  // worker, tasks of the step that run there
  std::vector<WorkerId> avoid;                               // one for each task or none: where it failed last
  Millis estimateMs = 0;
};

struct HeldRun {
  std::size_t task = 0;
  std::size_t worker = 0;
  placement::Load load{};
  bool stopping = false;
  std::size_t gang = 0;   // runs of the job with the same number above 0 are stopped together
  Millis lossMs = 0;      // work that a stop would lose
  bool standing = false;  // long running
  Millis endsInMs = -1;   // until its end by its estimate; 0 or less: unknown or overdue
};

/// What the jobs of a tenant hold, and what they may hold, of each kind of capacity.
struct TenantUse {
  placement::Load limit{};  // 0: no limit
  placement::Load held{};
};
inline constexpr std::size_t kNoTenant = static_cast<std::size_t>(-1);

struct Candidate {
  JobId id;
  QueueName pending;
  Counters counters;
  std::int64_t rank = 0;  // higher goes first
  Millis acceptedMs = 0;
  Millis readyForMs = 0;
  Millis dueInMs =
      0;  // until what is left must start for the line's aim, by its estimates; negative: passed. 0 with no aim
  bool gang = false;
  std::size_t tenant = kNoTenant;  // place in the field's tenants
  std::vector<Unit> ready;
  std::vector<HeldRun> runs;
};

double gittinsIndex(std::int64_t servedMs, std::span<const std::int64_t> sizes, std::int64_t quantumMs);
std::vector<std::size_t> order(std::span<const Candidate> jobs, const config::Admission& rules,
                               std::span<const std::int64_t> sizes);

struct Start {
  std::size_t job = 0;
  std::size_t task = 0;
  std::size_t worker = 0;
  bool operator==(const Start&) const = default;
};
struct Stop {
  std::size_t job = 0;
  std::size_t task = 0;
  bool forRack = false;  // so that work that asks for the rack need not run away from it
  bool operator==(const Stop&) const = default;
};

struct Plan {
  std::vector<Start> starts;
  std::vector<Stop> stops;
  std::optional<std::size_t> reservedFor;
  // The reserved capacity holds back other work that is ready, while under half of the pool is in use of all that the
  // reserved capacity is made of.
  bool heldBackInIdlePool = false;
  bool heldBack = false;  // the reserved capacity holds back other work that is ready
  std::size_t passedOver = 0;
  std::size_t tries = 0;
  std::size_t looks = 0;  // at a worker for a task: what a plan costs
};

struct Field {
  std::vector<placement::WorkerCapacity> workers;
  std::map<QueueName, std::int64_t> quotaSlots;
  std::map<QueueName, std::int64_t> heldSlots;
  std::vector<TenantUse> tenants;
  double farFactor = 1.5;
  bool rankFirst = false;  // as the option of that name, for fleets whose settings ask for it
  double mostLoss = 0;     // as the option of that name, where above 0
  bool mayReserve = true;  // capacity may be kept for a unit that does not fit
  JobId gaveUp;            // for which capacity was kept last, in vain; empty: for none
};

/// Whether tasks with these needs may start together: the tenant then stays within its limit, or holds no more than
/// half of it before and no more than its limit and the largest of the tasks after. So work that needs more than half
/// of a limit is not kept out for ever by smaller work, and a task larger than the limit can run alone.
bool withinLimit(const TenantUse& use, std::span<const placement::Load> needs);

Plan plan(std::span<const Candidate> jobs, Field field, const config::Admission& rules,
          std::span<const std::int64_t> sizes);

// Whether the pools, as configured, could hold the unit on empty workers; pools without a size hold anything.
bool couldEverFit(const Unit& unit, const config::Config& config, placement::Kinds& kinds);

}  // namespace tulip::admission
