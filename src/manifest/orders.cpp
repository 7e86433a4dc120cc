#include <algorithm>

#include "manifest/parts.hpp"

namespace tulip::manifest {

using namespace signal;

const chart::Pending& lineOf(const PilotState& pilot, const Job& job) {
  auto found = pilot.crew.chart->pendings.find(job.pending().value);
  return found == pilot.crew.chart->pendings.end() ? job.spec->line : found->second;
}

void indexRuns(HeldRuns& held, const Job& job, bool in) {
  if (job.holding == 0) return;
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const auto& task = job.tasks[i];
    if (!task.holds()) continue;
    if (in) held[task.worker].insert_or_assign(runIdOf(job, i), std::pair(job.id, i));
    else held[task.worker].erase(runIdOf(job, i));
  }
}

void noteEnded(PilotState& pilot, const Job& job) {
  pilot.open.erase(job.id);
  --pilot.openPer[job.pending()];
  pilot.ended.emplace_back(job.finishedMs, job.id);
  if (job.state == JobState::finished) {
    pilot.sizes.push_back(job.counters.totalServedMs);
    constexpr std::size_t kMostSizes = 512;
    if (pilot.sizes.size() > kMostSizes) pilot.sizes.pop_front();
  }
}

void finishRun(PilotState& pilot, const JobId& id, std::size_t at, RunOutcome outcome, const std::string& detail, Now now) {
  if (outcome == RunOutcome::lost) ++pilot.counts.lost;
  if (outcome == RunOutcome::failed) ++pilot.counts.failures;
  if (outcome == RunOutcome::clean) ++pilot.counts.cleans;
  change(pilot, id, [&](Job& job) { endRun(job, at, outcome, detail, lineOf(pilot, job), fleet(pilot, now)); });
}

