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

void sendOrders(SchedulerState& scheduler, WorkerRow& row, Now now, Outbox& out) {
  if (row.heardMs < 0 || row.leaseWithheld || !leads(scheduler, now)) return;
  Orders orders;
  orders.term = scheduler.term;
  orders.seq = ++row.ordersSeq;
  orders.agent = row.last.agent;
  orders.acknowledgedSeq = row.last.seq;
  orders.acknowledgedMs = row.last.sentMs;
  orders.configVersion = scheduler.client.configVersion;
  orders.fleetMs = fleet(scheduler, now);
  absl::flat_hash_map<std::string, std::uint64_t> ordered;
  const auto& stillHeld = scheduler.held[row.id];
  for (const auto& [run, where] : scheduler.committedHeld[row.id]) {
    const auto& job = *scheduler.committedJobs.at(where.first);
    const auto& task = job.tasks[where.second];
    auto first = row.firstOrdered.find(run.value);
    ordered[run.value] = first == row.firstOrdered.end() ? orders.seq : first->second;
    // What was given up, and is not committed as such yet, must not start any more: a start is good from the report
    // that these orders answer. An end that the agent lists is kept there by a stop as well.
    const bool stop = task.stopping || !stillHeld.contains(run);
    WantedAttempt wanted{run, stop, {}, task.workerIncarnation, {}, false};
    if (!stop && !row.listed.contains(run.value)) {
      const auto& step = job.stepOf(where.second);
      wanted.whole = true;
      wanted.saved = task.saved;
      if (job.spec->plainNames || scheduler.client.settings.adapter.empty()) {
        Json spec(json_object());
        json_object_set_new(spec.get(), "job", jsonText(job.id.view()));
        json_object_set_new(spec.get(), "task", jsonText(taskName(job, where.second)));
        json_object_set_new(spec.get(), "slots", json_integer(step.need.slots));
        const auto& payload = step.payload.empty() ? job.spec->payload : step.payload;
        if (Json own = parseJson(payload)) json_object_set_new(spec.get(), "payload", own.release());
        wanted.spec = dumpJson(spec.get());
      } else {
        wanted.spec = step.payload.empty() ? job.spec->payload : step.payload;
      }
    }
    orders.wanted.push_back(std::move(wanted));
  }
  row.firstOrdered = std::move(ordered);
  out.send(row.agent, std::move(orders));
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

}  // namespace

void onReport(SchedulerState& scheduler, const Heard& heard, const AgentReport& report, Now now, Outbox& out) {
  if (!leads(scheduler, now)) return;
  ++scheduler.counts.reports;
  auto& row = scheduler.workers[report.worker];
  row.id = report.worker;
  if (row.leaseWithheld) return;
  if (row.last.agent == report.agent && report.seq <= row.last.seq && row.heardMs >= 0) return;
  noteReport(scheduler, row, heard, report, now);
  const auto fleetMs = fleet(scheduler, now);
  std::map<std::string_view, const AttemptReport*> listed;
  row.listed.clear();
  for (const auto& run : report.runs) {
    listed[run.id.view()] = &run;
    row.listed.insert(run.id.value);
  }
  struct Over {
    JobId job;
    std::size_t task;
    AttemptOutcome outcome;
    std::string detail;
  };
  std::vector<Over> over;
  std::vector<double> paces;
  absl::flat_hash_set<std::string_view> known;
  for (const auto& [run, where] : scheduler.held[report.worker]) {
    auto& job = scheduler.jobs.at(where.first);
    auto& task = job.tasks.edit(where.second);
    auto found = listed.find(run.view());
    if (found != listed.end()) {
      const auto& seen = *found->second;
      known.insert(found->first);
      if (seen.state != AttemptState::ordered && !seen.saved.empty()) task.seenSaved = seen.saved;
      if (seen.state == AttemptState::running) {
        noteProgress(job, where.second, seen, fleetMs);
        if (const auto wholeMs = projectedMs(scheduler, job, where.second, fleetMs); wholeMs > 0)
          noteProjection(job, where.second, wholeMs);
        if (const auto pace = paceOf(scheduler, job, where.second, fleetMs); pace > 0) paces.push_back(pace);
      }
      if (seen.state == AttemptState::ended) over.push_back({where.first, where.second, seen.outcome, seen.detail});
      continue;
    }
    if (!report.workerHeard) continue;
    const bool reborn = !task.workerIncarnation.empty() && task.workerIncarnation != report.workerIncarnation;
    auto first = row.firstOrdered.find(run.value);
    const bool processed =
        first != row.firstOrdered.end() && report.ordersTerm == scheduler.term && report.ordersSeq >= first->second;
    if (reborn || processed)
      over.push_back({where.first, where.second, AttemptOutcome::lost, reborn ? "worker restarted" : "run is gone"});
  }
  observeRuns(scheduler, row, std::move(paces), now);
  for (const auto& each : over) {
    if (each.outcome != AttemptOutcome::lost || listed.contains(runIdOf(scheduler.jobs.at(each.job), each.task).view()))
      judgeWorker(scheduler, row, scheduler.jobs.at(each.job), each.task, each.outcome, now);
    finishRun(scheduler, each.job, each.task, each.outcome, each.detail, now);
  }
  for (const auto& [run, seen] : listed)
    if (seen->state == AttemptState::ended && seen->outcome == AttemptOutcome::clean && !known.contains(run))
      takeLateEnd(scheduler, seen->id, *seen, now);
  sendOrders(scheduler, row, now, out);
}

}  // namespace tulip::scheduler
