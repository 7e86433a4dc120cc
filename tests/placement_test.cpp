#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>
#include <set>

#include "admission/admission.hpp"

using namespace tulip;
using namespace tulip::admission;

namespace {

using placement::Load;

Load load(std::int64_t cores, std::int64_t memory = 0) { return {0, cores, memory}; }

placement::WorkerCapacity worker(int n, Load free, Load total, const char* rack = "") {
  placement::WorkerCapacity made;
  made.worker = WorkerId("w" + std::to_string(n));
  made.rack = rack;
  if (*rack) made.labels["rack"] = rack;
  made.total = total;
  made.free = free;
  return made;
}

Field fieldOf(std::vector<placement::WorkerCapacity> workers) {
  Field made;
  made.workers = std::move(workers);
  return made;
}

Field freeField(std::initializer_list<std::int64_t> cores, std::int64_t total = 8) {
  std::vector<placement::WorkerCapacity> workers;
  for (auto each : cores) workers.push_back(worker(static_cast<int>(workers.size()), load(each), load(total)));
  return fieldOf(std::move(workers));
}

Unit tasks(std::uint32_t count, Load each, bool whole = false) {
  Unit unit;
  for (std::uint32_t i = 0; i < count; ++i) unit.tasks.push_back(i);
  unit.loads = {each};
  unit.whole = whole;
  return unit;
}

Candidate waiting(const char* id, Unit unit, std::int64_t rank = 0) {
  Candidate made;
  made.id = JobId(id);
  made.rank = rank;
  made.ready.push_back(std::move(unit));
  return made;
}

Candidate busy(const char* id, std::vector<HeldRun> runs, std::int64_t lane = 1, std::int64_t rank = 0) {
  Candidate made;
  made.id = JobId(id);
  made.rank = rank;
  made.counters.lane = lane;
  made.counters.firstStartMs = 1;
  made.runs = std::move(runs);
  return made;
}

HeldRun held(std::size_t task, std::size_t at, Load each, Millis lossMs = 0, std::size_t gang = 0) {
  HeldRun made;
  made.task = task;
  made.worker = at;
  made.load = each;
  made.lossMs = lossMs;
  made.gang = gang;
  return made;
}

std::vector<std::size_t> workersOf(const Plan& plan) {
  std::vector<std::size_t> made;
  for (const auto& start : plan.starts) made.push_back(start.worker);
  return made;
}

std::vector<std::size_t> stoppedJobs(const Plan& plan) {
  std::vector<std::size_t> made;
  for (const auto& stop : plan.stops) made.push_back(stop.job);
  return made;
}

config::Admission byRank() {
  config::Admission rules;
  rules.rankFirst = true;
  return rules;
}

config::Admission without(config::Mechanism mechanism) {
  config::Admission rules;
  rules.without.insert(mechanism);
  return rules;
}

struct Dice {
  std::mt19937_64 source;
  explicit Dice(std::uint64_t seed) : source(seed) {}
  std::int64_t upTo(std::int64_t most) {
    return static_cast<std::int64_t>(source() % static_cast<std::uint64_t>(most + 1));
  }
  std::int64_t between(std::int64_t low, std::int64_t high) { return low + upTo(high - low); }
  bool oneIn(std::int64_t n) { return upTo(n - 1) == 0; }
};

struct Drawn {
  std::vector<Candidate> jobs;
  Field field;
  config::Admission rules;
};

// Any field and any candidates, with every kind of need.
Drawn draw(std::uint64_t seed) {
  Dice dice(seed);
  Drawn made;
  made.rules.rankFirst = dice.oneIn(2);
  made.rules.layout = dice.oneIn(4) ? config::Layout::spread : config::Layout::pack;
  if (dice.oneIn(5)) made.rules.mostLoss = 4;
  if (dice.oneIn(3)) made.rules.mostRackLoss = 2;
  if (dice.oneIn(8)) made.rules.rule = config::Rule::fifo;
  for (std::size_t i = 0; i < config::kMechanismNames.size(); ++i)
    if (dice.oneIn(10)) made.rules.without.insert(static_cast<config::Mechanism>(i));
  const auto workers = dice.between(1, 14);
  for (int i = 0; i < workers; ++i) {
    const Load total{dice.oneIn(3) ? 8 : 0, 16000, 65536, dice.oneIn(5) ? 2 : 0};
    auto each = worker(i, total, total, ("r" + std::to_string(i / 3)).c_str());
    each.pool = PoolName(dice.oneIn(4) ? "other" : "main");
    each.labels["kind"] = dice.oneIn(2) ? "a" : "b";
    each.usable = !dice.oneIn(8);
    each.doubt = dice.oneIn(4) ? static_cast<int>(dice.upTo(20)) : 0;
    if (dice.oneIn(6)) each.leavesInMs = dice.upTo(4000);
    made.field.workers.push_back(each);
  }
  auto capacity = [&] {
    return Load{dice.oneIn(3) ? dice.between(1, 3) : 0, dice.between(100, 9000), dice.between(200, 30000),
                dice.oneIn(12) ? 1 : 0};
  };
  const auto jobs = dice.between(1, 25);
  for (int j = 0; j < jobs; ++j) {
    Candidate job;
    job.id = JobId("j" + std::to_string(j));
    job.pending = QueueName(dice.oneIn(2) ? "p" : "q");
    job.rank = dice.upTo(2);
    job.acceptedMs = dice.upTo(5000);
    job.readyForMs = dice.oneIn(10) ? dice.upTo(12000) : dice.upTo(3000);
    job.counters.lane = dice.upTo(1);
    job.counters.preemptions = dice.upTo(3);
    if (dice.oneIn(2)) job.counters.firstStartMs = dice.upTo(5000);
    if (dice.oneIn(2)) job.dueInMs = dice.between(-2000, 6000);
    std::uint32_t task = 0;
    const auto runs = dice.oneIn(2) ? dice.upTo(4) : 0;
    for (std::int64_t r = 0; r < runs; ++r) {
      const auto at = static_cast<std::size_t>(dice.upTo(workers - 1));
      auto& free = made.field.workers[at].free;
      const auto needed = capacity();
      if (!placement::fits(needed, free)) continue;
      placement::take(free, needed);
      auto each = held(task++, at, needed, dice.upTo(5000), dice.oneIn(2) ? 1 : 0);
      each.stopping = dice.oneIn(10);
      each.standing = dice.oneIn(8);
      each.endsInMs = dice.oneIn(3) ? -1 : dice.upTo(5000);
      job.runs.push_back(each);
    }
    const auto units = dice.upTo(2);
    for (std::int64_t u = 0; u < units; ++u) {
      Unit unit;
      const auto count = dice.between(1, 6);
      for (std::int64_t t = 0; t < count; ++t) unit.tasks.push_back(task++);
      unit.loads.push_back(capacity());
      if (dice.oneIn(4))
        while (unit.loads.size() < unit.tasks.size()) unit.loads.push_back(capacity());
      unit.whole = dice.oneIn(3);
      unit.oneRack = unit.whole && dice.oneIn(2);
      unit.saves = dice.oneIn(3);
      unit.standing = dice.oneIn(8);
      if (dice.oneIn(2)) unit.pool = PoolName("main");
      if (dice.oneIn(4)) unit.needs = dice.oneIn(2) ? "a" : "b";
      if (dice.oneIn(6)) unit.labels["kind"] = "b";
      if (dice.oneIn(3)) unit.near = "r" + std::to_string(dice.upTo(5));
      if (dice.oneIn(4)) {
        unit.apart = dice.between(1, 2);
        if (dice.oneIn(2))
          unit.beside.emplace_back(static_cast<std::size_t>(dice.upTo(workers - 1)), dice.between(1, 2));
      }
      if (dice.oneIn(5))
        for (std::int64_t t = 0; t < count; ++t)
          unit.avoid.emplace_back(dice.oneIn(2) ? "" : "w" + std::to_string(dice.upTo(workers)));
      unit.estimateMs = dice.oneIn(8) ? 0 : dice.between(100, 6000);
      job.ready.push_back(std::move(unit));
    }
    made.jobs.push_back(std::move(job));
  }
  if (dice.oneIn(4)) made.field.quotaSlots[QueueName("p")] = dice.between(1, 12);
  for (const auto& job : made.jobs)
    for (const auto& each : job.runs) made.field.heldSlots[job.pending] += each.load[0];
  return made;
}

bool allowed(const Unit& unit, const placement::WorkerCapacity& where) {
  if (!where.usable) return false;
  if (!unit.pool.empty() && unit.pool != where.pool) return false;
  for (const auto& [name, value] : unit.labels)
    if (!where.labels.contains(name) || where.labels.at(name) != value) return false;
  bool has = unit.needs.empty();
  for (const auto& [name, value] : where.labels) has = has || value == unit.needs;
  if (!has) return false;
  if (where.leavesInMs < 0 || unit.saves) return true;
  return !unit.standing && unit.estimateMs > 0 && unit.estimateMs <= where.leavesInMs;
}

const Load& loadOf(const Unit& unit, std::size_t task) {
  return unit.loads.size() == 1 ? unit.loads[0] : unit.loads[task];
}

// What breaks a rule that a plan must never break; empty if nothing does.
std::string broken(const Drawn& drawn, const Plan& plan) {
  const auto& [jobs, field, rules] = drawn;
  std::map<std::size_t, Load> used;
  std::set<std::pair<std::size_t, std::size_t>> seen;
  std::map<QueueName, std::int64_t> slots;
  for (const auto& start : plan.starts) {
    if (!seen.insert({start.job, start.task}).second) return "a task started twice";
    const Unit* unit = nullptr;
    std::size_t place = 0;
    for (const auto& each : jobs.at(start.job).ready)
      for (std::size_t t = 0; t < each.tasks.size(); ++t)
        if (each.tasks[t] == start.task) {
          unit = &each;
          place = t;
        }
    if (!unit) return "a task started that is not ready";
    if (!allowed(*unit, field.workers.at(start.worker))) return "a task on a worker that it may not use";
    for (std::size_t k = 0; k < placement::kMostKinds; ++k) used[start.worker][k] += loadOf(*unit, place)[k];
    slots[jobs[start.job].pending] += loadOf(*unit, place)[0];
  }
  for (const auto& [at, sum] : used)
    for (std::size_t k = 0; k < placement::kMostKinds; ++k)
      if (sum[k] > 0 && sum[k] > field.workers[at].free[k]) return "more than the free room";
  for (const auto& [name, sum] : slots)
    if (auto quota = field.quotaSlots.find(name); quota != field.quotaSlots.end() && quota->second > 0 && sum > 0)
      if (sum + (field.heldSlots.contains(name) ? field.heldSlots.at(name) : 0) > quota->second)
        return "more than the quota";
  for (std::size_t j = 0; j < jobs.size(); ++j)
    for (const auto& unit : jobs[j].ready) {
      std::size_t started = 0;
      std::map<std::size_t, std::int64_t> on;
      for (const auto& [at, count] : unit.beside) on[at] += count;
      for (const auto& start : plan.starts)
        if (start.job == j && std::find(unit.tasks.begin(), unit.tasks.end(), start.task) != unit.tasks.end()) {
          ++started;
          if (unit.apart > 0 && ++on[start.worker] > unit.apart) return "too many of a step on one worker";
        }
      if (unit.whole && started != 0 && started != unit.tasks.size()) return "part of a gang";
    }
  std::set<std::pair<std::size_t, std::size_t>> stops;
  for (const auto& stop : plan.stops)
    if (!stops.insert({stop.job, stop.task}).second) return "a run stopped twice";
  for (const auto& stop : plan.stops) {
    const auto& job = jobs.at(stop.job);
    if (rules.rule == config::Rule::fifo) return "a stop under fifo";
    if (job.counters.preemptions >= rules.mostPushes) return "pushed too often";
    auto found =
        std::find_if(job.runs.begin(), job.runs.end(), [&](const auto& each) { return each.task == stop.task; });
    if (found == job.runs.end() || found->stopping) return "a stop of what does not run";
    for (const auto& each : job.runs)
      if (found->gang > 0 && each.gang == found->gang && !each.stopping && !stops.contains({stop.job, each.task}))
        return "a gang stopped in part";
    bool standing = found->standing;
    for (const auto& each : job.runs)
      standing = standing || (found->gang > 0 && each.gang == found->gang && each.standing && !each.stopping);
    bool higher = false;
    for (const auto& other : jobs) {
      if (other.ready.empty()) continue;
      const bool rank = other.rank > job.rank, lane = other.counters.lane < job.counters.lane;
      const bool may = rules.rankFirst && other.rank != job.rank ? rank : lane && (!standing || rank);
      higher = higher || (may && other.dueInMs >= 0);
    }
    if (!higher) return "a stop for nothing higher";
  }
  return {};
}

bool fitsAlone(const Unit& unit, const Field& field) {
  if (unit.loads.size() > 1 && unit.whole) return false;
  std::size_t found = 0;
  for (std::size_t at = 0; at < field.workers.size(); ++at) {
    if (!allowed(unit, field.workers[at])) continue;
    if (field.workers[at].leavesInMs >= 0 && !unit.saves && unit.estimateMs * 3 / 2 > field.workers[at].leavesInMs)
      continue;
    auto free = field.workers[at].free;
    std::int64_t mine = 0;
    for (const auto& [where, count] : unit.beside) mine += where == at ? count : 0;
    for (std::size_t t = 0; t < unit.tasks.size() && (unit.apart == 0 || mine < unit.apart); ++t) {
      const auto& need = loadOf(unit, unit.whole ? 0 : t);
      bool enough = true;
      for (std::size_t k = 0; k < placement::kMostKinds; ++k) enough = enough && (need[k] == 0 || need[k] <= free[k]);
      if (!enough) continue;
      for (std::size_t k = 0; k < placement::kMostKinds; ++k) free[k] -= need[k];
      ++mine;
      ++found;
    }
  }
  return found >= (unit.whole ? unit.tasks.size() : 1);
}

std::vector<std::string> named(const Drawn& drawn, const Plan& plan) {
  std::vector<std::string> made;
  for (const auto& start : plan.starts)
    made.push_back("start " + drawn.jobs[start.job].id.value + "." + std::to_string(start.task) + " " +
                   std::to_string(start.worker));
  for (const auto& stop : plan.stops)
    made.push_back("stop " + drawn.jobs[stop.job].id.value + "." + std::to_string(stop.task));
  if (plan.reservedFor) made.push_back("reserved " + drawn.jobs[*plan.reservedFor].id.value);
  return made;
}

// Fleets as they are in a crowd: nearly all room is held, and each job asks for other amounts.
Drawn crowd(int workers, int perRack, int jobs, int ready, std::int64_t cores, std::uint64_t seed) {
  Dice dice(seed);
  Drawn made;
  made.rules.rankFirst = true;
  for (int i = 0; i < workers; ++i) {
    const Load total{0, cores, 131072, 0};
    auto each = worker(i, total, total, ("r" + std::to_string(i / perRack)).c_str());
    each.pool = PoolName("main");
    each.labels["kind"] = i % 2 ? "a" : "b";
    made.field.workers.push_back(each);
  }
  for (int j = 0; j < jobs; ++j) {
    Candidate job;
    const int kind = j % 3;
    job.id = JobId("job-" + std::to_string(j));
    job.rank = kind;
    job.acceptedMs = j * 10;
    job.readyForMs = 100;
    job.counters.lane = kind == 2 ? 0 : dice.upTo(1);
    if (dice.oneIn(2)) job.counters.firstStartMs = j;
    job.dueInMs = dice.between(-1000, 4000);
    const Load needed{0, dice.between(cores / 20, cores / 3), dice.between(2000, 40000), 0};
    std::uint32_t task = 0;
    for (int r = 0; r < 12; ++r) {
      const auto at = static_cast<std::size_t>(dice.upTo(workers - 1));
      if (!placement::fits(needed, made.field.workers[at].free)) continue;
      placement::take(made.field.workers[at].free, needed);
      auto each = held(task++, at, needed, dice.upTo(4000), kind == 1 ? 1 : 0);
      each.endsInMs = dice.between(1, 5000);
      job.runs.push_back(each);
    }
    Unit unit;
    for (int t = 0; t < ready / jobs; ++t) unit.tasks.push_back(task++);
    unit.loads = {needed};
    unit.whole = kind == 1;
    unit.oneRack = unit.whole && dice.oneIn(2);
    unit.pool = PoolName("main");
    if (dice.oneIn(5)) unit.needs = dice.oneIn(2) ? "a" : "b";
    if (dice.oneIn(3)) unit.near = "r" + std::to_string(dice.upTo(workers / perRack));
    unit.estimateMs = dice.between(500, 6000);
    job.ready.push_back(std::move(unit));
    made.jobs.push_back(std::move(job));
  }
  return made;
}

// A stretch of time in which jobs come, run, are stopped and end, planned every 50 ms.
struct Stretch {
  struct Job {
    Unit unit;
    std::int64_t rank = 0;
    Millis acceptedMs = 0, workMs = 0, aimMs = 0, endedMs = -1, startedMs = -1, waitMs = 0;
    Counters counters;
    std::vector<Millis> startMs;  // by task; -1: not running
    std::vector<Millis> stopMs;
    std::vector<Millis> leftMs;
    std::vector<std::size_t> where;
    std::vector<bool> done;
  };
  static constexpr Millis kRestoreMs = 600;
  Field fleet;
  config::Admission rules;
  std::vector<Job> jobs;
  std::string fault;
  std::size_t stops = 0;
  std::int64_t lostMs = 0;

