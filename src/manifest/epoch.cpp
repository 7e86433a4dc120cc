#include <algorithm>
#include <cmath>

#include "manifest/parts.hpp"

namespace tulip::manifest {

using namespace signal;

berth::Load totalOf(PilotState& pilot, const WorkerRow& row) {
  berth::Room room;
  room.slots = row.last.slots;
  if (auto pool = pilot.crew.chart->pools.find(row.last.pool.value); pool != pilot.crew.chart->pools.end()) {
    if (pool->second.slots == 0) {
      room.more = row.last.room;
    } else {
      room = {std::min(pool->second.slots, row.last.slots), pool->second.room};
      for (auto& [name, amount] : room.more)
        if (auto own = row.last.room.find(name); own != row.last.room.end()) amount = std::min(amount, own->second);
    }
  }
  return pilot.kinds.load(room);
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

namespace {

struct Scene {
  std::vector<admission::Candidate> candidates;
  std::vector<JobId> ids;
  std::vector<WorkerId> workers;
  std::vector<std::string> incarnations;
  admission::Field field;
};

void loadSteps(PilotState& pilot, Job& job) {
  if (job.loads.size() == job.spec->steps.size()) return;
  job.loads.clear();
  for (const auto& step : job.spec->steps) job.loads.push_back(pilot.kinds.load(step.need));
}

Millis lossOf(const Job& job, std::size_t at, Millis fleetMs, Millis checkpointMs) {
  const auto& task = job.tasks[at];
  const auto ranMs = std::max<Millis>(0, fleetMs - task.orderedMs);
  return job.stepOf(at).saves ? std::min(ranMs, checkpointMs / 2) : ranMs;
}

Scene makeScene(PilotState& pilot, Now now) {
  Scene scene;
  const auto& chart = *pilot.crew.chart;
  const bool waitsLong = std::any_of(pilot.open.begin(), pilot.open.end(), [&](const JobId& id) {
    const auto& job = pilot.jobs.at(id);
    return job.holding == 0 && job.counters.waitMs > 2 * bounds(pilot).termMs;
  });
  std::vector<std::string_view> all;
  for (const auto& [id, row] : pilot.workers) all.push_back(id.view());
  for (const auto& [id, runs] : pilot.held)
    if (!runs.empty() && !pilot.workers.contains(id)) all.push_back(id.view());
  std::sort(all.begin(), all.end());
  absl::flat_hash_map<std::string_view, std::size_t> at;
  at.reserve(all.size());
  std::vector<double> paces;
  for (const auto name : all) {
    const WorkerId id(name);
    berth::Berth berth;
    berth.worker = id;
    berth.usable = false;
    std::string incarnation;
    double pace = 1;
    if (auto found = pilot.workers.find(id); found != pilot.workers.end()) {
      const auto& row = found->second;
      berth.cell = row.last.cell;
      berth.pool = row.last.pool;
      berth.labels = row.last.labels;
      if (auto pool = chart.pools.find(berth.pool.value); pool != chart.pools.end())
        for (const auto& [name, value] : pool->second.labels) berth.labels[name] = value;
      if (auto rack = berth.labels.find("rack"); rack != berth.labels.end()) berth.rack = rack->second;
      berth.total = totalOf(pilot, row);
      berth.usable = usableWorker(pilot, row, now, waitsLong);
      berth.doubt = row.standing.failRate > 0.3 ? 20 : std::max(0, static_cast<int>(std::lround(10 * (row.standing.pace - 1))));
      if (now.steadyMs < row.standing.shunnedUntilMs) berth.doubt += 40;
      berth.leavesInMs = row.last.leavesMs;
      incarnation = row.last.workerIncarnation;
      pace = std::max(1.0, row.standing.pace);
    }
    berth.free = berth.total;
    at[name] = scene.workers.size();
    paces.push_back(pace);
    scene.workers.push_back(id);
    scene.incarnations.push_back(incarnation);
    scene.field.berths.push_back(std::move(berth));
  }
  scene.field.farFactor = bounds(pilot).farFactor;
  for (const auto& [name, line] : chart.pendings)
    if (line.quotaSlots > 0) scene.field.quotaSlots[PendingName(name)] = line.quotaSlots;
  const auto fleetMs = fleet(pilot, now);
  for (const auto& id : pilot.open) {
    auto& job = pilot.jobs.at(id);
    loadSteps(pilot, job);
    admission::Candidate candidate;
    const auto groups = readyGroups(job, fleetMs);
    if (groups.empty() && job.holding == 0) continue;
    std::map<std::size_t, std::size_t> gangs;
    std::map<std::size_t, std::vector<std::pair<std::size_t, std::int64_t>>> beside;
    if (job.holding > 0)
      for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const auto& task = job.tasks[i];
        if (!task.holds()) continue;
        const auto where = at.at(task.worker.view());
        const auto& step = job.stepOf(i);
        const auto& load = job.loads[task.step];
        berth::take(scene.field.berths[where].free, load);
        const bool over = task.stopping || task.state == TaskState::done;
        std::size_t gang = 0;
        if (job.spec->gang) gang = 1;
        else if (step.together) gang = gangs.emplace(gangBegin(job, i), gangs.size() + 2).first->second;
        candidate.runs.push_back({i, where, load, over, gang, lossOf(job, i, fleetMs, bounds(pilot).checkpointMs), step.standing,
                                  leftMs(job, i, fleetMs, paces[where])});
        if (step.apart > 0) {
          auto& rows = beside[gangBegin(job, i)];
          auto found = std::find_if(rows.begin(), rows.end(), [&](const auto& row) { return row.first == where; });
          if (found == rows.end()) rows.emplace_back(where, 1);
          else ++found->second;
        }
        scene.field.heldSlots[job.pending()] += step.need.slots;
      }
    for (const auto& group : groups) {
      const auto& first = job.tasks[group.front()];
      const auto& step = job.spec->steps[first.step];
      admission::Unit unit;
      unit.tasks = group;
      if (job.spec->gang)
        for (const auto i : group) unit.loads.push_back(job.loads[job.tasks[i].step]);
      else unit.loads.push_back(job.loads[first.step]);
      unit.whole = job.spec->gang || step.together;
      unit.oneRack = step.oneRack;
      unit.saves = step.saves;
      unit.pool = job.spec->pool;
      unit.labels = job.spec->labels;
      unit.needs = step.needs;
      unit.near = step.near;
      unit.apart = step.apart;
      unit.estimateMs = step.estimateMs;
      unit.standing = step.standing;
      if (auto found = beside.find(gangBegin(job, group.front())); found != beside.end()) unit.beside = found->second;
      bool failed = false;
      for (const auto i : group) failed = failed || !job.tasks[i].failedOn.empty();
      if (failed)
        for (const auto i : group) unit.avoid.push_back(job.tasks[i].failedOn);
      candidate.ready.push_back(std::move(unit));
    }
    candidate.id = id;
    candidate.pending = job.pending();
    candidate.counters = job.counters;
    const auto& line = lineOf(pilot, job);
    candidate.rank = line.rank;
    candidate.acceptedMs = job.acceptedMs;
    candidate.gang = job.spec->gang;
    if (line.aimMs > 0) {
      const auto instance = groups.empty() ? 0 : job.tasks[groups.front().front()].instance;
      const auto aimMs = line.aimMs + static_cast<Millis>(line.stretch * static_cast<double>(chainMs(job, instance, true)));
      candidate.dueInMs = dueMs(job, instance) + aimMs - chainMs(job, instance, false) - fleetMs;
    }
    if (!candidate.ready.empty() && candidate.runs.empty()) candidate.readyForMs = job.counters.waitMs;
    scene.candidates.push_back(std::move(candidate));
    scene.ids.push_back(id);
  }
  return scene;
}

}  // namespace

// A job that could start and doesn't for ten terms is worth a line, once.
void tellLongWaits(PilotState& pilot, Now now, Outbox& out) {
  const auto fleetMs = fleet(pilot, now);
  for (const auto& id : pilot.open) {
    const auto& job = pilot.jobs.at(id);
    if (pilot.longWaits.contains(id)) continue;
    if (job.holding > 0) {
      for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const auto& task = job.tasks[i];
        if (!task.holds() || (task.confirmed && !task.stopping) || fleetMs - std::max(task.orderedMs, task.movedMs) < 8 * bounds(pilot).termMs) continue;
        auto row = pilot.workers.find(task.worker);
        pilot.longWaits.insert(id);
        out.alarms.push_back("run " + runIdOf(job, i).value + " at " + task.worker.value + " is " + (task.stopping ? "not stopped" : "not confirmed") + " after " +
                             std::to_string(fleetMs - task.orderedMs) + " ms; its worker was heard " +
                             (row == pilot.workers.end() ? std::string("never") : std::to_string(now.steadyMs - row->second.heardMs) + " ms ago, by its tender " + std::to_string(row->second.last.workerHeard) + ", lists it " + std::to_string(row->second.listed.contains(runIdOf(job, i).value)) + ", life " + row->second.last.workerIncarnation + " for " + task.workerIncarnation));
        break;
      }
      continue;
    }
    if (job.counters.waitMs < 10 * bounds(pilot).termMs) continue;
    pilot.longWaits.insert(id);
    const auto groups = readyGroups(job, fleetMs);
    std::string text = "job " + id.value + " waits for " + std::to_string(job.counters.waitMs) + " ms in lane " + std::to_string(job.counters.lane + 1);
    if (groups.empty()) text += ", nothing of it ready, due in " + std::to_string(dueMs(job, 0) - fleetMs) + " ms";
    for (const auto& group : groups) {
      const auto& step = job.stepOf(group.front());
      text += ", step " + std::to_string(job.tasks[group.front()].step) + ": " + std::to_string(group.size()) + " of " + std::to_string(step.count);
      for (const auto& [name, amount] : step.need.more) text += " " + name + " " + std::to_string(amount);
      if (step.together) text += " together";
      if (step.oneRack) text += " on one rack";
      if (!step.needs.empty()) text += " needs " + step.needs;
      if (!step.near.empty()) text += " near " + step.near;
      if (step.apart > 0) text += " apart " + std::to_string(step.apart);
    }
    std::size_t usable = 0, shunned = 0, behind = 0, quiet = 0;
    for (const auto& [worker, row] : pilot.workers) {
      usable += usableWorker(pilot, row, now);
      shunned += now.steadyMs < row.standing.shunnedUntilMs;
      behind += row.last.acked < pilot.crew.chartRevision;
      quiet += now.steadyMs - row.heardMs > bounds(pilot).freshMs() || !row.last.workerHeard || row.last.workerAgeMs > bounds(pilot).freshMs();
    }
    text += "; workers " + std::to_string(pilot.workers.size()) + ", usable " + std::to_string(usable) + ", shunned " + std::to_string(shunned) +
            ", behind the configuration " + std::to_string(behind) + ", quiet " + std::to_string(quiet);
    out.alarms.push_back(std::move(text));
  }
}

