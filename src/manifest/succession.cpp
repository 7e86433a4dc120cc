#include <algorithm>

#include "manifest/parts.hpp"

namespace tulip::manifest {

using namespace signal;

namespace {

LeaderHint hintOf(const PilotState& pilot) { return {pilot.term, pilot.crew.env.signal, pilot.crew.env.http}; }

Version versionNow(const PilotState& pilot) { return {pilot.term, pilot.seq}; }

void reset(PilotState& pilot, Now now, Outbox& out) {
  auto unknown = [&](const Waiting& each) {
    if (each.caller.remote.empty()) tell(pilot, each.caller, Kind::unknownOutcome, nullptr, out);
  };
  for (const auto& each : pilot.waiting) unknown(each);
  for (const auto& [seq, batch] : pilot.batches)
    for (const auto& each : batch.answers) unknown(each);
  pilot.promises.clear();
  pilot.jobs.clear();
  pilot.told.clear();
  pilot.open.clear();
  pilot.dirty.clear();
  pilot.fresh.clear();
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
  pilot.longWaits.clear();
  pilot.ended.clear();
  pilot.openPer.clear();
  pilot.seq = pilot.committed = 0;
  pilot.leaseUntilMs = -1000000;
  pilot.course = Course::following;
  pilot.tryAtMs = now.steadyMs + bounds(pilot).beatMs();
}

}  // namespace

void stepDown(PilotState& pilot, Now now, Outbox& out, std::string_view why) {
  if (pilot.course == Course::leading) {
    ++pilot.counts.steppedDown;
    out.alarms.push_back("stepped down from term " + std::to_string(pilot.term.number) + ": " + std::string(why));
  }
  reset(pilot, now, out);
}

namespace {

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
  pilot.planDue = true;
  pilot.current = std::move(newest);
  auto promises = std::move(pilot.promises);
  pilot.promises.clear();
  Batch batch;
  std::map<std::string, std::shared_ptr<const Spec>> specs;
  for (auto at = pilot.current.lower_bound("~"); at != pilot.current.end() && at->first.front() == '~'; ++at) {
    Spec spec;
    if (unpackSpec(at->second.value, spec)) specs[at->first.substr(1)] = std::make_shared<const Spec>(std::move(spec));
    else if (!at->second.value.empty()) out.alarms.push_back("a stored job's spec does not read: " + at->first);
  }
  for (const auto& [key, entry] : pilot.current) {
    if (key.front() == '~') break;
    if (entry.value.empty()) continue;
    Job job;
    if (!unpackJob(entry.value, specs[key], job)) {
      out.alarms.push_back("a stored job does not read: " + key);
      continue;
    }
    for (auto& task : job.tasks) task.movedMs = fleetMs;
    if (job.state == JobState::open) {
      pilot.open.insert(job.id);
      ++pilot.openPer[job.pending()];
      indexRuns(pilot.held, job, true);
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

}  // namespace

void onPromise(PilotState& pilot, const Heard& heard, const RangePromise& promise, Now now, Outbox& out) {
  pilot.highestSeen = std::max(pilot.highestSeen, promise.promised.number);
  if (promise.term != pilot.term) return;
  const bool seated = std::any_of(pilot.crew.cohort.seats.begin(), pilot.crew.cohort.seats.end(),
                                  [&](const Seat& seat) { return seat.id == heard.fromId; });
  if (!seated) return;
  if (!promise.ok) {
    if (pilot.course == Course::leading && pilot.term < promise.promised) {
      auto found = pilot.seats.find(heard.fromId);
      if (found == pilot.seats.end()) return;
      auto& sinceMs = found->second.aheadSinceMs;
      if (sinceMs < 0) sinceMs = now.steadyMs;
      if (now.steadyMs - sinceMs < 2 * bounds(pilot).termMs) return;
      for (const auto& [id, seat] : pilot.seats) out.send(seat.signal, Resign{pilot.term});
      return stepDown(pilot, now, out, "a quay has promised a newer term that nobody leads");
    }
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

namespace {

void release(PilotState& pilot, Batch& batch, Now now, Outbox& out) {
  for (const auto& job : batch.jobs) {
    auto& slot = pilot.told[job->id];
    auto mark = [&](const Job& each) {
      if (each.holding > 0)
        for (const auto& task : each.tasks)
          if (task.holds()) pilot.ordersDue.insert(task.worker);
    };
    if (slot) {
      mark(*slot);
      indexRuns(pilot.toldHeld, *slot, false);
    }
    slot = job;
    mark(*slot);
    indexRuns(pilot.toldHeld, *slot, true);
  }
  for (const auto& id : batch.dropped) pilot.told.erase(id);
  for (const auto& each : batch.answers)
    if (auto found = pilot.told.find(each.job); found != pilot.told.end()) tell(pilot, each.caller, Kind::ok, found->second.get(), out, each.kind == HeldAnswer::submitted ? "new" : "");
  for (const auto& worker : pilot.ordersDue)
    if (auto row = pilot.workers.find(worker); row != pilot.workers.end()) sendOrders(pilot, row->second, now, out);
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

}  // namespace

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

namespace {

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
      write(pilot, specKey(id), {});
      continue;
    }
    if (pilot.fresh.erase(id)) write(pilot, specKey(id), packSpec(*found->second.spec));
    write(pilot, id.value, packJob(found->second));
    batch.jobs.push_back(std::make_shared<const Job>(found->second));
  }
  pilot.dirty.clear();
  batch.answers = std::move(pilot.waiting);
  pilot.waiting.clear();
  pilot.batches[pilot.seq] = std::move(batch);
  for (auto& [id, seat] : pilot.seats) sendSeat(pilot, seat, now, out);
}

}  // namespace

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
  const Millis epochMs = rulesOf(pilot).epochMs;
  if (now.steadyMs - pilot.epochMs < epochMs) return out.wakeBy(pilot.epochMs + epochMs);
  pilot.epochMs = now.steadyMs;
  if (now.steadyMs - pilot.houseMs >= bounds(pilot).beatMs() / 2 || pilot.planDue) {
    keepHouse(pilot, now);
    tellLongWaits(pilot, now, out);
  }
  const bool due = pilot.planDue || now.steadyMs - pilot.plannedMs >= bounds(pilot).beatMs() / 2;
  if (due && now.steadyMs - pilot.leadSinceMs >= bounds(pilot).beatMs() * 3 / 2) {
    pilot.planDue = false;
    pilot.plannedMs = now.steadyMs;
    runEpoch(pilot, now);
  }
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
    const auto seated = [&](const Address& signal) {
      const auto host = [](std::string_view text) { return text.substr(0, text.rfind(':')); };
      return std::any_of(crew.cohort.seats.begin(), crew.cohort.seats.end(),
                         [&](const Seat& seat) { return host(seat.signal.view()) == host(signal.view()); });
    };
    const auto mine = std::pair(!seated(crew.env.signal), crew.id);
    for (const auto& member : crew.members)
      place += member.role == Role::pilot && member.ageMs < bounds(pilot).termMs && std::pair(!seated(member.signal), member.id) < mine;
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

PilotState makePilot(const Env& env, const DaemonId& id, std::string incarnation) {
  PilotState pilot;
  pilot.crew = watch::makeCrew(env, id, std::move(incarnation));
  if (env.firstThresholdMs > 0) {
    chart::Admission rules;
    rules.lanes = 3;
    rules.thresholdsMs = {env.firstThresholdMs, 4 * env.firstThresholdMs};
    rules.epochMs = std::max<Millis>(10, env.bounds.termMs / 40);
    rules.gangStartMs = env.bounds.gangWaitMs * 2 / 3;
    rules.reserveAfterMs = 2 * env.bounds.termMs;
    rules.rankFirst = true;
    rules.mostLoss = 0.1;
    pilot.usual = std::move(rules);
  }
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
  else if (const auto* ask = std::get_if<CallAsk>(&heard.message)) onCallAsk(pilot, heard, *ask, now, out);
  else if (const auto* answer = std::get_if<CallAnswer>(&heard.message)) onCallAnswer(pilot, *answer, out);
}

void pilotTick(PilotState& pilot, Now now, Outbox& out) {
  if (pilot.course == Course::following) follow(pilot, now);
  if (pilot.course == Course::preparing) prepare(pilot, now, out);
  if (pilot.course == Course::leading) lead(pilot, now, out);
  if (!pilot.forwards.empty()) tickForwards(pilot, now, out);
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

}  // namespace tulip::manifest