  void play(Dice& dice, Millis comeMs, Millis lengthMs, double perTick) {
    for (Millis now = 0; now < lengthMs; now += 50) {
      if (now < comeMs)
        for (double left = perTick; left > 0; left -= 1)
          if (static_cast<double>(dice.upTo(999)) < 1000 * left) come(dice, now);
      step(now);
    }
  }

  void come(Dice& dice, Millis now) {
    Job job;
    const auto kind = dice.upTo(4);
    job.rank = kind == 0 ? 1 : kind == 1 ? 0 : 2;
    const auto count = static_cast<std::uint32_t>(kind == 0   ? dice.between(1, 8)
                                                  : kind == 1 ? dice.between(2, 20)
                                                              : dice.between(1, 4));
    job.unit =
        tasks(count, Load{0, dice.between(300, kind == 0 ? 8000 : 3000), dice.between(500, kind == 0 ? 20000 : 9000)},
              kind == 0);
    job.unit.oneRack = kind == 0 && dice.oneIn(2);
    if (dice.oneIn(3)) job.unit.near = "r" + std::to_string(dice.upTo(3));
    if (dice.oneIn(5)) job.unit.needs = dice.oneIn(2) ? "a" : "b";
    job.workMs = kind == 0 ? dice.between(2000, 10000) : dice.between(500, 3000);
    job.unit.estimateMs = job.workMs * dice.between(70, 140) / 100;
    job.aimMs = job.workMs * 2 + 1000;
    job.acceptedMs = now;
    job.startMs.assign(count, -1);
    job.stopMs.assign(count, -1);
    job.leftMs.assign(count, job.workMs);
    job.unit.saves = kind == 0 && dice.oneIn(2);
    job.where.assign(count, 0);
    job.done.assign(count, false);
    jobs.push_back(std::move(job));
  }