void sendOrders(PilotState& pilot, WorkerRow& row, Now now, Outbox& out) {
  if (row.heardMs < 0 || !leads(pilot, now)) return;
  Orders orders;
  orders.term = pilot.term;
  orders.seq = ++row.ordersSeq;
  orders.tender = row.last.tender;
  orders.echoSeq = row.last.seq;
  orders.echoMs = row.last.sentMs;
  orders.chartRevision = pilot.crew.chartRevision;
  orders.fleetMs = fleet(pilot, now);
  absl::flat_hash_map<std::string, std::uint64_t> ordered;
  for (const auto& [run, where] : pilot.toldHeld[row.id]) {
    const auto& job = *pilot.told.at(where.first);
    const auto& task = job.tasks[where.second];
    auto first = row.firstOrdered.find(run.value);
    ordered[run.value] = first == row.firstOrdered.end() ? orders.seq : first->second;
    WantedRun wanted{run, task.stopping, {}, task.workerIncarnation, {}, false};
    if (!task.stopping && !row.listed.contains(run.value)) {
      const auto& step = job.stepOf(where.second);
      wanted.whole = true;
      wanted.saved = task.saved;
      if (job.spec->plainNames || pilot.crew.env.dialect.empty()) {
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
  out.send(row.tender, std::move(orders));
}

namespace {

void takeLateEnd(PilotState& pilot, const RunId& run, const RunReport& seen, Now now) {
  const std::string_view text = run.value;
  const auto first = text.find(':'), last = text.rfind(':');
  if (first == std::string_view::npos || last <= first) return;
  auto found = pilot.jobs.find(JobId(text.substr(0, first)));
  if (found == pilot.jobs.end() || found->second.state != JobState::open) return;
  const auto& job = found->second;
  const auto at = taskAt(job, text.substr(first + 1, last - first - 1));
  if (!at || job.tasks[*at].state != TaskState::pending || job.tasks[*at].holds() || runIdOf(job, *at) != run) return;
  ++pilot.counts.lateEnds;
  finishRun(pilot, job.id, *at, RunOutcome::clean, seen.detail, now);
}

}  // namespace

void onReport(PilotState& pilot, const Heard& heard, const TenderReport& report, Now now, Outbox& out) {
  if (!leads(pilot, now)) return;
  ++pilot.counts.reports;
  auto& row = pilot.workers[report.worker];
  row.id = report.worker;
  if (row.last.tender == report.tender && report.seq <= row.last.seq && row.heardMs >= 0) return;
  if (row.last.tender != report.tender) {
    row.firstOrdered.clear();
    row.ordersSeq = 0;
  }
  const bool news = row.heardMs < 0 || row.last.workerIncarnation != report.workerIncarnation || row.last.leaving != report.leaving ||
                    row.last.workerHeard != report.workerHeard;
  if (row.last.workerIncarnation != report.workerIncarnation) row.standing.pace = 1;
  pilot.planDue = pilot.planDue || news;
  row.last = report;
  row.tender = heard.from;
  row.heardMs = now.steadyMs;
  if (report.wallMs > 0) {
    row.wallOffsetMs = report.wallMs - now.steadyMs;
    row.wallKnown = true;
  }
  const auto fleetMs = fleet(pilot, now);
  std::map<std::string_view, const RunReport*> listed;
  row.listed.clear();
  for (const auto& run : report.runs) {
    listed[run.id.view()] = &run;
    row.listed.insert(run.id.value);
  }
  struct Over {
    JobId job;
    std::size_t task;
    RunOutcome outcome;
    std::string detail;
  };
  std::vector<Over> over;
  std::vector<double> paces;
  absl::flat_hash_set<std::string_view> known;
  for (const auto& [run, where] : pilot.held[report.worker]) {
    auto& job = pilot.jobs.at(where.first);
    auto& task = job.tasks[where.second];
    auto found = listed.find(run.view());
    if (found != listed.end()) {
      const auto& seen = *found->second;
      known.insert(found->first);
      if (seen.state != RunState::ordered && !seen.saved.empty()) task.seenSaved = seen.saved;
      if (seen.state == RunState::going) {
        if (!task.confirmed || task.percent != seen.percent) task.movedMs = fleetMs;
        task.confirmed = true;
        task.percent = seen.percent;
        const bool whole = !job.stepOf(where.second).together || job.tallyOf(where.second).placed == job.stepOf(where.second).count;
        if (task.goingMs < 0 && whole) {
          task.goingMs = fleetMs;
          task.goingPercent = seen.percent;
        }
        if (const auto pace = paceOf(pilot, job, where.second, fleetMs); pace > 0) paces.push_back(pace);
      }
      if (seen.state == RunState::ended) over.push_back({where.first, where.second, seen.outcome, seen.detail});
      continue;
    }
    if (!report.workerHeard) continue;
    const bool reborn = !task.workerIncarnation.empty() && task.workerIncarnation != report.workerIncarnation;
    auto first = row.firstOrdered.find(run.value);
    const bool processed = first != row.firstOrdered.end() && report.ordersTerm == pilot.term && report.ordersSeq >= first->second;
    if (reborn || processed) over.push_back({where.first, where.second, RunOutcome::lost, reborn ? "worker restarted" : "run is gone"});
  }
  observeRuns(pilot, row, std::move(paces), now);
  for (const auto& each : over) {
    if (each.outcome != RunOutcome::lost || listed.contains(runIdOf(pilot.jobs.at(each.job), each.task).view()))
      judgeWorker(pilot, row, pilot.jobs.at(each.job), each.task, each.outcome, now);
    finishRun(pilot, each.job, each.task, each.outcome, each.detail, now);
  }
  for (const auto& [run, seen] : listed)
    if (seen->state == RunState::ended && seen->outcome == RunOutcome::clean && !known.contains(run)) takeLateEnd(pilot, seen->id, *seen, now);
  sendOrders(pilot, row, now, out);
}

}  // namespace tulip::manifest
