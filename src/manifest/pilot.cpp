#include "manifest/pilot.hpp"

#include <algorithm>

namespace tulip::manifest {

using namespace signal;
using watch::Crew;

namespace {

const Bounds& bounds(const PilotState& pilot) { return pilot.crew.env.bounds; }
Millis fleet(const PilotState& pilot, Now now) { return watch::fleetNow(pilot.crew, now); }

const chart::Pending& lineOf(const PilotState& pilot, const Job& job) {
  static const chart::Pending fallback;
  auto found = pilot.crew.chart->pendings.find(job.pending.value);
  return found == pilot.crew.chart->pendings.end() ? fallback : found->second;
}

LeaderHint hintOf(const PilotState& pilot) { return {pilot.term, pilot.crew.env.signal, pilot.crew.env.http}; }

Version versionNow(const PilotState& pilot) { return {pilot.term, pilot.seq}; }

void touch(PilotState& pilot, const JobId& id) { pilot.dirty.insert(id); }

void reset(PilotState& pilot, Now now, Outbox& out) {
  for (const auto& each : pilot.waiting) watch::answerKind(out, each.transaction, Kind::unknownOutcome, bounds(pilot));
  for (const auto& [seq, batch] : pilot.batches)
    for (const auto& each : batch.answers) watch::answerKind(out, each.transaction, Kind::unknownOutcome, bounds(pilot));
  pilot.promises.clear();
  pilot.jobs.clear();
  pilot.told.clear();
  pilot.open.clear();
  pilot.dirty.clear();
  pilot.held.clear();
  pilot.toldHeld.clear();
  pilot.waiting.clear();
  pilot.current.clear();
  pilot.tombs.clear();
  pilot.seats.clear();
  pilot.batches.clear();
  pilot.workers.clear();
  pilot.ordersDue.clear();
  pilot.sizes.clear();
  pilot.ended.clear();
  pilot.openPer.clear();
  pilot.seq = pilot.committed = 0;
  pilot.leaseUntilMs = -1000000;
  pilot.course = Course::following;
  pilot.tryAtMs = now.steadyMs + bounds(pilot).beatMs();
}

void stepDown(PilotState& pilot, Now now, Outbox& out, std::string_view why) {
  if (pilot.course == Course::leading) {
    ++pilot.counts.steppedDown;
    out.alarms.push_back("stepped down from term " + std::to_string(pilot.term.number) + ": " + std::string(why));
  }
  reset(pilot, now, out);
}

void index(std::map<WorkerId, std::map<RunId, std::pair<JobId, std::size_t>>>& held, const Job& job, bool in) {
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const auto& task = job.tasks[i];
    if (task.state != TaskState::placed) continue;
    if (in) held[task.worker][task.run] = {job.id, i};
    else held[task.worker].erase(task.run);
  }
}

void noteEnded(PilotState& pilot, const Job& job) {
  pilot.open.erase(job.id);
  --pilot.openPer[job.pending];
  pilot.ended.emplace_back(job.finishedMs, job.id);
  if (job.state == JobState::finished) {
    pilot.sizes.push_back(job.counters.totalServedMs);
    constexpr std::size_t kMostSizes = 512;
    if (pilot.sizes.size() > kMostSizes) pilot.sizes.pop_front();
  }
}

template <class Change> void change(PilotState& pilot, const JobId& id, Change&& apply) {
  auto found = pilot.jobs.find(id);
  if (found == pilot.jobs.end()) return;
  auto& job = found->second;
  const bool wasOpen = job.state == JobState::open;
  index(pilot.held, job, false);
  apply(job);
  index(pilot.held, job, true);
  if (wasOpen && job.state != JobState::open) noteEnded(pilot, job);
  if (auto fault = checkJob(job); !fault.empty() && pilot.broken.empty()) pilot.broken = job.id.value + ": " + fault;
  touch(pilot, id);
}

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

void judgeWorker(PilotState& pilot, WorkerRow& row, const Job& job, const Task& task, RunOutcome outcome, Now now) {
  auto& standing = row.standing;
  if (outcome == RunOutcome::failed) ++standing.failed;
  if (outcome != RunOutcome::clean) return;
  ++standing.clean;
  constexpr double kWeight = 0.2;
  standing.failRate -= kWeight * standing.failRate;
  judgePace(pilot, row, job.pending, fleet(pilot, now) - task.orderedMs, now);
  if (standing.failRate < 0.1 && standing.pace < 1.5) standing.shuns = 0;
  if (!task.failedOn.empty() && task.failedOn != row.id) blame(pilot, task.failedOn, now);
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
  std::map<RunId, std::uint64_t> ordered;
  for (const auto& [run, where] : pilot.toldHeld[row.id]) {
    const auto& job = *pilot.told.at(where.first);
    const auto& task = job.tasks[where.second];
    auto first = row.firstOrdered.find(run);
    ordered[run] = first == row.firstOrdered.end() ? orders.seq : first->second;
    WantedRun wanted{run, task.stopping, {}, task.workerIncarnation};
    if (!task.stopping) {
      Json spec(json_object());
      json_object_set_new(spec.get(), "job", jsonText(job.id.view()));
      json_object_set_new(spec.get(), "task", jsonText(task.name));
      json_object_set_new(spec.get(), "slots", json_integer(task.need.slots));
      if (Json payload = parseJson(task.payload)) json_object_set_new(spec.get(), "payload", payload.release());
      wanted.spec = dumpJson(spec.get());
    }
    orders.wanted.push_back(std::move(wanted));
  }
  row.firstOrdered = std::move(ordered);
  out.send(row.tender, std::move(orders));
}

void takeLateEnd(PilotState& pilot, const RunId& run, const RunReport& seen, Now now) {
  auto found = pilot.jobs.find(JobId(std::string_view(run.value).substr(0, run.value.find(':'))));
  if (found == pilot.jobs.end() || found->second.state != JobState::open) return;
  const auto& job = found->second;
  for (std::size_t i = 0; i < job.tasks.size(); ++i)
    if (job.tasks[i].state == TaskState::pending && runIdOf(job, i) == run) {
      ++pilot.counts.lateEnds;
      return finishRun(pilot, job.id, i, RunOutcome::clean, seen.detail, now);
    }
}

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
  row.last = report;
  row.tender = heard.from;
  row.heardMs = now.steadyMs;
  std::map<RunId, const RunReport*> listed;
  for (const auto& run : report.runs) listed[run.id] = &run;
  const auto mine = pilot.held[report.worker];
  for (const auto& [run, where] : mine) {
    const auto& task = pilot.jobs.at(where.first).tasks[where.second];
    auto found = listed.find(run);
    if (found != listed.end()) {
      const auto& seen = *found->second;
      if (seen.state == RunState::going && !task.confirmed)
        change(pilot, where.first, [&](Job& job) { job.tasks[where.second].confirmed = true; });
      if (seen.state == RunState::ended) {
        judgeWorker(pilot, row, pilot.jobs.at(where.first), task, seen.outcome, now);
        finishRun(pilot, where.first, where.second, seen.outcome, seen.detail, now);
      }
      continue;
    }
    if (!report.workerHeard) continue;
    const bool reborn = !task.workerIncarnation.empty() && task.workerIncarnation != report.workerIncarnation;
    auto first = row.firstOrdered.find(run);
    const bool processed = first != row.firstOrdered.end() && report.ordersTerm == pilot.term && report.ordersSeq >= first->second;
    if (reborn || processed) finishRun(pilot, where.first, where.second, RunOutcome::lost, reborn ? "worker restarted" : "run is gone", now);
  }
  for (const auto& [run, seen] : listed)
    if (seen->state == RunState::ended && seen->outcome == RunOutcome::clean && !mine.contains(run)) takeLateEnd(pilot, run, *seen, now);
  sendOrders(pilot, row, now, out);
}

