#include "scheduler/run_waits.hpp"

#include <algorithm>

#include "config/pools.hpp"
#include "scheduler/internal.hpp"

namespace tulip::scheduler {

using namespace transport;

namespace {

/// The policy of the pool of a worker. Nobody knows the pool of a worker that neither this leader (row is null) nor the
/// present life of its agent has heard.
config::SilencePolicy policyOf(const SchedulerState& scheduler, const WorkerRow* row) {
  const bool known = row && !row->last.pool.empty();
  return config::silencePolicy(*scheduler.client.config, known ? &row->last.pool : nullptr);
}

}  // namespace

Millis runWaitBoundMs(const Bounds& bounds, std::int64_t lostAfterLeases) {
  return 3 * bounds.sureMs(lostAfterLeases) + bounds.runStopMs + 2 * bounds.reportMs();
}

std::string_view waitName(RunWaitKind kind) {
  switch (kind) {
    case RunWaitKind::start:
      return "not confirmed";
    case RunWaitKind::stop:
      return "not stopped";
    case RunWaitKind::release:
      return "not released";
  }
  return "unknown";
}

namespace {

constexpr std::size_t kMostAlarms = 16;  // of runs that are overdue at once, each in a line of its own

struct OverdueRun {
  AttemptId run;
  WorkerId worker;
  JobId job;
  std::size_t task = 0;
  RunWait wait;
};

/// What a run that holds capacity is waiting for; nothing while it is at work.
std::optional<RunWaitKind> waitOf(const Task& task) {
  if (task.state == TaskState::done) return RunWaitKind::release;
  if (task.stopping) return RunWaitKind::stop;
  if (!task.confirmed) return RunWaitKind::start;
  return std::nullopt;
}

const WorkerRow* rowOf(const SchedulerState& scheduler, const WorkerId& worker) {
  const auto found = scheduler.workers.find(worker);
  return found == scheduler.workers.end() ? nullptr : &found->second;
}

/// Brings the recorded waits in line with the runs that are held, keeping the start of each that goes on.
void recordWaits(SchedulerState& scheduler, Now now) {
  RunWaits waits;
  for (const auto& [worker, runs] : scheduler.held)
    for (const auto& [run, where] : runs) {
      const auto kind = waitOf(scheduler.jobs.at(where.first).tasks[where.second]);
      if (!kind) continue;
      const auto known = scheduler.runWaits.find(run);
      const bool goesOn = known != scheduler.runWaits.end() && known->second.kind == *kind;
      waits.emplace(run, goesOn ? known->second : RunWait{*kind, now.steadyMs, false});
    }
  scheduler.runWaits = std::move(waits);
}

std::vector<OverdueRun> overdueRuns(const SchedulerState& scheduler, Now now) {
  std::vector<OverdueRun> overdue;
  for (const auto& [worker, runs] : scheduler.held) {
    if (runs.empty()) continue;
    const auto policy = policyOf(scheduler, rowOf(scheduler, worker));
    const auto boundMs = runWaitBoundMs(bounds(scheduler), policy.lostAfterLeases);
    for (const auto& [run, where] : runs) {
      const auto wait = scheduler.runWaits.find(run);
      if (wait == scheduler.runWaits.end() || wait->second.overdue) continue;
      const auto sinceMs = std::max(wait->second.sinceMs, scheduler.leadSinceMs);
      if (now.steadyMs - sinceMs > boundMs) overdue.push_back({run, worker, where.first, where.second, wait->second});
    }
  }
  return overdue;
}

std::string alarmText(const SchedulerState& scheduler, const OverdueRun& overdue, Now now) {
  std::string text = "run " + overdue.run.value + " at " + overdue.worker.value + " is " +
                     std::string(waitName(overdue.wait.kind)) + ", past its bound, after " +
                     std::to_string(now.steadyMs - overdue.wait.sinceMs) + " ms; ";
  const auto* row = rowOf(scheduler, overdue.worker);
  if (!row) return text + "its agent was never heard";
  const auto& task = scheduler.jobs.at(overdue.job).tasks[overdue.task];
  text += "its agent was heard " + std::to_string(now.steadyMs - row->heardMs) + " ms ago and ";
  text += row->last.workerHeard ? "heard its worker " + std::to_string(row->last.workerAgeMs) + " ms before that"
                                : std::string("has not heard its worker");
  text += row->listed.contains(overdue.run.value) ? ", lists the run" : ", doesn't list the run";
  return text + ", incarnation " + row->last.workerIncarnation + ", ordered for " + task.workerIncarnation;
}

/// A run that did not start is stopped. What neither starts nor stops can only be ended by its worker itself, which it
/// does once its lease lapses: no renewal is sent until then.
void takeWayOut(SchedulerState& scheduler, const OverdueRun& overdue, Now now) {
  if (overdue.wait.kind == RunWaitKind::start) {
    ++scheduler.counts.stops;
    const auto fleetMs = fleet(scheduler, now);
    change(scheduler, overdue.job, [&](Job& job) { stopRun(job, overdue.task, fleetMs); });
    return;
  }
  const auto row = scheduler.workers.find(overdue.worker);
  if (row == scheduler.workers.end()) return;
  if (policyOf(scheduler, &row->second).selfStop) row->second.leaseWithheld = true;
}

/// A worker whose lease was withheld is served again once nothing is held there, or if silence proves nothing any more.
void renewLeases(SchedulerState& scheduler) {
  for (auto& [worker, row] : scheduler.workers) {
    if (!row.leaseWithheld) continue;
    const auto held = scheduler.held.find(worker);
    const bool over = held == scheduler.held.end() || held->second.empty();
    if (over || !policyOf(scheduler, &row).selfStop) row.leaseWithheld = false;
  }
}

}  // namespace

void checkRunWaits(SchedulerState& scheduler, Now now, Outbox& out) {
  renewLeases(scheduler);
  recordWaits(scheduler, now);
  const auto overdueNow = overdueRuns(scheduler, now);
  std::size_t told = 0;
  for (const auto& overdue : overdueNow) {
    ++scheduler.counts.overdueRuns;
    scheduler.runWaits.at(overdue.run).overdue = true;
    if (++told <= kMostAlarms) out.alarms.push_back(alarmText(scheduler, overdue, now));
    takeWayOut(scheduler, overdue, now);
  }
  if (told > kMostAlarms) out.alarms.push_back(std::to_string(told - kMostAlarms) + " more runs are past their bounds");
}

void endSilentRuns(SchedulerState& scheduler, Now now) {
  std::vector<std::pair<JobId, std::size_t>> lost;
  for (const auto& [worker, runs] : scheduler.held) {
    if (runs.empty()) continue;
    const auto mark = scheduler.client.config->gone.find(worker.value);
    const bool gone = mark != scheduler.client.config->gone.end() && mark->second;
    const auto* row = rowOf(scheduler, worker);
    const Millis heardMs = row ? std::max(row->heardMs, scheduler.leadSinceMs) : scheduler.leadSinceMs;
    const auto policy = policyOf(scheduler, row);
    const bool silent = now.steadyMs - heardMs >= bounds(scheduler).sureMs(policy.lostAfterLeases);
    if (!gone && !(policy.selfStop && silent)) continue;
    for (const auto& [run, where] : runs) lost.push_back(where);
  }
  for (const auto& [id, at] : lost)
    finishRun(scheduler, id, at, AttemptOutcome::lost, "worker silent past its term", now);
}

}  // namespace tulip::scheduler
