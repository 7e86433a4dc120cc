#include <algorithm>
#include <cmath>

#include "config/pools.hpp"
#include "scheduler/internal.hpp"

namespace tulip::scheduler {

using namespace transport;

namespace {

void shun(SchedulerState& scheduler, WorkerRow& row, Now now) {
  if (!isOn(scheduler, config::Mechanism::shunning)) return;
  auto& standing = row.standing;
  const auto already = std::count_if(scheduler.workers.begin(), scheduler.workers.end(), [&](const auto& other) {
    return now.steadyMs < other.second.standing.shunnedUntilMs;
  });
  if (3 * (already + 1) > static_cast<std::ptrdiff_t>(scheduler.workers.size()) && scheduler.workers.size() > 1) return;
  const auto doublings = std::min<std::int64_t>(standing.shuns, 2);
  standing.shunnedUntilMs = now.steadyMs + bounds(scheduler).workerLeaseMs * 3 / 2 * (1LL << doublings);
  ++standing.shuns;
  ++scheduler.counts.shuns;
}

constexpr double kWeight = 0.25, kSlow = 2.4, kMostRatio = 20.0;

void notePace(SchedulerState& scheduler, WorkerRow& row, double ratio, Now now) {
  row.standing.pace += kWeight * (std::min(kMostRatio, ratio) - row.standing.pace);
  if (row.standing.pace > kSlow && now.steadyMs >= row.standing.shunnedUntilMs) shun(scheduler, row, now);
}

void judgePace(SchedulerState& scheduler, WorkerRow& row, const QueueName& line, Millis tookMs, Now now) {
  constexpr std::int64_t kFewestEnds = 16;
  auto& usual = scheduler.paces[line];
  ++usual.ends;
  if (usual.ends > kFewestEnds && usual.meanMs > 0)
    notePace(scheduler, row, static_cast<double>(tookMs) / usual.meanMs, now);
  const double weight = usual.ends <= kFewestEnds ? 1.0 / static_cast<double>(usual.ends) : 0.02;
  if (usual.ends <= kFewestEnds || static_cast<double>(tookMs) < kSlow * usual.meanMs)
    usual.meanMs += weight * (static_cast<double>(tookMs) - usual.meanMs);
}

/// How many times as long as expected a task takes whose whole time is `wholeMs`.
double paceOfWhole(const SchedulerState& scheduler, const Job& job, std::size_t at, Millis wholeMs) {
  if (!isOn(scheduler, config::Mechanism::peerPace))
    return static_cast<double>(wholeMs) / static_cast<double>(job.stepOf(at).estimateMs);
  const auto found = scheduler.estimateErrors.find(job.pending());
  return slowness(job, at, wholeMs, found == scheduler.estimateErrors.end() ? EstimateError{} : found->second);
}

void judgeEstimated(SchedulerState& scheduler, WorkerRow& row, Job& job, std::size_t at, Millis tookMs, Now now) {
  auto& error = scheduler.estimateErrors[job.pending()];
  notePace(scheduler, row, paceOfWhole(scheduler, job, at, tookMs), now);
  if (!noteEnd(job, at, tookMs)) return;
  const auto tally = job.tallyOf(at);
  noteEstimate(error,
               static_cast<double>(tally.timedMs) / tally.timed / static_cast<double>(job.stepOf(at).estimateMs));
}

void blame(SchedulerState& scheduler, const WorkerId& id, Now now) {
  auto found = scheduler.workers.find(id);
  if (found == scheduler.workers.end()) return;
  constexpr double kWeight = 0.2, kShunned = 0.45;
  auto& standing = found->second.standing;
  standing.failRate += kWeight * (1.0 - standing.failRate);
  if (standing.failRate <= kShunned) return;
  shun(scheduler, found->second, now);
  standing.failRate = kShunned * 0.9;
}

}  // namespace

void judgeWorker(SchedulerState& scheduler, WorkerRow& row, Job& job, std::size_t at, AttemptOutcome outcome, Now now) {
  const auto& task = job.tasks[at];
  auto& standing = row.standing;
  if (outcome == AttemptOutcome::failed) ++standing.failed;
  if (outcome != AttemptOutcome::clean) return;
  ++standing.clean;
  constexpr double kWeight = 0.2;
  standing.failRate -= kWeight * standing.failRate;
  const auto& step = job.stepOf(at);
  const auto tookMs = fleet(scheduler, now) - task.orderedMs;
  if (step.estimateMs <= 0)
    judgePace(scheduler, row, job.pending(), tookMs, now);
  else if (task.runningMs >= 0 && task.runningPercent == 0 && !step.oneRack && step.near.empty())
    judgeEstimated(scheduler, row, job, at, fleet(scheduler, now) - task.runningMs, now);
  if (standing.failRate < 0.1 && standing.pace < 1.5) standing.shuns = 0;
  const bool once = !step.together || at == gangBegin(job, at);
  if (once && !task.failedOn.empty() && task.failedOn != row.id) blame(scheduler, task.failedOn, now);
}

Millis projectedMs(const SchedulerState& scheduler, const Job& job, std::size_t at, Millis fleetMs) {
  const auto& task = job.tasks[at];
  const auto& step = job.stepOf(at);
  if (task.runningMs < 0 || step.estimateMs <= 0 || step.standing || task.stopping || task.percent >= 100) return 0;
  const auto lagMs = bounds(scheduler).nextHeartbeatMs() * 3 / 2;
  const auto ranMs = fleetMs - task.runningMs - lagMs;
  if (ranMs < std::max<Millis>(bounds(scheduler).leaseMs / 3, step.estimateMs / 8)) return 0;
  const auto done = std::max<double>(1.0, static_cast<double>(task.percent - task.runningPercent)) / 100.0;
  const auto far = step.oneRack || !step.near.empty() ? bounds(scheduler).farFactor : 1.0;
  return std::max<Millis>(1, std::llround(static_cast<double>(ranMs) / (far * done)));
}

double paceOf(const SchedulerState& scheduler, const Job& job, std::size_t at, Millis fleetMs) {
  const auto wholeMs = projectedMs(scheduler, job, at, fleetMs);
  if (wholeMs == 0) return 0;
  return paceOfWhole(scheduler, job, at, wholeMs);
}

void observeRuns(SchedulerState& scheduler, WorkerRow& row, std::vector<double> paces, Now now) {
  if (paces.empty() || now.steadyMs - row.pacedMs < bounds(scheduler).heartbeatMs()) return;
  row.pacedMs = now.steadyMs;
  const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  notePace(scheduler, row, *middle, now);
}

// Runs are stopped, to start elsewhere, where they stand still while a sound one would have moved, where they would
// take far longer than anew on a sound worker, and where their worker leaves before they can end.
void judgeProgress(SchedulerState& scheduler, Now now) {
  const auto fleetMs = fleet(scheduler, now);
  struct Moved {
    WorkerId worker;
    JobId job;
    std::size_t task;
    bool stuck;
  };
  std::vector<Moved> moved;
  const bool moves = isOn(scheduler, config::Mechanism::moves);
  std::size_t usable = 0;
  for (const auto& [worker, row] : scheduler.workers) usable += usableWorker(scheduler, row, now);
  for (const auto& [worker, runs] : scheduler.held) {
    auto found = scheduler.workers.find(worker);
    if (runs.empty() || found == scheduler.workers.end()) continue;
    const auto& row = found->second;
    if (now.steadyMs - row.heardMs > bounds(scheduler).reportMs() + bounds(scheduler).heartbeatMs()) continue;
    const bool slow = row.standing.pace > kSlow && usable * 2 > scheduler.workers.size();
    const Millis leavesMs = row.last.leavesMs < 0 ? -1 : row.last.leavesMs - (now.steadyMs - row.heardMs);
    for (const auto& [run, where] : runs) {
      const auto& job = scheduler.jobs.at(where.first);
      const auto& task = job.tasks[where.second];
      const auto& step = job.stepOf(where.second);
      if (!task.confirmed || task.stopping || task.state != TaskState::placed) continue;
      if (row.last.leavesMs >= 0 && usable > 0) {
        const auto left = leftMs(job, where.second, fleetMs, std::max(1.0, row.standing.pace));
        if (step.standing || left > std::max<Millis>(0, leavesMs)) {
          moved.push_back({worker, where.first, where.second, false});
          continue;
        }
      }
      if (!moves || step.standing || step.estimateMs <= 0 || task.runningMs < 0) continue;
      const Millis patienceMs =
          std::max<Millis>(bounds(scheduler).leaseMs * 3 / 5, step.estimateMs / 8) + bounds(scheduler).reportMs();
      if (task.percent < 100 && fleetMs - task.movedMs >= patienceMs) {
        moved.push_back({worker, where.first, where.second, true});
        continue;
      }
      if (!slow || paceOf(scheduler, job, where.second, fleetMs) < kSlow) continue;
      const auto expected = static_cast<double>(
          isOn(scheduler, config::Mechanism::peerPace) ? expectedMs(job, where.second) : step.estimateMs);
      const auto leftHere = expected * static_cast<double>(100 - task.percent) / 100.0 * row.standing.pace;
      const auto kept = step.saves ? static_cast<double>(task.percent) / 200.0 : 0.0;
      const auto anew = expected * (1.1 - kept) + static_cast<double>(bounds(scheduler).leaseMs) / 4;
      if (leftHere > (step.together ? 2.0 : 1.3) * anew) moved.push_back({worker, where.first, where.second, false});
    }
  }
  for (const auto& each : moved) {
    auto& row = scheduler.workers.at(each.worker);
    if (each.stuck) {
      ++scheduler.counts.stalls;
      if (now.steadyMs >= row.standing.shunnedUntilMs) shun(scheduler, row, now);
    }
    ++scheduler.counts.stops;
    change(scheduler, each.job, [&](Job& job) {
      job.tasks.edit(each.task).failedOn = each.worker;
      stopRun(job, each.task, fleetMs);
    });
  }
}

bool usableWorker(const SchedulerState& scheduler, const WorkerRow& row, Now now, bool lastResort) {
  if (row.leaseWithheld) return false;
  const auto& config = *scheduler.client.config;
  if (row.heardMs < 0 || now.steadyMs - row.heardMs > bounds(scheduler).freshMs()) return false;
  if (!row.last.workerHeard || row.last.workerAgeMs > bounds(scheduler).freshMs() || row.last.leaving) return false;
  if (row.last.acked < scheduler.client.configVersion) return false;
  if (!config::poolOf(config, row.last.pool)) return false;
  if (auto zone = config.emptied.find(row.last.zone.value); zone != config.emptied.end() && zone->second) return false;
  if (auto drain = config.drained.find(row.id.value); drain != config.drained.end() && drain->second) return false;
  return lastResort || now.steadyMs >= row.standing.shunnedUntilMs;
}

}  // namespace tulip::scheduler