void sendSeat(PilotState& pilot, SeatRow& seat, Now now, Outbox& out) {
  if (!seat.promised || seat.inflight) return;
  if (seat.sentSeq >= pilot.seq && seat.owed.empty()) return;
  RangeAccept accept;
  accept.cohort = pilot.crew.cohort.revision;
  accept.term = pilot.term;
  accept.seq = pilot.seq;
  accept.sentMs = now.steadyMs;
  accept.fleetMs = fleet(pilot, now);
  accept.hint = hintOf(pilot);
  for (const auto& key : seat.owed) {
    auto found = pilot.current.find(key);
    if (found != pilot.current.end()) accept.entries.push_back(found->second);
  }
  seat.owed.clear();
  seat.sentSeq = pilot.seq;
  seat.sentMs = now.steadyMs;
  seat.inflight = accept;
  out.send(seat.signal, std::move(accept));
}

void write(PilotState& pilot, const std::string& key, std::string value) {
  if (value.empty()) pilot.tombs.emplace_back(pilot.seq, key);
  pilot.current[key] = Entry{key, versionNow(pilot), std::move(value)};
  for (auto& [id, seat] : pilot.seats) seat.owed.insert(key);
}

void mergePromise(PilotState& pilot, const DaemonId& id, const RangePromise& promise) {
  auto& seat = pilot.seats[id];
  seat.promised = true;
  seat.owed.clear();
  std::map<std::string, const Entry*> theirs;
  for (const auto& entry : promise.entries) theirs[entry.key] = &entry;
  for (const auto& [key, entry] : pilot.current) {
    auto found = theirs.find(key);
    if (found == theirs.end() || found->second->version != entry.version) seat.owed.insert(key);
  }
  std::vector<std::string> ahead;
  for (const auto& [key, entry] : theirs) {
    auto found = pilot.current.find(key);
    if (found == pilot.current.end() || found->second.version < entry->version) ahead.push_back(key);
  }
  if (ahead.empty()) return;
  ++pilot.seq;
  for (const auto& key : ahead) {
    auto found = pilot.current.find(key);
    std::string value = found == pilot.current.end() ? std::string() : found->second.value;
    ++pilot.counts.rewritten;
    write(pilot, key, std::move(value));
  }
  pilot.batches[pilot.seq];
}

void refreshSeats(PilotState& pilot) {
  std::map<DaemonId, SeatRow> kept;
  for (const auto& seat : pilot.crew.cohort.seats) {
    auto found = pilot.seats.find(seat.id);
    if (found != pilot.seats.end()) kept[seat.id] = std::move(found->second);
    kept[seat.id].signal = seat.signal;
  }
  pilot.seats = std::move(kept);
}