  void step(Millis now) {
    Drawn drawn;
    drawn.field = fleet;
    drawn.rules = rules;
    std::vector<std::size_t> at;
    for (std::size_t j = 0; j < jobs.size(); ++j) {
      auto& job = jobs[j];
      if (job.endedMs >= 0) continue;
      std::int64_t share = 0;
      bool running = false;
      Candidate made;
      made.id = JobId("j" + std::to_string(j));
      Unit ready = job.unit;
      ready.tasks.clear();
      for (std::uint32_t t = 0; t < job.startMs.size(); ++t) {
        if (job.startMs[t] >= 0 && job.stopMs[t] >= 0 && now >= job.stopMs[t] + 100)
          job.startMs[t] = job.stopMs[t] = -1;
        if (job.startMs[t] >= 0 && job.stopMs[t] < 0 && now >= job.startMs[t] + job.leftMs[t]) {
          job.done[t] = true;
          job.startMs[t] = -1;
        }
        if (job.done[t]) continue;
        if (job.startMs[t] < 0) {
          ready.tasks.push_back(t);
          continue;
        }
        running = true;
        auto run = held(t, job.where[t], job.unit.loads[0], job.unit.saves ? kRestoreMs : now - job.startMs[t],
                        job.unit.whole ? 1 : 0);
        run.stopping = job.stopMs[t] >= 0;
        run.endsInMs = std::max<Millis>(0, job.unit.estimateMs - (now - job.startMs[t]));
        placement::take(drawn.field.workers[run.worker].free, run.load);
        share += static_cast<std::int64_t>(1000 * placement::dominantShare(run.load, fleet.workers[run.worker].total));
        made.runs.push_back(run);
      }
      accrue(job.counters, share, !ready.tasks.empty(), 50);
      settle(job.counters, rules, running);
      if (std::all_of(job.done.begin(), job.done.end(), [](bool each) { return each; })) {
        job.endedMs = now;
        continue;
      }
      made.rank = job.rank;
      made.acceptedMs = job.acceptedMs;
      made.counters = job.counters;
      made.dueInMs = job.acceptedMs + job.aimMs - job.unit.estimateMs - now;
      if (made.dueInMs == 0) made.dueInMs = -1;
      if (!running) made.readyForMs = job.counters.waitMs;
      if (!ready.tasks.empty() && !(job.unit.whole && running)) made.ready.push_back(ready);
      drawn.jobs.push_back(std::move(made));
      at.push_back(j);
    }
    const auto made = plan(drawn.jobs, drawn.field, rules, {});
    if (auto found = broken(drawn, made); !found.empty()) fault = found;
    std::set<std::size_t> pushed;
    for (const auto& stop : made.stops) {
      auto& job = jobs[at[stop.job]];
      job.stopMs[stop.task] = now;
      lostMs += job.unit.saves ? kRestoreMs : now - job.startMs[stop.task];
      if (job.unit.saves) job.leftMs[stop.task] += kRestoreMs - (now - job.startMs[stop.task]);
      ++stops;
      if (pushed.insert(stop.job).second) ++job.counters.preemptions;
    }
    for (const auto& start : made.starts) {
      auto& job = jobs[at[start.job]];
      job.startMs[start.task] = now;
      job.where[start.task] = start.worker;
      if (job.startedMs < 0) job.startedMs = job.counters.firstStartMs = now;
    }
  }