void keepHouse(PilotState& pilot, Now now) {
  const auto fleetMs = fleet(pilot, now);
  pilot.houseMs = now.steadyMs;
  judgeProgress(pilot, now);
  const auto& rules = rulesOf(pilot);
  const auto openNow = std::vector<JobId>(pilot.open.begin(), pilot.open.end());
  for (const auto& id : openNow) {
    auto& job = pilot.jobs.at(id);
    accrueTo(job, fleetMs);
    const auto promotions = job.counters.promotions;
    if (admission::settle(job.counters, rules, hasRuns(job))) pilot.dirty.insert(id);
    pilot.counts.promotions += static_cast<std::uint64_t>(job.counters.promotions - promotions);
    if (job.spec->cutoffMs > 0 && job.ending == JobState::open && fleetMs >= job.acceptedMs + job.spec->cutoffMs)
      change(pilot, id, [&](Job& each) {
        endJob(each, JobState::expired, "its cutoff passed", fleetMs);
        closeIfOver(each, fleetMs);
      });
    if (job.ending == JobState::open && job.holding > 0) {
      std::vector<std::size_t> late;
      for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const auto& task = job.tasks[i];
        if (task.state != TaskState::placed || task.confirmed || task.stopping || !(job.spec->gang || job.stepOf(i).together)) continue;
        if (fleetMs - std::max(task.orderedMs, task.movedMs) >= rules.gangStartMs) late.push_back(i);
      }
      if (!late.empty()) {
        ++pilot.counts.gangRetries;
        change(pilot, id, [&](Job& each) {
          for (const auto i : late) stopRun(each, i, fleetMs);
        });
      }
    }
  }
  std::vector<std::pair<JobId, std::size_t>> lost;
  for (const auto& [worker, runs] : pilot.held) {
    if (runs.empty()) continue;
    const auto mark = pilot.crew.chart->gone.find(worker.value);
    const bool gone = mark != pilot.crew.chart->gone.end() && mark->second;
    auto row = pilot.workers.find(worker);
    const Millis heardMs = row == pilot.workers.end() ? pilot.leadSinceMs : std::max(row->second.heardMs, pilot.leadSinceMs);
    if (!gone && now.steadyMs - heardMs < bounds(pilot).sureMs(1)) continue;
    const auto& pools = pilot.crew.chart->pools;
    std::int64_t terms = 1;
    bool selfStop = true;
    for (const auto& [name, pool] : pools) {
      if (row != pilot.workers.end() && row->second.last.pool.value != name) continue;
      terms = std::max(terms, pool.lostAfterTerms);
      selfStop = selfStop && pool.selfStop;
    }
    if (row != pilot.workers.end() && !pools.contains(row->second.last.pool.value)) selfStop = false;
    if (!gone && (!selfStop || now.steadyMs - heardMs < bounds(pilot).sureMs(terms))) continue;
    for (const auto& [run, where] : runs) lost.push_back(where);
  }
  for (const auto& [id, at] : lost) finishRun(pilot, id, at, RunOutcome::lost, "worker silent past its term", now);
  const auto& keep = pilot.crew.chart->keep;
  const Millis keepMs = bounds(pilot).statusMs > 0 ? bounds(pilot).statusMs + bounds(pilot).statusMs / 10 : keep.finishedMs;
  const bool inStep = std::all_of(pilot.seats.begin(), pilot.seats.end(), [&](const auto& seat) {
    return seat.second.promised && seat.second.ackedSeq >= pilot.committed && pilot.committed > 0;
  });
  if (inStep) {
    std::uint64_t least = pilot.seq;
    for (const auto& [id, seat] : pilot.seats) least = std::min(least, seat.ackedSeq);
    while (!pilot.tombs.empty() && pilot.tombs.front().first <= least) {
      auto found = pilot.current.find(pilot.tombs.front().second);
      if (found != pilot.current.end() && found->second.value.empty()) pilot.current.erase(found);
      pilot.tombs.pop_front();
    }
  }
  std::size_t budget = 64;
  while (inStep && budget-- && !pilot.ended.empty() &&
         (static_cast<std::int64_t>(pilot.ended.size()) > keep.finishedMost || fleetMs - pilot.ended.front().first > keepMs)) {
    const auto id = pilot.ended.front().second;
    if (pilot.dirty.contains(id)) break;
    pilot.ended.pop_front();
    pilot.jobs.erase(id);
    pilot.dirty.insert(id);
    ++pilot.counts.dropped;
  }
}