void takeOver(PilotState& pilot, Now now, Outbox& out) {
  ++pilot.counts.takeovers;
  pilot.course = Course::leading;
  pilot.leadSinceMs = now.steadyMs;
  pilot.seq = 1;
  refreshSeats(pilot);
  absl::btree_map<std::string, Entry> newest;
  Ballot base;
  Millis fleetMs = 0;
  for (const auto& [id, promise] : pilot.promises) base = std::max(base, promise.base);
  for (const auto& [id, promise] : pilot.promises) {
    if (promise.base != base) continue;
    fleetMs = std::max(fleetMs, promise.fleetMs);
    for (const auto& entry : promise.entries) {
      auto [slot, fresh] = newest.emplace(entry.key, entry);
      if (!fresh && slot->second.version < entry.version) slot->second = entry;
    }
  }
  std::map<std::string_view, std::size_t> agreeing;
  for (const auto& [id, promise] : pilot.promises)
    for (const auto& entry : promise.entries)
      if (auto found = newest.find(entry.key); found != newest.end()) agreeing[entry.key] += found->second.version == entry.version;
  for (auto& [key, entry] : newest) {
    if (agreeing[key] == pilot.promises.size()) continue;
    entry.version = versionNow(pilot);
    ++pilot.counts.rewritten;
  }
  watch::setFleet(pilot.crew, fleetMs, now);
  pilot.current = std::move(newest);
  auto promises = std::move(pilot.promises);
  pilot.promises.clear();
  Batch batch;
  for (const auto& [key, entry] : pilot.current) {
    Job job;
    if (!unpackJob(entry.value, job)) {
      out.alarms.push_back("a stored job does not read: " + key);
      continue;
    }
    if (job.state == JobState::open) {
      pilot.open.insert(job.id);
      ++pilot.openPer[job.pending];
      index(pilot.held, job, true);
    } else {
      pilot.ended.emplace_back(job.finishedMs, job.id);
      if (job.state == JobState::finished) pilot.sizes.push_back(job.counters.totalServedMs);
    }
    batch.jobs.push_back(std::make_shared<const Job>(job));
    pilot.jobs.emplace(job.id, std::move(job));
  }
  std::sort(pilot.ended.begin(), pilot.ended.end());
  while (pilot.sizes.size() > 512) pilot.sizes.pop_front();
  pilot.batches[1] = std::move(batch);
  for (const auto& [id, promise] : promises)
    if (pilot.seats.contains(id)) mergePromise(pilot, id, promise);
  for (auto& [id, seat] : pilot.seats) sendSeat(pilot, seat, now, out);
  out.alarms.push_back("leads term " + std::to_string(pilot.term.number) + " with " + std::to_string(pilot.open.size()) + " open jobs");
}

void onPromise(PilotState& pilot, const Heard& heard, const RangePromise& promise, Now now, Outbox& out) {
  pilot.highestSeen = std::max(pilot.highestSeen, promise.promised.number);
  if (promise.term != pilot.term) return;
  const bool seated = std::any_of(pilot.crew.cohort.seats.begin(), pilot.crew.cohort.seats.end(),
                                  [&](const Seat& seat) { return seat.id == heard.fromId; });
  if (!seated) return;
  if (!promise.ok) {
    if (pilot.course != Course::preparing) return;
    if (pilot.term < promise.promised) stepDown(pilot, now, out, "outbid");
    return;
  }
  if (pilot.course == Course::preparing) {
    pilot.promises[heard.fromId] = promise;
    if (pilot.promises.size() >= watch::majority(pilot.crew.cohort.seats.size())) takeOver(pilot, now, out);
  } else if (pilot.course == Course::leading) {
    auto found = pilot.seats.find(heard.fromId);
    if (found == pilot.seats.end() || found->second.promised) return;
    mergePromise(pilot, heard.fromId, promise);
    for (auto& [id, seat] : pilot.seats) sendSeat(pilot, seat, now, out);
  }
}

void release(PilotState& pilot, Batch& batch, Now now, Outbox& out) {
  for (const auto& job : batch.jobs) {
    auto& slot = pilot.told[job->id];
    auto mark = [&](const Job& each) {
      for (const auto& task : each.tasks)
        if (task.state == TaskState::placed) pilot.ordersDue.insert(task.worker);
    };
    if (slot) {
      mark(*slot);
      index(pilot.toldHeld, *slot, false);
    }
    slot = job;
    mark(*slot);
    index(pilot.toldHeld, *slot, true);
  }
  for (const auto& id : batch.dropped) pilot.told.erase(id);
  for (const auto& each : batch.answers) {
    auto found = pilot.told.find(each.job);
    if (found == pilot.told.end()) continue;
    Json view(viewJob(*found->second, false));
    out.answer(each.transaction, each.kind == HeldAnswer::submitted ? 201 : 200, dumpJson(view.get()));
  }
  for (const auto& worker : pilot.ordersDue) {
    auto row = pilot.workers.find(worker);
    if (row != pilot.workers.end()) sendOrders(pilot, row->second, now, out);
  }
  pilot.ordersDue.clear();
}

void advance(PilotState& pilot, Now now, Outbox& out) {
  std::vector<std::uint64_t> acked;
  std::vector<Millis> echoes;
  for (const auto& [id, seat] : pilot.seats) {
    acked.push_back(seat.ackedSeq);
    echoes.push_back(seat.leaseEchoMs);
  }
  if (acked.empty()) return;
  const auto need = watch::majority(acked.size()) - 1;
  std::sort(acked.rbegin(), acked.rend());
  std::sort(echoes.rbegin(), echoes.rend());
  pilot.leaseUntilMs = echoes[need] + bounds(pilot).termMs * 9 / 10;
  pilot.committed = std::max(pilot.committed, acked[need]);
  while (!pilot.batches.empty() && pilot.batches.begin()->first <= pilot.committed) {
    auto batch = std::move(pilot.batches.begin()->second);
    pilot.batches.erase(pilot.batches.begin());
    release(pilot, batch, now, out);
  }
}