  std::size_t inTime(std::int64_t rank) const {
    std::size_t good = 0, all = 0;
    for (const auto& job : jobs)
      if (job.rank == rank) {
        ++all;
        good += job.endedMs >= 0 && job.endedMs <= job.acceptedMs + job.aimMs;
      }
    return all ? 100 * good / all : 100;
  }
};

Stretch stretch(bool rankFirst) {
  Stretch made;
  made.rules.rankFirst = rankFirst;
  made.rules.thresholdsMs = {2000};
  made.rules.reserveAfterMs = 3000;
  for (int i = 0; i < 11; ++i) {
    const Load total{0, 16000, 65536};
    made.fleet.workers.push_back(worker(i, total, total, ("r" + std::to_string(i / 3)).c_str()));
    made.fleet.workers.back().labels["kind"] = i % 2 ? "a" : "b";
  }
  return made;
}

}  // namespace

TEST_GROUP(placement){};

TEST(placement, small_work_goes_where_least_capacity_is_left) {
  const auto made = plan(std::vector{waiting("small", tasks(1, load(1)))}, freeField({8, 3, 5}), {}, {});
  CHECK(workersOf(made) == std::vector<std::size_t>{1});
}

TEST(placement, every_kind_of_capacity_counts) {
  const auto where = fieldOf({worker(0, load(8, 10), load(8, 100)), worker(1, load(1, 100), load(8, 100)),
                              worker(2, load(2, 20), load(8, 100))});
  const auto made = plan(std::vector{waiting("job", tasks(1, load(2, 20)))}, where, {}, {});
  CHECK(workersOf(made) == std::vector<std::size_t>{2});
}