void runEpoch(PilotState& pilot, Now now) {
  ++pilot.counts.epochs;
  const auto fleetMs = fleet(pilot, now);
  auto scene = makeScene(pilot, now);
  const std::vector<std::int64_t> sizes(pilot.sizes.begin(), pilot.sizes.end());
  const auto plan = admission::plan(scene.candidates, scene.field, rulesOf(pilot), sizes);
  pilot.counts.passedOver += plan.passedOver;
  pilot.counts.reservations += plan.reservedFor.has_value();
  std::set<std::size_t> pushed;
  for (const auto& stop : plan.stops) {
    ++pilot.counts.stops;
    const bool first = pushed.insert(stop.job).second;
    change(pilot, scene.ids[stop.job], [&](Job& job) {
      accrueTo(job, fleetMs);
      stopRun(job, stop.task, fleetMs);
      job.counters.preemptions += first;
    });
    pilot.counts.preempted += first;
  }
  std::map<std::size_t, std::vector<const admission::Start*>> startsOf;
  for (const auto& start : plan.starts) {
    ++pilot.counts.starts;
    startsOf[start.job].push_back(&start);
  }
  for (const auto& [at, starts] : startsOf)
    change(pilot, scene.ids[at], [&](Job& job) {
      for (const auto* start : starts) {
        const auto& berth = scene.field.berths[start->berth];
        const auto& step = job.stepOf(start->task);
        const auto weight = step.need.slots > 0 ? 0 : std::max<std::int64_t>(1, std::llround(1000 * berth::dominantShare(job.loads[job.tasks[start->task].step], berth.total)));
        startRun(job, start->task, scene.workers[start->berth], scene.incarnations[start->berth], fleetMs, weight);
      }
    });
  if (!plan.starts.empty())
    if (auto fault = checkRoom(pilot); !fault.empty() && pilot.broken.empty()) pilot.broken = fault;
}

std::string checkRoom(const PilotState& pilot) {
  auto kinds = pilot.kinds;
  for (const auto& [worker, runs] : pilot.held) {
    auto row = pilot.workers.find(worker);
    if (row == pilot.workers.end() || runs.empty()) continue;
    auto pool = pilot.crew.chart->pools.find(row->second.last.pool.value);
    if (pool == pilot.crew.chart->pools.end()) continue;
    const bool fresh = std::any_of(runs.begin(), runs.end(), [&](const auto& each) { return !pilot.jobs.at(each.second.first).tasks[each.second.second].confirmed; });
    if (!fresh) continue;
    berth::Load sum{};
    for (const auto& [run, where] : runs) berth::add(sum, kinds.load(pilot.jobs.at(where.first).stepOf(where.second).need));
    berth::Room room{std::max(pool->second.slots, row->second.last.slots), {}};
    for (const auto& [name, amount] : row->second.last.room) room.more[name] = amount;
    for (const auto& [name, amount] : pool->second.room) room.more[name] = std::max(room.more[name], amount);
    if (!berth::fits(sum, kinds.load(room))) return worker.value + " holds more than its room";
  }
  return {};
}

}  // namespace tulip::manifest