void onAccepted(PilotState& pilot, const Heard& heard, const RangeAccepted& reply, Now now, Outbox& out) {
  pilot.highestSeen = std::max(pilot.highestSeen, reply.promised.number);
  if (pilot.course != Course::leading || reply.term != pilot.term) return;
  auto found = pilot.seats.find(heard.fromId);
  if (found == pilot.seats.end()) return;
  auto& seat = found->second;
  if (!reply.ok) {
    if (pilot.term < reply.promised) return stepDown(pilot, now, out, "a newer term was promised");
    if (reply.promised < pilot.term && seat.promised) {
      seat.promised = false;
      seat.inflight.reset();
    }
    return;
  }
  seat.leaseEchoMs = std::max(seat.leaseEchoMs, reply.sentMs);
  if (reply.synced && seat.inflight && seat.inflight->seq == reply.seq) {
    seat.ackedSeq = std::max(seat.ackedSeq, reply.seq);
    seat.inflight.reset();
  }
  advance(pilot, now, out);
  sendSeat(pilot, seat, now, out);
}

struct Scene {
  std::vector<admission::Candidate> candidates;
  std::vector<JobId> ids;
  std::vector<WorkerId> workers;
  std::vector<std::string> incarnations;
  admission::Field field;
};

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

Scene makeScene(const PilotState& pilot, Now now) {
  Scene scene;
  const auto& chart = *pilot.crew.chart;
  std::map<WorkerId, std::size_t> at;
  std::set<WorkerId> all;
  for (const auto& [id, row] : pilot.workers) all.insert(id);
  for (const auto& [id, runs] : pilot.held)
    if (!runs.empty()) all.insert(id);
  for (const auto& id : all) {
    berth::Berth berth;
    berth.worker = id;
    berth.usable = false;
    std::string incarnation;
    if (auto found = pilot.workers.find(id); found != pilot.workers.end()) {
      const auto& row = found->second;
      berth.cell = row.last.cell;
      berth.pool = row.last.pool;
      berth.labels = row.last.labels;
      if (auto pool = chart.pools.find(berth.pool.value); pool != chart.pools.end()) {
        for (const auto& [name, value] : pool->second.labels) berth.labels[name] = value;
        berth.total = {std::min(pool->second.slots, row.last.slots), pool->second.room};
        for (auto& [name, amount] : berth.total.more)
          if (auto own = row.last.room.find(name); own != row.last.room.end()) amount = std::min(amount, own->second);
      }
      berth.usable = usableWorker(pilot, row, now);
      berth.doubt = row.standing.failRate > 0.3 || row.standing.pace > 1.7 ? 1 : 0;
      incarnation = row.last.workerIncarnation;
    }
    at[id] = scene.workers.size();
    scene.workers.push_back(id);
    scene.incarnations.push_back(incarnation);
    scene.field.free.push_back(berth.total);
    scene.field.berths.push_back(std::move(berth));
  }
  for (const auto& [name, line] : chart.pendings) scene.field.quotaSlots[PendingName(name)] = line.quotaSlots;
  const auto fleetMs = fleet(pilot, now);
  for (const auto& id : pilot.open) {
    const auto& job = pilot.jobs.at(id);
    admission::Candidate candidate;
    for (const auto i : readyTasks(job, fleetMs)) candidate.ready.push_back({i, job.tasks[i].need, job.labels, job.tasks[i].failedOn});
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
      const auto& task = job.tasks[i];
      if (task.state != TaskState::placed) continue;
      const auto where = at.at(task.worker);
      berth::take(scene.field.free[where], task.need);
      candidate.runs.push_back({i, where, task.need, task.stopping});
      scene.field.heldSlots[job.pending] += task.need.slots;
    }
    if (candidate.ready.empty() && candidate.runs.empty()) continue;
    candidate.id = id;
    candidate.pending = job.pending;
    candidate.counters = job.counters;
    candidate.rank = lineOf(pilot, job).rank;
    candidate.acceptedMs = job.acceptedMs;
    candidate.gang = job.gang;
    if (!candidate.ready.empty() && candidate.runs.empty()) candidate.readyForMs = job.counters.waitMs;
    scene.candidates.push_back(std::move(candidate));
    scene.ids.push_back(id);
  }
  return scene;
}