TEST(placement, doubted_workers_come_last_and_the_one_of_the_last_failure_after_them) {
  auto where = freeField({8, 8, 8});
  where.workers[0].doubt = 3;
  auto unit = tasks(1, load(1));
  unit.avoid = {WorkerId("w1")};
  CHECK(workersOf(plan(std::vector{waiting("job", unit)}, where, {}, {})) == std::vector<std::size_t>{2});
  where.workers[2].usable = false;
  CHECK(workersOf(plan(std::vector{waiting("job", unit)}, where, {}, {})) == std::vector<std::size_t>{0});
  where.workers[0].usable = false;
  CHECK(workersOf(plan(std::vector{waiting("job", unit)}, where, {}, {})) == std::vector<std::size_t>{1});
}

TEST(placement, apart_counts_what_is_there_already) {
  auto unit = tasks(5, load(1));
  unit.apart = 2;
  unit.beside = {{0, 1}, {1, 2}};
  const auto made = plan(std::vector{waiting("job", unit)}, freeField({8, 8, 8}), {}, {});
  auto where = workersOf(made);
  std::sort(where.begin(), where.end());
  CHECK(where == (std::vector<std::size_t>{0, 2, 2}));
}

TEST(placement, nothing_that_cannot_end_starts_on_a_leaving_worker) {
  auto where = freeField({8});
  where.workers[0].leavesInMs = 1000;
  auto unit = tasks(1, load(1));
  auto starts = [&] { return plan(std::vector{waiting("job", unit)}, where, {}, {}).starts.size(); };
  LONGS_EQUAL(0, starts());
  unit.estimateMs = 600;
  LONGS_EQUAL(1, starts());
  unit.estimateMs = 900;
  LONGS_EQUAL(0, starts());
  unit.saves = true;
  LONGS_EQUAL(1, starts());
  unit.saves = false;
  unit.estimateMs = 600;
  unit.standing = true;
  LONGS_EQUAL(0, starts());
}

TEST(placement, work_starts_by_its_data_or_elsewhere_at_once_unless_capacity_there_is_near) {
  auto where = fieldOf({worker(0, load(0), load(8), "r0"), worker(1, load(8), load(8), "r1")});
  auto unit = tasks(1, load(2));
  unit.near = "r0";
  unit.estimateMs = 2000;
  std::vector<Candidate> jobs{waiting("job", unit), busy("held", {held(0, 0, load(8))}, 0)};
  CHECK(workersOf(plan(jobs, where, {}, {})) == std::vector<std::size_t>{1});
  jobs[1].runs[0].endsInMs = 800;
  CHECK(workersOf(plan(jobs, where, {}, {})) == std::vector<std::size_t>{1});
  jobs[1].runs[0].endsInMs = 400;
  LONGS_EQUAL(0, plan(jobs, where, {}, {}).starts.size());
  jobs[0].readyForMs = 500;
  CHECK(workersOf(plan(jobs, where, {}, {})) == std::vector<std::size_t>{1});
  where.workers[0].free = load(2);
  CHECK(workersOf(plan(jobs, where, {}, {})) == std::vector<std::size_t>{0});
}

TEST(placement, a_wait_for_the_rack_that_is_switched_off_is_not_waited) {
  auto where = fieldOf({worker(0, load(0), load(8), "r0"), worker(1, load(8), load(8), "r1")});
  auto unit = tasks(1, load(2));
  unit.near = "r0";
  unit.estimateMs = 2000;
  std::vector<Candidate> jobs{waiting("job", unit), busy("held", {held(0, 0, load(8))}, 0)};
  jobs[1].runs[0].endsInMs = 400;
  LONGS_EQUAL(0, plan(jobs, where, {}, {}).starts.size());
  CHECK(workersOf(plan(jobs, where, without(config::Mechanism::rackWait), {})) == std::vector<std::size_t>{1});
}

TEST(placement, a_task_may_go_where_it_failed_last_if_avoiding_is_switched_off) {
  auto unit = tasks(1, load(2));
  unit.avoid = {WorkerId("w0")};
  const auto where = freeField({4, 8});
  CHECK(workersOf(plan(std::vector{waiting("job", unit)}, where, {}, {})) == std::vector<std::size_t>{1});
  CHECK(workersOf(plan(std::vector{waiting("job", unit)}, where, without(config::Mechanism::avoidFailed), {})) ==
        std::vector<std::size_t>{0});
}

TEST(placement, nothing_is_reserved_if_reservations_are_switched_off) {
  auto gang = waiting("gang", tasks(2, load(8), true));
  gang.gang = true;
  gang.readyForMs = 20000;
  std::vector<Candidate> jobs{gang, busy("held", {held(0, 0, load(4))}, 0)};
  const auto where = freeField({4, 8});
  CHECK(plan(jobs, where, {}, {}).reservedFor == std::optional<std::size_t>(0));
  CHECK(plan(jobs, where, without(config::Mechanism::reservation), {}).reservedFor == std::nullopt);
}

TEST(placement, an_aim_pushes_at_once_if_the_last_stretch_is_switched_off) {
  std::vector<Candidate> jobs{waiting("urgent", tasks(1, load(8)), 2), busy("held", {held(0, 0, load(8))}, 0, 1)};
  jobs[0].ready[0].estimateMs = 1000;
  jobs[0].dueInMs = 5000;
  auto rules = byRank();
  LONGS_EQUAL(0, plan(jobs, freeField({0}), rules, {}).stops.size());
  rules.without.insert(config::Mechanism::lastStretch);
  LONGS_EQUAL(1, plan(jobs, freeField({0}), rules, {}).stops.size());
}

namespace {

// Urgent work that asks for rack r0, which lower work fills, with room elsewhere. Running there costs it 500 ms more.
struct FullRack {
  std::vector<Candidate> jobs;
  Field where = fieldOf({worker(0, load(0), load(8), "r0"), worker(1, load(8), load(8), "r1")});
  config::Admission rules = byRank();

  FullRack() {
    auto unit = tasks(1, load(2));
    unit.near = "r0";
    unit.estimateMs = 1000;
    jobs = {waiting("urgent", unit, 2), busy("lower", {held(0, 0, load(4), 200), held(1, 0, load(4), 100)}, 0, 1)};
    jobs[0].dueInMs = 900;
    rules.mostRackLoss = 1;
  }
  Plan made() const { return plan(jobs, where, rules, {}); }
  bool runsElsewhere() const {
    const auto plan = made();
    return plan.stops.empty() && workersOf(plan) == std::vector<std::size_t>{1};
  }
};

}  // namespace

