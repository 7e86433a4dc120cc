// Epochs: the plan of what starts and stops, and the housekeeping beside it.
#include <algorithm>
#include <cmath>

#include "config/pools.hpp"
#include "scheduler/due_times.hpp"
#include "scheduler/internal.hpp"
#include "scheduler/scene.hpp"

namespace tulip::scheduler {

using namespace transport;

placement::Load totalOf(SchedulerState& scheduler, const WorkerRow& row) {
  placement::Capacity capacity;
  capacity.slots = row.last.slots;
  if (const auto* pool = config::poolOf(*scheduler.client.config, row.last.pool)) {
    if (pool->slots == 0) {
      capacity.more = row.last.capacity;
    } else {
      capacity = {std::min(pool->slots, row.last.slots), pool->capacity};
      for (auto& [name, amount] : capacity.more)
        if (auto own = row.last.capacity.find(name); own != row.last.capacity.end())
          amount = std::min(amount, own->second);
    }
  }
  return scheduler.kinds.load(capacity);
}

// What is left of a run by its progress, or else by its step's estimate; 0: not known.
Millis leftMs(const Job& job, std::size_t at, Millis fleetMs, double pace) {
  const auto& task = job.tasks[at];
  const auto& step = job.stepOf(at);
  if (step.standing || step.estimateMs <= 0) return 0;
  const auto ranMs = std::max<Millis>(0, fleetMs - task.orderedMs);
  if (task.percent >= 10) return std::max<Millis>(1, ranMs * (100 - task.percent) / task.percent);
  return std::max<Millis>(1, static_cast<Millis>(static_cast<double>(step.estimateMs) * pace) - ranMs);
}

// The waits of runs are checked against their bounds; a job that could start and doesn't for ten leases is worth a
// line, once.
void tellLongWaits(SchedulerState& scheduler, Now now, Outbox& out) {
  checkRunWaits(scheduler, now, out);
  const auto fleetMs = fleet(scheduler, now);
  for (const auto& id : scheduler.open) {
    const auto& job = scheduler.jobs.at(id);
    if (job.holding > 0 || scheduler.longWaits.contains(id)) continue;
    if (job.counters.waitMs < 10 * bounds(scheduler).leaseMs) continue;
    scheduler.longWaits.insert(id);
    const auto groups = readyGroups(job, fleetMs);
    std::string text = "job " + id.value + " waits for " + std::to_string(job.counters.waitMs) + " ms in lane " +
                       std::to_string(job.counters.lane + 1);
    if (groups.empty()) text += ", nothing of it ready, due in " + std::to_string(dueMs(job, 0) - fleetMs) + " ms";
    for (const auto& group : groups) {
      const auto& step = job.stepOf(group.front());
      text += ", step " + std::to_string(job.stepIndexOf(group.front())) + ": " + std::to_string(group.size()) +
              " of " + std::to_string(step.count);
      for (const auto& [name, amount] : step.need.more) text += " " + name + " " + std::to_string(amount);
      if (step.together) text += " together";
      if (step.oneRack) text += " on one rack";
      if (!step.needs.empty()) text += " needs " + step.needs;
      if (!step.near.empty()) text += " near " + step.near;
      if (step.apart > 0) text += " apart " + std::to_string(step.apart);
    }
    std::size_t usable = 0, shunned = 0, behind = 0, quiet = 0;
    for (const auto& [worker, row] : scheduler.workers) {
      usable += usableWorker(scheduler, row, now);
      shunned += now.steadyMs < row.standing.shunnedUntilMs;
      behind += row.last.acked < scheduler.client.configVersion;
      quiet += now.steadyMs - row.heardMs > bounds(scheduler).freshMs() || !row.last.workerHeard ||
               row.last.workerAgeMs > bounds(scheduler).freshMs();
    }
    text += "; workers " + std::to_string(scheduler.workers.size()) + ", usable " + std::to_string(usable) +
            ", shunned " + std::to_string(shunned) + ", behind the configuration " + std::to_string(behind) +
            ", quiet " + std::to_string(quiet);
    out.alarms.push_back(std::move(text));
  }
}

namespace {

/// Forgets ended jobs once they were kept for long enough and every voter has what is to be forgotten.
void dropEndedJobs(SchedulerState& scheduler, Millis fleetMs) {
  const auto& keep = scheduler.client.config->keep;
  const Millis keepMs =
      bounds(scheduler).statusMs > 0 ? bounds(scheduler).statusMs + bounds(scheduler).statusMs / 10 : keep.finishedMs;
  const bool inStep = std::all_of(scheduler.voters.begin(), scheduler.voters.end(), [&](const auto& voter) {
    return voter.second.promised && voter.second.ackedSeq >= scheduler.committed && scheduler.committed > 0;
  });
  if (inStep) {
    std::uint64_t least = scheduler.seq;
    for (const auto& [id, voter] : scheduler.voters) least = std::min(least, voter.ackedSeq);
    while (!scheduler.tombs.empty() && scheduler.tombs.front().first <= least) {
      auto found = scheduler.current.find(scheduler.tombs.front().second);
      if (found != scheduler.current.end() && found->second.value.empty()) scheduler.current.erase(found);
      scheduler.tombs.pop_front();
    }
  }
  std::size_t budget = 64;
  while (inStep && budget-- && !scheduler.ended.empty() &&
         (static_cast<std::int64_t>(scheduler.ended.size()) > keep.finishedMost ||
          fleetMs - scheduler.ended.front().first > keepMs)) {
    const auto id = scheduler.ended.front().second;
    if (scheduler.dirty.contains(id)) break;
    scheduler.ended.pop_front();
    scheduler.jobs.erase(id);
    scheduler.dirty.insert(id);
    ++scheduler.counts.dropped;
  }
}

}  // namespace

void settleJobs(SchedulerState& scheduler, Now now) {
  const auto fleetMs = fleet(scheduler, now);
  const auto& rules = rulesOf(scheduler);
  for (const auto& id : scheduler.open) {
    auto& job = scheduler.jobs.at(id);
    accrueTo(job, fleetMs);
    const auto promotions = job.counters.promotions;
    if (admission::settle(job.counters, rules, hasRuns(job))) scheduler.dirty.insert(id);
    scheduler.counts.promotions += static_cast<std::uint64_t>(job.counters.promotions - promotions);
  }
}

namespace {

void expireIfDue(SchedulerState& scheduler, const Job& job, Millis fleetMs) {
  if (job.spec->deadlineMs <= 0 || job.ending != JobState::open) return;
  if (fleetMs < job.acceptedMs + job.spec->deadlineMs) return;
  change(scheduler, job.id, [&](Job& each) {
    endJob(each, JobState::expired, "its cutoff passed", fleetMs);
    closeIfOver(each, fleetMs);
  });
}

bool belongsToGang(const Job& job, std::size_t task) { return job.spec->gang || job.stepOf(task).together; }

/// Stops the gang's members that did not start in time, and with them the gang.
void stopLateGang(SchedulerState& scheduler, const Job& job, Millis fleetMs) {
  if (job.ending != JobState::open || job.holding == 0) return;
  std::vector<std::size_t> late;
  for (const auto& [i, task] : job.tasks.rows()) {
    if (task.state != TaskState::placed || task.confirmed || task.stopping || !belongsToGang(job, i)) continue;
    if (fleetMs - std::max(task.orderedMs, task.movedMs) >= rulesOf(scheduler).gangStartMs) late.push_back(i);
  }
  if (late.empty()) return;
  ++scheduler.counts.gangRetries;
  change(scheduler, job.id, [&](Job& each) {
    for (const auto i : late) stopRun(each, i, fleetMs);
  });
}

}  // namespace

void keepHouse(SchedulerState& scheduler, Now now) {
  const auto fleetMs = fleet(scheduler, now);
  scheduler.houseMs = now.steadyMs;
  mapDueTimes(scheduler, now);
  judgeProgress(scheduler, now);
  settleJobs(scheduler, now);
  const auto openNow = std::vector<JobId>(scheduler.open.begin(), scheduler.open.end());
  for (const auto& id : openNow) {
    const auto& job = scheduler.jobs.at(id);
    expireIfDue(scheduler, job, fleetMs);
    stopLateGang(scheduler, job, fleetMs);
  }
  endSilentRuns(scheduler, now);
  dropEndedJobs(scheduler, fleetMs);
}

void runEpoch(SchedulerState& scheduler, Now now) {
  ++scheduler.counts.epochs;
  const auto fleetMs = fleet(scheduler, now);
  auto scene = makeScene(scheduler, now);
  const std::vector<std::int64_t> sizes(scheduler.sizes.begin(), scheduler.sizes.end());
  auto& limit = scheduler.reservationLimit;
  scene.field.mayReserve = admission::mayReserve(limit, now.steadyMs);
  scene.field.gaveUp = limit.gaveUp;
  const auto plan = admission::plan(scene.candidates, scene.field, rulesOf(scheduler), sizes);
  scheduler.counts.passedOver += plan.passedOver;
  scheduler.counts.reservations += plan.reservedFor.has_value();
  scheduler.counts.vainReservations +=
      admission::notePlan(limit, scene.candidates, plan, rulesOf(scheduler), now.steadyMs);
  std::set<std::size_t> pushed;
  for (const auto& stop : plan.stops) {
    ++scheduler.counts.stops;
    const bool first = !stop.forRack && pushed.insert(stop.job).second;
    change(scheduler, scene.ids[stop.job], [&](Job& job) {
      accrueTo(job, fleetMs);
      stopRun(job, stop.task, fleetMs);
      job.counters.preemptions += first;
    });
    scheduler.counts.preempted += first;
  }
  std::map<std::size_t, std::vector<const admission::Start*>> startsOf;
  for (const auto& start : plan.starts) {
    ++scheduler.counts.starts;
    startsOf[start.job].push_back(&start);
  }
  for (const auto& entry : startsOf)
    change(scheduler, scene.ids[entry.first], [&](Job& job) {
      for (const auto* start : entry.second) {
        const auto& worker = scene.field.workers[start->worker];
        const auto& step = job.stepOf(start->task);
        const auto weight =
            step.need.slots > 0
                ? 0
                : std::max<std::int64_t>(
                      1, std::llround(1000 *
                                      placement::dominantShare(job.loads[job.stepIndexOf(start->task)], worker.total)));
        noteDueStart(scheduler, job, start->task, now);
        startRun(job, start->task, scene.workers[start->worker], scene.incarnations[start->worker], fleetMs, weight);
      }
    });
  std::set<WorkerId> startedAt;
  for (const auto& start : plan.starts) startedAt.insert(scene.workers[start.worker]);
  for (const auto& worker : startedAt)
    if (auto fault = checkCapacity(scheduler, worker); !fault.empty() && scheduler.broken.empty())
      scheduler.broken = fault;
}

std::string checkCapacity(SchedulerState& scheduler, const WorkerId& worker) {
  const auto held = scheduler.held.find(worker);
  const auto row = scheduler.workers.find(worker);
  if (held == scheduler.held.end() || row == scheduler.workers.end()) return {};
  const auto* pool = config::poolOf(*scheduler.client.config, row->second.last.pool);
  if (!pool) return {};
  placement::Load sum{};
  for (const auto& [attempt, where] : held->second) {
    const auto& job = scheduler.jobs.at(where.first);
    placement::add(sum, job.loads.empty() ? scheduler.kinds.load(job.stepOf(where.second).need)
                                          : job.loads[job.stepIndexOf(where.second)]);
  }
  placement::Capacity capacity{std::max(pool->slots, row->second.last.slots), {}};
  for (const auto& [name, amount] : row->second.last.capacity) capacity.more[name] = amount;
  for (const auto& [name, amount] : pool->capacity) capacity.more[name] = std::max(capacity.more[name], amount);
  return placement::fits(sum, scheduler.kinds.load(capacity)) ? std::string()
                                                              : worker.value + " holds more than its room";
}

}  // namespace tulip::scheduler