void keepHouse(PilotState& pilot, Now now) {
  const auto fleetMs = fleet(pilot, now);
  const auto& rules = pilot.crew.chart->admission;
  const auto openNow = std::vector<JobId>(pilot.open.begin(), pilot.open.end());
  for (const auto& id : openNow) {
    auto& job = pilot.jobs.at(id);
    accrueTo(job, fleetMs);
    const auto promotions = job.counters.promotions;
    if (admission::settle(job.counters, rules, hasRuns(job))) touch(pilot, id);
    pilot.counts.promotions += static_cast<std::uint64_t>(job.counters.promotions - promotions);
    if (job.cutoffMs > 0 && job.ending == JobState::open && fleetMs >= job.acceptedMs + job.cutoffMs)
      change(pilot, id, [&](Job& each) {
        endJob(each, JobState::expired, "its cutoff passed", fleetMs);
        closeIfOver(each, fleetMs);
      });
    if (job.gang && job.ending == JobState::open) {
      bool late = false, stopping = false;
      for (const auto& task : job.tasks)
        if (task.state == TaskState::placed) {
          late = late || (!task.confirmed && fleetMs - task.orderedMs >= rules.gangStartMs);
          stopping = stopping || task.stopping;
        }
      if (late && !stopping) {
        ++pilot.counts.gangRetries;
        change(pilot, id, [&](Job& each) { stopRuns(each, fleetMs); });
      }
    }
  }
  const auto quiet = pilot.held;
  for (const auto& [worker, runs] : quiet) {
    if (runs.empty()) continue;
    auto row = pilot.workers.find(worker);
    const Millis heardMs = row == pilot.workers.end() ? pilot.leadSinceMs : std::max(row->second.heardMs, pilot.leadSinceMs);
    const auto& pools = pilot.crew.chart->pools;
    std::int64_t terms = 1;
    bool selfStop = true;
    for (const auto& [name, pool] : pools) {
      if (row != pilot.workers.end() && row->second.last.pool.value != name) continue;
      terms = std::max(terms, pool.lostAfterTerms);
      selfStop = selfStop && pool.selfStop;
    }
    if (row != pilot.workers.end() && !pools.contains(row->second.last.pool.value)) selfStop = false;
    const auto mark = pilot.crew.chart->gone.find(worker.value);
    const bool gone = mark != pilot.crew.chart->gone.end() && mark->second;
    if (!gone && (!selfStop || now.steadyMs - heardMs < bounds(pilot).sureMs(terms))) continue;
    for (const auto& [run, where] : runs) finishRun(pilot, where.first, where.second, RunOutcome::lost, "worker silent past its term", now);
  }
  const auto& keep = pilot.crew.chart->keep;
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
         (static_cast<std::int64_t>(pilot.ended.size()) > keep.finishedMost || fleetMs - pilot.ended.front().first > keep.finishedMs)) {
    const auto id = pilot.ended.front().second;
    if (pilot.dirty.contains(id)) break;
    pilot.ended.pop_front();
    pilot.jobs.erase(id);
    touch(pilot, id);
    ++pilot.counts.dropped;
  }
}

void runEpoch(PilotState& pilot, Now now) {
  ++pilot.counts.epochs;
  const auto fleetMs = fleet(pilot, now);
  auto scene = makeScene(pilot, now);
  const std::vector<std::int64_t> sizes(pilot.sizes.begin(), pilot.sizes.end());
  const auto plan = admission::plan(scene.candidates, scene.field, pilot.crew.chart->admission, sizes);
  pilot.counts.passedOver += plan.passedOver;
  pilot.counts.reservations += plan.reservedFor.has_value();
  std::set<std::size_t> pushed;
  for (const auto& stop : plan.stops) {
    ++pilot.counts.stops;
    const bool first = pushed.insert(stop.job).second;
    change(pilot, scene.ids[stop.job], [&](Job& job) {
      accrueTo(job, fleetMs);
      job.tasks[stop.task].stopping = true;
      job.counters.preemptions += first;
    });
    pilot.counts.preempted += first;
  }
  for (const auto& start : plan.starts) {
    ++pilot.counts.starts;
    change(pilot, scene.ids[start.job],
           [&](Job& job) { startRun(job, start.task, scene.workers[start.berth], scene.incarnations[start.berth], fleetMs); });
  }
  if (!plan.starts.empty())
    if (auto fault = checkRoom(pilot); !fault.empty() && pilot.broken.empty()) pilot.broken = fault;
}

void sealBatch(PilotState& pilot, Now now, Outbox& out) {
  const bool timeDue = !pilot.open.empty() && now.steadyMs - pilot.sealedMs >= bounds(pilot).termMs;
  if (pilot.dirty.empty() && pilot.waiting.empty() && !timeDue) return;
  constexpr std::size_t kMostOpenBatches = 2;
  if (pilot.batches.size() >= kMostOpenBatches) return;
  pilot.sealedMs = now.steadyMs;
  ++pilot.seq;
  ++pilot.counts.batches;
  Batch batch;
  for (const auto& id : pilot.dirty) {
    auto found = pilot.jobs.find(id);
    if (found == pilot.jobs.end()) {
      batch.dropped.push_back(id);
      write(pilot, id.value, {});
      continue;
    }
    write(pilot, id.value, packJob(found->second));
    batch.jobs.push_back(std::make_shared<const Job>(found->second));
  }
  pilot.dirty.clear();
  batch.answers = std::move(pilot.waiting);
  pilot.waiting.clear();
  pilot.batches[pilot.seq] = std::move(batch);
  for (auto& [id, seat] : pilot.seats) sendSeat(pilot, seat, now, out);
}