TEST(placement, lower_rank_makes_way_on_a_rack_for_less_than_running_elsewhere_costs) {
  FullRack full;
  const auto made = full.made();
  CHECK(made.starts.empty());
  CHECK(made.stops == (std::vector<Stop>{{1, 1, true}}));
}

TEST(placement, lower_rank_keeps_the_rack_where_more_would_be_done_again_than_running_elsewhere_costs) {
  FullRack full;
  for (auto& run : full.jobs[1].runs) run.lossMs = 260;
  CHECK(full.runsElsewhere());
  full.rules.mostRackLoss = 2;
  CHECK_FALSE(full.runsElsewhere());
}

TEST(placement, nothing_makes_way_on_a_rack_for_its_own_rank_for_late_work_or_without_the_option) {
  FullRack same, late, aimless, off, standing;
  same.jobs[1].rank = 2;
  late.jobs[0].dueInMs = -1;
  aimless.jobs[0].dueInMs = 0;
  off.rules.mostRackLoss = 0;
  for (auto& run : standing.jobs[1].runs) run.standing = true;
  for (const auto* each : {&same, &late, &aimless, &off, &standing}) CHECK(each->runsElsewhere());
}

TEST(placement, work_waits_for_its_rack_while_others_give_it_up_and_it_could_still_make_its_aim) {
  FullRack full;
  full.jobs[1].runs[1].stopping = true;
  full.jobs[0].readyForMs = 300;  // past the wait for a rack whose capacity comes by itself
  auto made = full.made();
  CHECK(made.starts.empty() && made.stops.empty());
  full.jobs[0].dueInMs = -1;
  CHECK(full.runsElsewhere());
}

TEST(placement, a_gang_goes_whole_on_one_rack_where_one_holds_it_and_spreads_otherwise) {
  auto where = fieldOf({worker(0, load(4), load(8), "r0"), worker(1, load(8), load(8), "r1"),
                        worker(2, load(3), load(8), "r0"), worker(3, load(8), load(8), "r1")});
  auto unit = tasks(4, load(4), true);
  unit.oneRack = true;
  auto used = workersOf(plan(std::vector{waiting("gang", unit)}, where, {}, {}));
  std::sort(used.begin(), used.end());
  CHECK(used == (std::vector<std::size_t>{1, 1, 3, 3}));
  where.workers[3].free = load(4);
  LONGS_EQUAL(4, plan(std::vector{waiting("gang", unit)}, where, {}, {}).starts.size());
}

TEST(placement, rank_comes_before_the_lane_and_pushes_only_where_the_option_says_so) {
  std::vector<Candidate> jobs{waiting("urgent", tasks(1, load(8)), 2), busy("held", {held(0, 0, load(8))}, 0, 1)};
  LONGS_EQUAL(0, plan(jobs, freeField({0}), {}, {}).stops.size());
  LONGS_EQUAL(1, plan(jobs, freeField({0}), byRank(), {}).stops.size());
  jobs[1].rank = 3;
  jobs[1].counters.lane = 1;
  LONGS_EQUAL(0, plan(jobs, freeField({0}), byRank(), {}).stops.size());
  auto where = freeField({0});
  where.rankFirst = true;
  jobs[1].rank = 1;
  LONGS_EQUAL(1, plan(jobs, where, {}, {}).stops.size());
  std::vector<Candidate> two{waiting("low", tasks(1, load(8)), 0), waiting("high", tasks(1, load(8)), 1)};
  two[1].counters.lane = 1;
  LONGS_EQUAL(0, plan(two, freeField({8}), {}, {}).starts[0].job);
  LONGS_EQUAL(1, plan(two, freeField({8}), byRank(), {}).starts[0].job);
}

TEST(placement, the_work_that_loses_least_is_stopped_and_no_more_than_needed) {
  std::vector<Candidate> jobs{waiting("new", tasks(1, load(4))), busy("dear", {held(0, 0, load(8), 3000)}),
                              busy("cheap", {held(0, 1, load(8), 500)}),
                              busy("many", {held(0, 2, load(2), 100), held(1, 2, load(2), 100), held(2, 2, load(2), 90),
                                            held(3, 2, load(2), 2000)})};
  const auto made = plan(jobs, freeField({0, 0, 0}), {}, {});
  CHECK(stoppedJobs(made) == (std::vector<std::size_t>{3, 3}));
  for (const auto& stop : made.stops) CHECK(stop.task != 3);
}

TEST(placement, a_gang_is_stopped_whole_and_priced_whole) {
  std::vector<Candidate> jobs{waiting("new", tasks(1, load(8))),
                              busy("gang", {held(0, 0, load(8), 400, 1), held(1, 1, load(8), 400, 1)}),
                              busy("lone", {held(0, 2, load(8), 700)})};
  CHECK(stoppedJobs(plan(jobs, freeField({0, 0, 0}), {}, {})) == std::vector<std::size_t>{2});
  jobs[2].runs[0].lossMs = 900;
  CHECK(stoppedJobs(plan(jobs, freeField({0, 0, 0}), {}, {})) == (std::vector<std::size_t>{1, 1}));
}

TEST(placement, capacity_left_over_by_a_stopped_gang_is_used_before_more_is_stopped) {
  std::vector<Candidate> jobs{waiting("first", tasks(1, load(8))), waiting("second", tasks(1, load(8))),
                              busy("gang", {held(0, 0, load(8), 100, 1), held(1, 1, load(8), 100, 1)}),
                              busy("lone", {held(0, 2, load(8), 900)})};
  CHECK(stoppedJobs(plan(jobs, freeField({0, 0, 0}), {}, {})) == (std::vector<std::size_t>{2, 2}));
}

TEST(placement, standing_work_yields_to_rank_and_not_to_the_lane) {
  std::vector<Candidate> jobs{waiting("new", tasks(1, load(8))), busy("standing", {held(0, 0, load(8))})};
  jobs[1].runs[0].standing = true;
  LONGS_EQUAL(0, plan(jobs, freeField({0}), {}, {}).stops.size());
  jobs[0].rank = 1;
  LONGS_EQUAL(1, plan(jobs, freeField({0}), {}, {}).stops.size());
}

