#include "scheduler/scene.hpp"

#include <algorithm>
#include <cmath>

#include "config/pools.hpp"
#include "scheduler/internal.hpp"

namespace tulip::scheduler {

using namespace transport;

namespace {

constexpr double kDoubtedFailRate = 0.3;
constexpr int kFailingDoubt = 20;
constexpr int kShunnedDoubt = 40;
constexpr int kDoubtPerPace = 10;

void loadSteps(SchedulerState& scheduler, Job& job) {
  if (job.loads.size() == job.spec->steps.size()) return;
  job.loads.clear();
  for (const auto& step : job.spec->steps) job.loads.push_back(scheduler.kinds.load(step.need));
}

Millis lossOf(const Job& job, std::size_t at, Millis fleetMs, Millis checkpointMs) {
  const auto& task = job.tasks[at];
  const auto ranMs = std::max<Millis>(0, fleetMs - task.orderedMs);
  return job.stepOf(at).saves ? std::min(ranMs, checkpointMs / 2) : ranMs;
}

/// Makes one scene; what it keeps lives for that.
class SceneMaker {
 public:
  SceneMaker(SchedulerState& scheduler, Now now)
      : scheduler_(scheduler), config_(*scheduler.client.config), now_(now), fleetMs_(fleet(scheduler, now)) {}

  Scene make() {
    addWorkers();
    addLimits();
    for (const auto& id : scheduler_.open) addJob(scheduler_.jobs.at(id));
    return std::move(scene_);
  }

 private:
  bool anyWaitsLong() const {
    return std::any_of(scheduler_.open.begin(), scheduler_.open.end(), [&](const JobId& id) {
      const auto& job = scheduler_.jobs.at(id);
      return job.holding == 0 && job.counters.waitMs > 2 * bounds(scheduler_).leaseMs;
    });
  }

  /// The workers that are known, and those at which something is held, in the order of their names.
  std::vector<std::string_view> workerNames() const {
    std::vector<std::string_view> names;
    for (const auto& [id, row] : scheduler_.workers) names.push_back(id.view());
    for (const auto& [id, runs] : scheduler_.held)
      if (!runs.empty() && !scheduler_.workers.contains(id)) names.push_back(id.view());
    std::sort(names.begin(), names.end());
    return names;
  }

  void addWorkers() {
    const bool lastResort = anyWaitsLong();
    const auto names = workerNames();
    placeOf_.reserve(names.size());
    for (const auto name : names) {
      placeOf_[name] = scene_.workers.size();
      addWorker(WorkerId(name), lastResort);
    }
  }

  void addWorker(const WorkerId& id, bool lastResort) {
    placement::WorkerCapacity worker;
    worker.worker = id;
    worker.usable = false;
    std::string incarnation;
    double pace = 1;
    if (const auto found = scheduler_.workers.find(id); found != scheduler_.workers.end()) {
      const auto& row = found->second;
      describe(row, lastResort, worker);
      incarnation = row.last.workerIncarnation;
      pace = std::max(1.0, row.standing.pace);
    }
    worker.free = worker.total;
    paces_.push_back(pace);
    scene_.workers.push_back(id);
    scene_.incarnations.push_back(std::move(incarnation));
    scene_.field.workers.push_back(std::move(worker));
  }

  void describe(const WorkerRow& row, bool lastResort, placement::WorkerCapacity& worker) const {
    worker.zone = row.last.zone;
    worker.pool = row.last.pool;
    worker.poolRemoved = config::isRemoved(config_, worker.pool);
    worker.labels = row.last.labels;
    if (const auto* pool = config::poolOf(config_, worker.pool))
      for (const auto& [name, value] : pool->labels) worker.labels[name] = value;
    if (const auto rack = worker.labels.find("rack"); rack != worker.labels.end()) worker.rack = rack->second;
    worker.total = totalOf(scheduler_, row);
    worker.usable = usableWorker(scheduler_, row, now_, lastResort);
    worker.doubt = row.standing.failRate > kDoubtedFailRate
                       ? kFailingDoubt
                       : std::max(0, static_cast<int>(std::lround(kDoubtPerPace * (row.standing.pace - 1))));
    if (now_.steadyMs < row.standing.shunnedUntilMs) worker.doubt += kShunnedDoubt;
    worker.leavesInMs = row.last.leavesMs;
  }

  void addLimits() {
    scene_.field.farFactor = bounds(scheduler_).farFactor;
    for (const auto& [name, line] : config_.queues)
      if (line.quotaSlots > 0) scene_.field.quotaSlots[QueueName(name)] = line.quotaSlots;
    for (const auto& [name, tenant] : config_.tenants) {
      tenantAt_[name] = scene_.field.tenants.size();
      scene_.field.tenants.push_back({scheduler_.kinds.load({0, tenant.atMost}), {}});
    }
  }

  std::size_t tenantOf(const Job& job) const {
    const auto found = tenantAt_.find(job.spec->tenant.view());
    return found == tenantAt_.end() ? admission::kNoTenant : found->second;
  }