void lead(PilotState& pilot, Now now, Outbox& out) {
  refreshSeats(pilot);
  const Millis againMs = bounds(pilot).beatMs();
  for (auto& [id, seat] : pilot.seats) {
    if (!seat.promised) {
      if (now.steadyMs - seat.sentMs >= againMs) {
        seat.sentMs = now.steadyMs;
        out.send(seat.signal, RangePrepare{pilot.crew.cohort.revision, pilot.term, hintOf(pilot)});
      }
      continue;
    }
    if (seat.inflight && now.steadyMs - seat.sentMs >= againMs) {
      seat.sentMs = now.steadyMs;
      seat.inflight->sentMs = now.steadyMs;
      seat.inflight->cohort = pilot.crew.cohort.revision;
      out.send(seat.signal, *seat.inflight);
    }
    if (now.steadyMs - seat.beatMs >= againMs / 2) {
      seat.beatMs = now.steadyMs;
      RangeAccept beat;
      beat.cohort = pilot.crew.cohort.revision;
      beat.term = pilot.term;
      beat.sentMs = now.steadyMs;
      beat.fleetMs = fleet(pilot, now);
      beat.hint = hintOf(pilot);
      out.send(seat.signal, std::move(beat));
    }
    sendSeat(pilot, seat, now, out);
  }
  if (pilot.committed > 0 && now.steadyMs >= pilot.leaseUntilMs) return stepDown(pilot, now, out, "its lease lapsed");
  if (pilot.committed == 0 && now.steadyMs - pilot.leadSinceMs > 2 * bounds(pilot).termMs)
    return stepDown(pilot, now, out, "the first batch found no majority");
  if (!leads(pilot, now)) return;
  const Millis epochMs = pilot.crew.chart->admission.epochMs;
  if (now.steadyMs - pilot.epochMs < epochMs) return;
  pilot.epochMs = now.steadyMs;
  keepHouse(pilot, now);
  if (now.steadyMs - pilot.leadSinceMs >= bounds(pilot).reportMs()) runEpoch(pilot, now);
  if (!pilot.broken.empty()) {
    out.alarms.push_back("invariant broken: " + pilot.broken);
    pilot.broken.clear();
    return stepDown(pilot, now, out, "an invariant did not hold");
  }
  sealBatch(pilot, now, out);
}

void follow(PilotState& pilot, Now now) {
  const auto& crew = pilot.crew;
  if (crew.leaving || !watch::sessionLive(crew, now) || crew.cohort.seats.empty()) return;
  if (!crew.leader.http.empty() && crew.leader.signal != crew.env.signal) {
    pilot.tryAtMs = 0;
    return;
  }
  if (pilot.tryAtMs == 0) {
    Millis place = 0;
    for (const auto& member : crew.members) place += member.role == Role::pilot && member.id < crew.id && member.ageMs < bounds(pilot).termMs;
    pilot.tryAtMs = now.steadyMs + place * bounds(pilot).beatMs() / 2;
  }
  if (now.steadyMs < pilot.tryAtMs) return;
  pilot.course = Course::preparing;
  pilot.highestSeen = std::max(pilot.highestSeen, crew.leader.term.number);
  pilot.term = Ballot{++pilot.highestSeen, crew.id.value + "/" + crew.incarnation};
  pilot.promises.clear();
  pilot.prepareStartMs = now.steadyMs;
  pilot.prepareSentMs = -1000000;
}

void prepare(PilotState& pilot, Now now, Outbox& out) {
  if (now.steadyMs - pilot.prepareStartMs > bounds(pilot).termMs || !watch::sessionLive(pilot.crew, now)) {
    reset(pilot, now, out);
    return;
  }
  if (now.steadyMs - pilot.prepareSentMs < bounds(pilot).beatMs() / 2) return;
  pilot.prepareSentMs = now.steadyMs;
  for (const auto& seat : pilot.crew.cohort.seats)
    if (!pilot.promises.contains(seat.id))
      out.send(seat.signal, RangePrepare{pilot.crew.cohort.revision, pilot.term, hintOf(pilot)});
}

}  // namespace

PilotState makePilot(const Env& env, const DaemonId& id, std::string incarnation) {
  PilotState pilot;
  pilot.crew = watch::makeCrew(env, id, std::move(incarnation));
  return pilot;
}

bool leads(const PilotState& pilot, Now now) {
  return pilot.course == Course::leading && pilot.committed > 0 && now.steadyMs < pilot.leaseUntilMs &&
         watch::sessionLive(pilot.crew, now);
}

void pilotHeard(PilotState& pilot, const Heard& heard, Now now, Outbox& out) {
  const auto fleetMs = pilot.crew.fleetMs, fleetAtMs = pilot.crew.fleetAtMs;
  if (watch::crewHeard(pilot.crew, heard, now, out)) {
    if (pilot.course == Course::leading) std::tie(pilot.crew.fleetMs, pilot.crew.fleetAtMs) = std::tie(fleetMs, fleetAtMs);
    return;
  }
  if (pilot.course == Course::leading && pilot.committed > 0 && now.steadyMs >= pilot.leaseUntilMs)
    return stepDown(pilot, now, out, "its lease lapsed");
  if (const auto* promise = std::get_if<RangePromise>(&heard.message)) onPromise(pilot, heard, *promise, now, out);
  else if (const auto* accepted = std::get_if<RangeAccepted>(&heard.message)) onAccepted(pilot, heard, *accepted, now, out);
  else if (const auto* report = std::get_if<TenderReport>(&heard.message)) onReport(pilot, heard, *report, now, out);
}

void pilotTick(PilotState& pilot, Now now, Outbox& out) {
  if (pilot.course == Course::following) follow(pilot, now);
  if (pilot.course == Course::preparing) prepare(pilot, now, out);
  if (pilot.course == Course::leading) lead(pilot, now, out);
  const bool known = !pilot.crew.leader.http.empty() || leads(pilot, now);
  pilot.crew.ready = watch::sessionLive(pilot.crew, now) && known && !pilot.crew.leaving;
}

void pilotResign(PilotState& pilot, Now now, Outbox& out) {
  pilot.crew.leaving = true;
  if (pilot.course == Course::leading) {
    for (const auto& [id, seat] : pilot.seats) out.send(seat.signal, Resign{pilot.term});
    stepDown(pilot, now, out, "a polite stop");
  }
}