TEST(placement, an_aim_pushes_only_when_waiting_would_miss_it_and_not_once_it_has_passed) {
  std::vector<Candidate> jobs{waiting("urgent", tasks(1, load(4)), 1), busy("held", {held(0, 0, load(8), 100)}, 1, 0)};
  jobs[0].ready[0].estimateMs = 1000;
  jobs[0].dueInMs = 1100;
  jobs[1].runs[0].endsInMs = 5000;
  LONGS_EQUAL(0, plan(jobs, freeField({0}), byRank(), {}).stops.size());
  jobs[0].dueInMs = 800;
  jobs[1].runs[0].endsInMs = 300;
  LONGS_EQUAL(0, plan(jobs, freeField({0}), byRank(), {}).stops.size());
  jobs[1].runs[0].endsInMs = 1000;
  LONGS_EQUAL(1, plan(jobs, freeField({0}), byRank(), {}).stops.size());
  jobs[0].dueInMs = -1;
  LONGS_EQUAL(0, plan(jobs, freeField({0}), byRank(), {}).stops.size());
}

TEST(placement, aims_order_work_that_never_started_and_passed_ones_go_last_for_a_bounded_time) {
  std::vector<Candidate> jobs;
  for (const char* id : {"passed", "late", "soon", "none"}) jobs.push_back(waiting(id, tasks(1, load(1))));
  jobs[0].dueInMs = -5;
  jobs[1].dueInMs = 20000;
  jobs[2].dueInMs = 900;
  CHECK(order(jobs, {}, {}) == (std::vector<std::size_t>{2, 3, 1, 0}));
  jobs[0].readyForMs = 10000;
  CHECK(order(jobs, {}, {}) == (std::vector<std::size_t>{0, 2, 3, 1}));
}

TEST(placement, a_push_may_lose_no_more_than_the_option_says) {
  std::vector<Candidate> jobs{waiting("new", tasks(1, load(2))), busy("held", {held(0, 0, load(8), 4000)})};
  jobs[0].ready[0].estimateMs = 1000;
  auto rules = config::Admission{};
  LONGS_EQUAL(1, plan(jobs, freeField({0}), rules, {}).stops.size());
  rules.mostLoss = 15;
  LONGS_EQUAL(0, plan(jobs, freeField({0}), rules, {}).stops.size());
  rules.mostLoss = 17;
  LONGS_EQUAL(1, plan(jobs, freeField({0}), rules, {}).stops.size());
}

TEST(placement, work_that_would_still_make_its_aim_is_dearer_to_stop_than_late_work) {
  std::vector<Candidate> jobs{waiting("new", tasks(1, load(8)), 1), busy("early", {held(0, 0, load(8), 100)}),
                              busy("late", {held(0, 1, load(8), 900)})};
  for (auto* each : {&jobs[1].runs[0], &jobs[2].runs[0]}) each->endsInMs = 2000;
  jobs[1].dueInMs = 3000;
  jobs[2].dueInMs = -10;
  CHECK(stoppedJobs(plan(jobs, freeField({0, 0}), byRank(), {})) == std::vector<std::size_t>{2});
  jobs[2].runs[0].lossMs = 2200;
  CHECK(stoppedJobs(plan(jobs, freeField({0, 0}), byRank(), {})) == std::vector<std::size_t>{1});
}

TEST(placement, short_work_may_use_reserved_capacity_until_it_comes_together) {
  std::vector<Candidate> jobs{waiting("gang", tasks(2, load(8), true)), waiting("short", tasks(1, load(2))),
                              waiting("long", tasks(1, load(2))), busy("held", {held(0, 0, load(8))}, 0)};
  jobs[0].readyForMs = 20000;
  jobs[1].ready[0].estimateMs = 1000;
  jobs[2].ready[0].estimateMs = 5000;
  jobs[3].runs[0].endsInMs = 3000;
  const auto made = plan(jobs, freeField({0, 8}), {}, {});
  LONGS_EQUAL(0, *made.reservedFor);
  LONGS_EQUAL(1, made.starts.size());
  LONGS_EQUAL(1, made.starts[0].job);
}

TEST(placement, no_capacity_is_reserved_that_standing_work_will_never_free) {
  std::vector<Candidate> jobs{waiting("gang", tasks(2, load(8), true)), waiting("small", tasks(1, load(2))),
                              busy("held", {held(0, 0, load(8))}, 0)};
  jobs[0].readyForMs = 20000;
  LONGS_EQUAL(0, plan(jobs, freeField({0, 8}), {}, {}).starts.size());
  jobs[2].runs[0].standing = true;
  const auto made = plan(jobs, freeField({0, 8}), {}, {});
  CHECK_FALSE(made.reservedFor.has_value());
  LONGS_EQUAL(1, made.starts.size());
}

TEST(placement, a_lone_task_wider_than_half_a_worker_gets_capacity_reserved_too) {
  std::vector<Candidate> jobs{waiting("wide", tasks(1, load(6))), waiting("small", tasks(3, load(1))),
                              busy("held", {held(0, 0, load(4))}, 0), busy("more", {held(0, 1, load(7))}, 0)};
  LONGS_EQUAL(3, plan(jobs, freeField({4, 1}), {}, {}).starts.size());
  jobs[0].readyForMs = 20000;
  const auto made = plan(jobs, freeField({4, 1}), {}, {});
  LONGS_EQUAL(0, *made.reservedFor);
  CHECK(workersOf(made) == std::vector<std::size_t>{1});
}

TEST(placement, service_below_a_millisecond_is_carried) {
  Counters counters;
  for (int i = 0; i < 1000; ++i) accrue(counters, 3, false, 50);
  LONGS_EQUAL(150, counters.servedMs);
  LONGS_EQUAL(150, counters.totalServedMs);
}

