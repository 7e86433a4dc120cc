#include <algorithm>

#include "scheduler/internal.hpp"
#include "scheduler/job_memory.hpp"

namespace tulip::scheduler {

using namespace transport;

const config::Queue& queueOf(const SchedulerState& scheduler, const Job& job) {
  auto found = scheduler.client.config->queues.find(job.pending().value);
  return found == scheduler.client.config->queues.end() ? job.spec->line : found->second;
}

const PoolName& poolFor(const SchedulerState& scheduler, const Job& job) {
  const auto& config = *scheduler.client.config;
  if (const auto queue = config.queues.find(job.pending().value); queue != config.queues.end())
    return queue->second.pool;
  const auto moved = config.former.queuePools.find(job.pending().value);
  return moved == config.former.queuePools.end() ? job.spec->line.pool : moved->second;
}

void noteEnded(SchedulerState& scheduler, const Job& job) {
  scheduler.open.erase(job.id);
  --scheduler.openPer[job.pending()];
  scheduler.openJobBytes -= acceptedBytes(*job.spec);
  scheduler.ended.emplace_back(job.finishedMs, job.id);
  if (job.state == JobState::finished) {
    scheduler.sizes.push_back(job.counters.totalServedMs);
    constexpr std::size_t kMostSizes = 512;
    if (scheduler.sizes.size() > kMostSizes) scheduler.sizes.pop_front();
  }
}

void finishRun(SchedulerState& scheduler, const JobId& id, std::size_t at, AttemptOutcome outcome,
               const std::string& detail, Now now) {
  if (outcome == AttemptOutcome::lost) ++scheduler.counts.lost;
  if (outcome == AttemptOutcome::failed) ++scheduler.counts.failures;
  if (outcome == AttemptOutcome::clean) ++scheduler.counts.cleans;
  change(scheduler, id,
         [&](Job& job) { endRun(job, at, outcome, detail, queueOf(scheduler, job), fleet(scheduler, now)); });
}

namespace {

void takeLateEnd(SchedulerState& scheduler, const AttemptId& run, const AttemptReport& seen, Now now) {
  const std::string_view text = run.value;
  const auto first = text.find(':'), last = text.rfind(':');
  if (first == std::string_view::npos || last <= first) return;
  auto found = scheduler.jobs.find(JobId(text.substr(0, first)));
  if (found == scheduler.jobs.end() || found->second.state != JobState::open) return;
  const auto& job = found->second;
  const auto at = taskAt(job, text.substr(first + 1, last - first - 1));
  if (!at || job.tasks[*at].state != TaskState::pending || job.tasks[*at].holds() || runIdOf(job, *at) != run) return;
  ++scheduler.counts.lateEnds;
  finishRun(scheduler, job.id, *at, AttemptOutcome::clean, seen.detail, now);
}

// Keeps what a report says of the worker itself.
void noteReport(SchedulerState& scheduler, WorkerRow& row, const Heard& heard, const AgentReport& report, Now now) {
  // The number of orders goes on rising: an agent whose report comes after a delayed one of an earlier agent of the
  // worker would take none that are numbered anew.
  if (row.last.agent != report.agent) row.firstOrdered.clear();
  const bool news = row.heardMs < 0 || row.last.workerIncarnation != report.workerIncarnation ||
                    row.last.leaving != report.leaving || row.last.workerHeard != report.workerHeard;
  if (row.last.workerIncarnation != report.workerIncarnation) row.standing.pace = 1;
  scheduler.planDue = scheduler.planDue || news;
  row.last = report;
  row.agent = heard.from;
  row.heardMs = now.steadyMs;
  noteClock(scheduler.clocks, heard.from, report.wallMs, now.steadyMs);
}

// Keeps what a report says of a task that is running.
void noteProgress(Job& job, std::size_t index, const AttemptReport& seen, Millis fleetMs) {
  auto& task = job.tasks.edit(index);
  if (!task.confirmed || task.percent != seen.percent) task.movedMs = fleetMs;
  task.confirmed = true;
  task.percent = seen.percent;
  const bool whole = !job.stepOf(index).together || job.tallyOf(index).placed == job.stepOf(index).count;
  if (task.runningMs < 0 && whole) {
    task.runningMs = fleetMs;
    task.runningPercent = seen.percent;
  }
}

/// A run that a report shows to be over.
struct EndedRun {
  JobId job;
  std::size_t task = 0;
  AttemptOutcome outcome = AttemptOutcome::none;
  std::string detail;
};

using ListedRuns = std::map<std::string_view, const AttemptReport*>;

ListedRuns noteListed(WorkerRow& row, const AgentReport& report) {
  ListedRuns listed;
  row.listed.clear();
  row.unstarted.clear();
  for (const auto& run : report.runs) {
    listed[run.id.view()] = &run;
    row.listed.insert(run.id.value);
    if (run.state == AttemptState::ordered) row.unstarted.insert(run.id.value);
  }
  return listed;
}

/// Why a run that the report doesn't list is over; nothing if it may still be at work, or start.
std::optional<std::string> whyGone(const SchedulerState& scheduler, const WorkerRow& row, const AgentReport& report,
                                   const AttemptId& run, const Task& task) {
  if (!report.workerHeard) return std::nullopt;
  if (!task.workerIncarnation.empty() && task.workerIncarnation != report.workerIncarnation) return "worker restarted";
  const auto first = row.firstOrdered.find(run.value);
  const bool processed =
      first != row.firstOrdered.end() && report.ordersTerm == scheduler.term && report.ordersSeq >= first->second;
  return processed ? std::optional<std::string>("run is gone") : std::nullopt;
}

/// Keeps what the report says of the runs that are held at the worker, and gives those that are over.
std::vector<EndedRun> takeRuns(SchedulerState& scheduler, WorkerRow& row, const AgentReport& report,
                               const ListedRuns& listed, Now now) {
  const auto fleetMs = fleet(scheduler, now);
  std::vector<EndedRun> over;
  std::vector<double> paces;
  for (const auto& [run, where] : scheduler.held[report.worker]) {
    auto& job = scheduler.jobs.at(where.first);
    auto& task = job.tasks.edit(where.second);
    const auto found = listed.find(run.view());
    if (found == listed.end()) {
      if (auto why = whyGone(scheduler, row, report, run, task))
        over.push_back({where.first, where.second, AttemptOutcome::lost, std::move(*why)});
      continue;
    }
    const auto& seen = *found->second;
    if (seen.state != AttemptState::ordered && !seen.saved.empty()) task.seenSaved = seen.saved;
    if (seen.state == AttemptState::running) {
      noteProgress(job, where.second, seen, fleetMs);
      if (const auto wholeMs = projectedMs(scheduler, job, where.second, fleetMs); wholeMs > 0)
        noteProjection(job, where.second, wholeMs);
      if (const auto pace = paceOf(scheduler, job, where.second, fleetMs); pace > 0) paces.push_back(pace);
    }
    if (seen.state == AttemptState::ended) over.push_back({where.first, where.second, seen.outcome, seen.detail});
  }
  observeRuns(scheduler, row, std::move(paces), now);
  return over;
}

/// Clean ends of runs that are no longer held.
std::vector<const AttemptReport*> lateEnds(SchedulerState& scheduler, const AgentReport& report) {
  const auto& held = scheduler.held[report.worker];
  std::vector<const AttemptReport*> late;
  for (const auto& seen : report.runs)
    if (seen.state == AttemptState::ended && seen.outcome == AttemptOutcome::clean && !held.contains(seen.id))
      late.push_back(&seen);
  return late;
}

}  // namespace

void onReport(SchedulerState& scheduler, const Heard& heard, const AgentReport& report, Now now, Outbox& out) {
  if (!leads(scheduler, now)) return;
  ++scheduler.counts.reports;
  auto& row = scheduler.workers[report.worker];
  row.id = report.worker;
  if (row.leaseWithheld) return;
  if (row.last.agent == report.agent && report.seq <= row.last.seq && row.heardMs >= 0) return;
  noteReport(scheduler, row, heard, report, now);
  const auto listed = noteListed(row, report);
  const auto late = lateEnds(scheduler, report);
  for (const auto& each : takeRuns(scheduler, row, report, listed, now)) {
    if (each.outcome != AttemptOutcome::lost || listed.contains(runIdOf(scheduler.jobs.at(each.job), each.task).view()))
      judgeWorker(scheduler, row, scheduler.jobs.at(each.job), each.task, each.outcome, now);
    finishRun(scheduler, each.job, each.task, each.outcome, each.detail, now);
  }
  for (const auto* seen : late) takeLateEnd(scheduler, seen->id, *seen, now);
  sendOrders(scheduler, row, now, out);
}

}  // namespace tulip::scheduler