void submitJob(PilotState& pilot, std::uint64_t transaction, std::string_view body, Now now, Outbox& out) {
  Job job;
  const auto& chart = *pilot.crew.chart;
  const auto verdict = readJob(body, chart, job);
  auto known = pilot.jobs.find(job.id);
  const bool resent = !job.id.empty() && known != pilot.jobs.end();
  if (verdict.kind != Kind::ok && !(resent && (verdict.kind == Kind::noSuchPending || verdict.kind == Kind::neverFits))) {
    ++pilot.counts.denied;
    const auto& row = rowOf(verdict.kind);
    out.answer(transaction, row.status, chart::faultsJson(verdict.kind, {{verdict.field, verdict.allowed}}));
    return;
  }
  if (resent) {
    if (job.digest.empty()) {
      Json root = parseJson(body);
      Job again;
      chart::Chart wide = chart;
      wide.pendings[job.pending.value];
      wide.pools["any"].slots = 1 << 20;
      wide.pools["any"].workers = 1 << 10;
      wide.pools["any"].labels = job.labels;
      readJob(body, wide, again);
      job.digest = again.digest;
    }
    if (job.digest != known->second.digest) return watch::answerKind(out, transaction, Kind::idTaken, bounds(pilot), job.id.view());
    pilot.waiting.push_back({transaction, job.id, HeldAnswer::submitted});
    return;
  }
  const auto& line = chart.pendings.at(job.pending.value);
  const auto most = chart.gangway.mostOpenJobs;
  const auto open = static_cast<std::int64_t>(pilot.open.size());
  const auto share = std::max<std::int64_t>(1, most / 2 / static_cast<std::int64_t>(chart.pendings.size()));
  const auto mine = pilot.openPer[job.pending];
  if (mine >= line.mostJobs || open >= most || (mine >= share && open >= most - most / 2)) {
    ++pilot.counts.denied;
    return watch::answerKind(out, transaction, Kind::overloaded, bounds(pilot), job.pending.view());
  }
  ++pilot.counts.submitted;
  job.acceptedMs = job.accountedMs = fleet(pilot, now);
  const auto id = job.id;
  pilot.open.insert(id);
  ++pilot.openPer[job.pending];
  pilot.jobs.emplace(id, std::move(job));
  touch(pilot, id);
  pilot.waiting.push_back({transaction, id, HeldAnswer::submitted});
}

void cancelJob(PilotState& pilot, std::uint64_t transaction, const JobId& id, Now now, Outbox& out) {
  auto found = pilot.jobs.find(id);
  if (found == pilot.jobs.end()) return watch::answerKind(out, transaction, Kind::noSuchJob, bounds(pilot), id.view());
  const auto& job = found->second;
  const bool cancelled = job.state == JobState::cancelled || job.ending == JobState::cancelled;
  if (!cancelled && (job.state != JobState::open || job.ending != JobState::open))
    return watch::answerKind(out, transaction, Kind::jobEnded, bounds(pilot),
                             stateName(job.state != JobState::open ? job.state : job.ending));
  if (!cancelled)
    change(pilot, id, [&](Job& each) {
      endJob(each, JobState::cancelled, "cancelled by its caller", fleet(pilot, now));
      closeIfOver(each, fleet(pilot, now));
    });
  pilot.waiting.push_back({transaction, id, HeldAnswer::cancelled});
}

void getJob(const PilotState& pilot, std::uint64_t transaction, const JobId& id, Outbox& out) {
  auto found = pilot.told.find(id);
  if (found == pilot.told.end()) return watch::answerKind(out, transaction, Kind::noSuchJob, bounds(pilot), id.view());
  Json view(viewJob(*found->second, false));
  out.answer(transaction, 200, dumpJson(view.get()));
}

void listJobs(const PilotState& pilot, std::uint64_t transaction, const std::map<std::string, std::string>& query, Outbox& out) {
  std::size_t most = 100;
  std::string after, state, line;
  for (const auto& [key, value] : query) {
    if (key == "limit") {
      const auto asked = std::atol(value.c_str());
      if (asked < 1 || asked > 1000) return out.answer(transaction, 422, chart::faultsJson(Kind::badValue, {{"limit", "1 to 1000"}}));
      most = static_cast<std::size_t>(asked);
    } else if (key == "after") after = value;
    else if (key == "state") state = value;
    else if (key == "pending") line = value;
    else return out.answer(transaction, 422, chart::faultsJson(Kind::unknownField, {{key, "limit, after, state, pending"}}));
  }
  Json root(json_object());
  json_t* list = json_array();
  std::string next;
  for (auto at = pilot.told.upper_bound(JobId(after)); at != pilot.told.end(); ++at) {
    const auto& job = *at->second;
    if (!line.empty() && job.pending.value != line) continue;
    if (!state.empty() && stateName(job.state) != state) continue;
    if (json_array_size(list) == most) {
      next = std::string(json_string_value(json_object_get(json_array_get(list, most - 1), "id")));
      break;
    }
    json_array_append_new(list, viewJob(job, true));
  }
  json_object_set_new(root.get(), "jobs", list);
  if (!next.empty()) json_object_set_new(root.get(), "after", jsonText(next));
  out.answer(transaction, 200, dumpJson(root.get()));
}

void traceJobs(const PilotState& pilot, std::uint64_t transaction, Outbox& out) {
  std::vector<const Job*> all;
  for (const auto& [id, job] : pilot.told)
    if (job->state == JobState::finished) all.push_back(job.get());
  std::sort(all.begin(), all.end(), [](const Job* a, const Job* b) { return std::tie(a->acceptedMs, a->id) < std::tie(b->acceptedMs, b->id); });
  std::string text;
  for (const auto* job : all) text += traceLine(*job) + "\n";
  out.answer(transaction, 200, std::move(text));
}