TEST(placement, what_asks_for_a_kind_too_many_fits_nowhere) {
  placement::Kinds kinds;
  placement::Capacity whole{8, {}};
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g"}) whole.more[name] = 4;
  const auto total = kinds.load(whole);
  CHECK(placement::fits(kinds.load({1, {{"f", 4}}}), total));
  CHECK_FALSE(placement::fits(kinds.load({1, {{"f", 5}}}), total));
  CHECK_FALSE(placement::fits(kinds.load({1, {{"g", 1}}}), total));
  CHECK_FALSE(placement::fits(kinds.load({1, {{"h", 1}}}), total));
  DOUBLES_EQUAL(0.75, placement::dominantShare(kinds.load({1, {{"a", 3}}}), total), 1e-9);
}

TEST(placement, what_no_pool_could_hold_is_known_and_a_pool_without_a_size_holds_anything) {
  config::Config config;
  std::vector<config::Fault> faults;
  CHECK(config::readConfigText(R"({"pools":{"main":{"slots":4,"workers":2,"room":{"cores":16},"labels":{"kind":"a"}}},
    "admission":{"rankFirst":true,"mostLoss":2.5}})",
                               config, faults));
  CHECK(config.admission.rankFirst);
  DOUBLES_EQUAL(2.5, config.admission.mostLoss, 1e-9);
  placement::Kinds kinds;
  auto unit = tasks(4, kinds.load({2, {{"cores", 4}}}), true);
  CHECK(couldEverFit(unit, config, kinds));
  unit.apart = 1;
  CHECK_FALSE(couldEverFit(unit, config, kinds));
  unit.apart = 0;
  unit.needs = "b";
  CHECK_FALSE(couldEverFit(unit, config, kinds));
  unit.needs = "a";
  CHECK(couldEverFit(unit, config, kinds));
  unit.loads = {kinds.load({2, {{"cores", 17}}})};
  CHECK_FALSE(couldEverFit(unit, config, kinds));
  unit.loads = {kinds.load({1, {{"gpu", 1}}})};
  CHECK_FALSE(couldEverFit(unit, config, kinds));
  auto many = tasks(5, kinds.load({2, {}}), true);
  CHECK_FALSE(couldEverFit(many, config, kinds));
  many.whole = false;
  CHECK(couldEverFit(many, config, kinds));
  config.pools["main"].slots = 0;
  CHECK(couldEverFit(unit, config, kinds));
  unit.pool = PoolName("other");
  CHECK_FALSE(couldEverFit(unit, config, kinds));
}

TEST(placement, no_hard_rule_is_broken_by_any_load) {
  std::size_t starts = 0, stops = 0, reserved = 0;
  for (std::uint64_t seed = 1; seed <= 6000; ++seed) {
    const auto drawn = draw(seed);
    const auto made = plan(drawn.jobs, drawn.field, drawn.rules, {});
    const auto fault = broken(drawn, made);
    if (!fault.empty()) FAIL((fault + " with seed " + std::to_string(seed)).c_str());
    starts += made.starts.size();
    stops += made.stops.size();
    reserved += made.reservedFor.has_value();
  }
  CHECK(starts > 6000);
  CHECK(stops > 600);
  CHECK(reserved > 60);
}

TEST(placement, something_starts_where_something_fits_alone) {
  std::size_t idle = 0;
  for (std::uint64_t seed = 1; seed <= 6000; ++seed) {
    auto drawn = draw(seed);
    drawn.field.quotaSlots.clear();
    for (auto& job : drawn.jobs) {
      job.readyForMs = std::min<Millis>(job.readyForMs, drawn.rules.reserveAfterMs - 1);
      for (auto& each : job.runs) {
        each.stopping = false;
        each.endsInMs = -1;
      }
    }
    const auto made = plan(drawn.jobs, drawn.field, drawn.rules, {});
    if (!made.starts.empty() || !made.stops.empty()) continue;
    ++idle;
    for (const auto& job : drawn.jobs)
      for (const auto& unit : job.ready)
        if (fitsAlone(unit, drawn.field)) FAIL(("nothing started with seed " + std::to_string(seed)).c_str());
  }
  CHECK(idle > 100);
}

TEST(placement, the_same_load_gives_the_same_plan_in_whatever_order_it_is_given) {
  for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
    auto drawn = draw(seed);
    const auto first = named(drawn, plan(drawn.jobs, drawn.field, drawn.rules, {}));
    CHECK(first == named(drawn, plan(drawn.jobs, drawn.field, drawn.rules, {})));
    std::reverse(drawn.jobs.begin(), drawn.jobs.end());
    CHECK(first == named(drawn, plan(drawn.jobs, drawn.field, drawn.rules, {})));
  }
}

TEST(placement, a_crowd_that_does_not_fit_costs_few_looks) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto small = crowd(11, 3, 100, 300, 16000, seed);
    const auto made = plan(small.jobs, small.field, small.rules, {});
    CHECK(broken(small, made).empty());
    CHECK(made.passedOver > 100);
    CHECK(made.looks < 11 * 500);
    const auto grown = crowd(74, 9, 400, 4000, 64000, seed);
    const auto wide = plan(grown.jobs, grown.field, grown.rules, {});
    CHECK(broken(grown, wide).empty());
    CHECK(wide.passedOver > 1000);
    CHECK(wide.looks < 74 * 1000);
  }
}

TEST(placement, every_job_ends_after_a_crowd_and_no_rule_is_broken_on_the_way) {
  for (std::uint64_t seed = 1; seed <= 24; ++seed) {
    Dice dice(seed);
    auto days = stretch(seed % 2);
    days.play(dice, 15000, 150000, 0.25 + 0.05 * static_cast<double>(seed % 8));
    CHECK(days.fault.empty());
    CHECK(days.jobs.size() > 50);
    for (std::size_t j = 0; j < days.jobs.size(); ++j)
      if (days.jobs[j].endedMs < 0)
        FAIL(("job " + std::to_string(j) + " never ended with seed " + std::to_string(seed)).c_str());
  }
}

TEST(placement, urgent_work_keeps_its_aim_in_a_crowd_where_rank_goes_first) {
  std::size_t first = 0, plain = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed)
    for (const bool rankFirst : {false, true}) {
      Dice dice(seed);
      auto days = stretch(rankFirst);
      days.rules.mostPushes = 0;
      days.play(dice, 15000, 90000, 0.8);
      (rankFirst ? first : plain) += days.inTime(2);
    }
  CHECK(first >= 8 * 95);
  CHECK(first > plain);
}