  void addJob(Job& job) {
    const auto groups = readyGroups(job, fleetMs_);
    if (groups.empty() && job.holding == 0) return;
    loadSteps(scheduler_, job);
    admission::Candidate candidate;
    candidate.id = job.id;
    candidate.pending = job.pending();
    candidate.counters = job.counters;
    candidate.tenant = tenantOf(job);
    candidate.acceptedMs = job.acceptedMs;
    candidate.gang = job.spec->gang;
    beside_.clear();
    if (job.holding > 0) addRuns(job, candidate);
    const auto& pool = poolFor(scheduler_, job);
    for (const auto& group : groups) candidate.ready.push_back(unitOf(job, pool, group));
    const auto& queue = queueOf(scheduler_, job);
    candidate.rank = queue.rank;
    if (queue.aimMs > 0) candidate.dueInMs = dueInMs(job, queue, groups);
    if (!candidate.ready.empty() && candidate.runs.empty()) candidate.readyForMs = job.counters.waitMs;
    scene_.candidates.push_back(std::move(candidate));
    scene_.ids.push_back(job.id);
  }

  /// What the job holds, taken off what is free.
  void addRuns(const Job& job, admission::Candidate& candidate) {
    std::map<std::size_t, std::size_t> gangs;
    for (const auto& [i, task] : job.tasks.rows()) {
      if (!task.holds()) continue;
      const auto where = placeOf_.at(task.worker.view());
      const auto& step = job.stepOf(i);
      const auto& load = job.loads[job.stepIndexOf(i)];
      placement::take(scene_.field.workers[where].free, load);
      if (candidate.tenant != admission::kNoTenant) placement::add(scene_.field.tenants[candidate.tenant].held, load);
      const bool over = task.stopping || task.state == TaskState::done;
      std::size_t gang = 0;
      if (job.spec->gang)
        gang = 1;
      else if (step.together)
        gang = gangs.emplace(gangBegin(job, i), gangs.size() + 2).first->second;
      candidate.runs.push_back({i, where, load, over, gang, lossOf(job, i, fleetMs_, bounds(scheduler_).checkpointMs),
                                step.standing, leftMs(job, i, fleetMs_, paces_[where])});
      if (step.apart > 0) countBeside(gangBegin(job, i), where);
      scene_.field.heldSlots[job.pending()] += step.need.slots;
    }
  }

  void countBeside(std::size_t step, std::size_t worker) {
    auto& rows = beside_[step];
    const auto found = std::ranges::find(rows, worker, [](const auto& row) { return row.first; });
    if (found == rows.end())
      rows.emplace_back(worker, 1);
    else
      ++found->second;
  }

  /// `pool`: where the job's queue is sent; where it was sent at acceptance may be gone.
  admission::Unit unitOf(const Job& job, const PoolName& pool, const std::vector<std::uint32_t>& group) const {
    const auto stepIndex = job.stepIndexOf(group.front());
    const auto& step = job.spec->steps[stepIndex];
    admission::Unit unit;
    unit.tasks = group;
    if (job.spec->gang)
      for (const auto i : group) unit.loads.push_back(job.loads[job.stepIndexOf(i)]);
    else
      unit.loads.push_back(job.loads[stepIndex]);
    unit.whole = job.spec->gang || step.together;
    unit.oneRack = step.oneRack;
    unit.saves = step.saves;
    unit.pool = pool;
    unit.labels = job.spec->labels;
    unit.needs = step.needs;
    unit.near = step.near;
    unit.apart = step.apart;
    unit.estimateMs = step.estimateMs;
    unit.standing = step.standing;
    if (const auto found = beside_.find(gangBegin(job, group.front())); found != beside_.end())
      unit.beside = found->second;
    const bool failed =
        std::any_of(group.begin(), group.end(), [&](std::uint32_t i) { return !job.tasks[i].failedOn.empty(); });
    if (failed)
      for (const auto i : group) unit.avoid.push_back(job.tasks[i].failedOn);
    return unit;
  }

  /// Until what is left of the job must start for its queue's aim; negative: that has passed.
  Millis dueInMs(const Job& job, const config::Queue& queue,
                 const std::vector<std::vector<std::uint32_t>>& groups) const {
    const auto instance = groups.empty() ? 0 : job.instanceOf(groups.front().front());
    const auto aimMs =
        queue.aimMs + static_cast<Millis>(queue.stretch * static_cast<double>(chainMs(job, instance, true)));
    return dueMs(job, instance) + aimMs - chainMs(job, instance, false) - fleetMs_;
  }

  SchedulerState& scheduler_;
  const config::Config& config_;
  Now now_;
  Millis fleetMs_;
  Scene scene_;
  absl::flat_hash_map<std::string_view, std::size_t> placeOf_;   // of a worker
  absl::flat_hash_map<std::string_view, std::size_t> tenantAt_;  // place of a tenant
  std::vector<double> paces_;                                    // of the workers
  // By step, of the job that is being added: worker, tasks of the step that run there.
  std::map<std::size_t, std::vector<std::pair<std::size_t, std::int64_t>>> beside_;
};

}  // namespace

Scene makeScene(SchedulerState& scheduler, Now now) { return SceneMaker(scheduler, now).make(); }

}  // namespace tulip::scheduler