json_t* workersView(const PilotState& pilot, Now now) {
  json_t* list = json_array();
  for (const auto& [id, row] : pilot.workers) {
    json_t* item = json_object();
    std::int64_t used = 0, runs = 0;
    if (auto held = pilot.toldHeld.find(id); held != pilot.toldHeld.end())
      for (const auto& [run, where] : held->second) {
        used += pilot.told.at(where.first)->tasks[where.second].need.slots;
        ++runs;
      }
    json_object_set_new(item, "worker", jsonText(id.view()));
    json_object_set_new(item, "cell", jsonText(row.last.cell.view()));
    json_object_set_new(item, "pool", jsonText(row.last.pool.view()));
    json_object_set_new(item, "slots", json_integer(row.last.slots));
    json_object_set_new(item, "slotsHeld", json_integer(used));
    json_object_set_new(item, "runs", json_integer(runs));
    json_object_set_new(item, "leaving", json_boolean(row.last.leaving));
    json_object_set_new(item, "usable", json_boolean(usableWorker(pilot, row, now)));
    json_object_set_new(item, "shunned", json_boolean(now.steadyMs < row.standing.shunnedUntilMs));
    json_object_set_new(item, "clean", json_integer(row.standing.clean));
    json_object_set_new(item, "failed", json_integer(row.standing.failed));
    json_object_set_new(item, "pace", json_real(row.standing.pace));
    json_object_set_new(item, "heardAgoMs", json_integer(now.steadyMs - row.heardMs));
    json_array_append_new(list, item);
  }
  return list;
}

void listWorkers(const PilotState& pilot, std::uint64_t transaction, Now now, Outbox& out) {
  Json root(json_object());
  json_object_set_new(root.get(), "workers", workersView(pilot, now));
  out.answer(transaction, 200, dumpJson(root.get()));
}

void snapshotJobs(const PilotState& pilot, std::uint64_t transaction, Json members, Now now, Outbox& out) {
  constexpr std::size_t kMostJobs = 5000;
  std::vector<const Job*> chosen;
  for (const auto& id : pilot.open)
    if (auto found = pilot.told.find(id); found != pilot.told.end() && chosen.size() < kMostJobs) chosen.push_back(found->second.get());
  for (auto at = pilot.ended.rbegin(); at != pilot.ended.rend() && chosen.size() < kMostJobs; ++at)
    if (auto found = pilot.told.find(at->second); found != pilot.told.end()) chosen.push_back(found->second.get());
  json_t *jobs = json_array(), *tasks = json_array();
  for (const auto* job : chosen) {
    json_t* view = viewJob(*job, false);
    const json_t* own = json_object_get(view, "tasks");
    for (std::size_t i = 0; i < json_array_size(own); ++i) {
      json_t* task = json_array_get(own, i);
      json_object_set_new(task, "job", jsonText(job->id.view()));
      json_array_append(tasks, task);
    }
    json_object_del(view, "tasks");
    json_array_append_new(jobs, view);
  }
  json_object_set_new(members.get(), "jobs", jobs);
  json_object_set_new(members.get(), "tasks", tasks);
  json_object_set_new(members.get(), "workers", workersView(pilot, now));
  json_object_set_new(members.get(), "complete", json_boolean(chosen.size() == pilot.told.size()));
  if (Json chart = parseJson(pilot.crew.chartText)) json_object_set_new(members.get(), "configuration", chart.release());
  out.answer(transaction, 200, dumpJson(members.get()));
}

std::string countersJson(const PilotState& pilot) {
  Json root(json_object());
  const auto& c = pilot.counts;
  const std::pair<const char*, std::uint64_t> rows[] = {
      {"takeovers", c.takeovers},   {"epochs", c.epochs},         {"batches", c.batches},       {"starts", c.starts},
      {"stops", c.stops},           {"preempted", c.preempted},   {"lostRuns", c.lost},         {"failedRuns", c.failures},
      {"cleanRuns", c.cleans},      {"submitted", c.submitted},   {"denied", c.denied},         {"passedOver", c.passedOver},
      {"reservations", c.reservations}, {"reports", c.reports},   {"shuns", c.shuns},           {"rewritten", c.rewritten},
      {"steppedDown", c.steppedDown}, {"gangRetries", c.gangRetries}, {"lateEnds", c.lateEnds}, {"promotions", c.promotions}, {"dropped", c.dropped},
      {"openJobs", pilot.open.size()}, {"knownJobs", pilot.told.size()}};
  for (const auto& [name, value] : rows) json_object_set_new(root.get(), name, json_integer(static_cast<json_int_t>(value)));
  return dumpJson(root.get());
}

std::string checkRoom(const PilotState& pilot) {
  for (const auto& [worker, runs] : pilot.held) {
    auto row = pilot.workers.find(worker);
    if (row == pilot.workers.end()) continue;
    berth::Room sum;
    bool fresh = false;
    for (const auto& [run, where] : runs) {
      const auto& task = pilot.jobs.at(where.first).tasks[where.second];
      berth::add(sum, task.need);
      fresh = fresh || !task.confirmed;
    }
    auto pool = pilot.crew.chart->pools.find(row->second.last.pool.value);
    if (!fresh || pool == pilot.crew.chart->pools.end()) continue;
    if (sum.slots > std::max(pool->second.slots, row->second.last.slots)) return worker.value + " holds more than its room";
  }
  return {};
}

}  // namespace tulip::manifest
