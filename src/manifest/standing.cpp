#include <algorithm>

#include "manifest/parts.hpp"

namespace tulip::manifest {

using namespace signal;

namespace {

void shun(PilotState& pilot, WorkerRow& row, Now now) {
  auto& standing = row.standing;
  const auto already = std::count_if(pilot.workers.begin(), pilot.workers.end(),
                                     [&](const auto& other) { return now.steadyMs < other.second.standing.shunnedUntilMs; });
  if (3 * (already + 1) > static_cast<std::ptrdiff_t>(pilot.workers.size()) && pilot.workers.size() > 1) return;
  const auto doublings = std::min<std::int64_t>(standing.shuns, 4);
  standing.shunnedUntilMs = now.steadyMs + 4 * bounds(pilot).workerTermMs * (1LL << doublings);
  ++standing.shuns;
  ++pilot.counts.shuns;
}

void judgePace(PilotState& pilot, WorkerRow& row, const PendingName& line, Millis tookMs, Now now) {
  constexpr std::int64_t kFewestEnds = 16;
  constexpr double kWeight = 0.2, kSlow = 3.0, kMostRatio = 20.0;
  auto& usual = pilot.paces[line];
  ++usual.ends;
  if (usual.ends > kFewestEnds && usual.meanMs > 0) {
    const double ratio = std::min(kMostRatio, static_cast<double>(tookMs) / usual.meanMs);
    row.standing.pace += kWeight * (ratio - row.standing.pace);
  }
  const double weight = usual.ends <= kFewestEnds ? 1.0 / static_cast<double>(usual.ends) : 0.02;
  if (usual.ends <= kFewestEnds || static_cast<double>(tookMs) < kSlow * usual.meanMs)
    usual.meanMs += weight * (static_cast<double>(tookMs) - usual.meanMs);
  if (row.standing.pace > kSlow) {
    shun(pilot, row, now);
    row.standing.pace = kSlow * 0.8;
  }
}

void blame(PilotState& pilot, const WorkerId& id, Now now) {
  auto found = pilot.workers.find(id);
  if (found == pilot.workers.end()) return;
  constexpr double kWeight = 0.2, kShunned = 0.45;
  auto& standing = found->second.standing;
  standing.failRate += kWeight * (1.0 - standing.failRate);
  if (standing.failRate <= kShunned) return;
  shun(pilot, found->second, now);
  standing.failRate = kShunned * 0.9;
}

}  // namespace

void judgeWorker(PilotState& pilot, WorkerRow& row, const Job& job, std::size_t at, RunOutcome outcome, Now now) {
  const auto& task = job.tasks[at];
  auto& standing = row.standing;
  if (outcome == RunOutcome::failed) ++standing.failed;
  if (outcome != RunOutcome::clean) return;
  ++standing.clean;
  constexpr double kWeight = 0.2;
  standing.failRate -= kWeight * standing.failRate;
  judgePace(pilot, row, job.pending(), fleet(pilot, now) - task.orderedMs, now);
  if (standing.failRate < 0.1 && standing.pace < 1.5) standing.shuns = 0;
  if (!task.failedOn.empty() && task.failedOn != row.id) blame(pilot, task.failedOn, now);
}

// Runs that stand still while a sound one would have moved are stopped, and their worker is shunned.
void judgeProgress(PilotState& pilot, Now now) {
  const auto fleetMs = fleet(pilot, now);
  struct Stuck {
    WorkerId worker;
    JobId job;
    std::size_t task;
  };
  std::vector<Stuck> stuck;
  for (const auto& [worker, runs] : pilot.held) {
    auto row = pilot.workers.find(worker);
    if (runs.empty() || row == pilot.workers.end()) continue;
    if (now.steadyMs - row->second.heardMs > bounds(pilot).reportMs() + bounds(pilot).beatMs()) continue;
    for (const auto& [run, where] : runs) {
      const auto& job = pilot.jobs.at(where.first);
      const auto& task = job.tasks[where.second];
      const auto& step = job.stepOf(where.second);
      if (!task.confirmed || task.stopping || task.state != TaskState::placed || step.standing || step.estimateMs <= 0) continue;
      if (step.together && job.tallyOf(where.second).placed < step.count) continue;
      const Millis patienceMs = std::max<Millis>(bounds(pilot).termMs, step.estimateMs / 4) + bounds(pilot).reportMs();
      if (fleetMs - task.movedMs >= patienceMs) stuck.push_back({worker, where.first, where.second});
    }
  }
  for (const auto& each : stuck) {
    ++pilot.counts.stalls;
    auto& row = pilot.workers.at(each.worker);
    if (now.steadyMs >= row.standing.shunnedUntilMs) shun(pilot, row, now);
    change(pilot, each.job, [&](Job& job) {
      job.tasks[each.task].failedOn = each.worker;
      stopRun(job, each.task, fleetMs);
    });
  }
}

bool usableWorker(const PilotState& pilot, const WorkerRow& row, Now now) {
  const auto& chart = *pilot.crew.chart;
  if (row.heardMs < 0 || now.steadyMs - row.heardMs > bounds(pilot).freshMs()) return false;
  if (!row.last.workerHeard || row.last.workerAgeMs > bounds(pilot).freshMs() || row.last.leaving) return false;
  if (row.last.acked < pilot.crew.chartRevision) return false;
  if (!chart.pools.contains(row.last.pool.value)) return false;
  if (auto cell = chart.emptied.find(row.last.cell.value); cell != chart.emptied.end() && cell->second) return false;
  if (auto drain = chart.drained.find(row.id.value); drain != chart.drained.end() && drain->second) return false;
  return now.steadyMs >= row.standing.shunnedUntilMs;
}

}  // namespace tulip::manifest
