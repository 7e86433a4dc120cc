#include <algorithm>

#include "scheduler/internal.hpp"

namespace tulip::scheduler {

using namespace transport;

namespace {

LeaderHint hintOf(const SchedulerState& scheduler) {
  return {scheduler.term, scheduler.client.settings.peerAddress, scheduler.client.settings.http};
}

EntryVersion versionNow(const SchedulerState& scheduler) { return {scheduler.term, scheduler.seq}; }

void reset(SchedulerState& scheduler, Now now, Outbox& out) {
  auto unknown = [&](const Waiting& each) {
    if (each.caller.remote.empty()) tell(scheduler, each.caller, Kind::unknownOutcome, nullptr, out);
  };
  for (const auto& each : scheduler.waiting) unknown(each);
  for (const auto& [seq, batch] : scheduler.batches)
    for (const auto& each : batch.answers) unknown(each);
  scheduler.promises.clear();
  scheduler.jobs.clear();
  scheduler.committedJobs.clear();
  scheduler.open.clear();
  scheduler.dirty.clear();
  scheduler.fresh.clear();
  scheduler.held.clear();
  scheduler.committedHeld.clear();
  scheduler.waiting.clear();
  scheduler.current.clear();
  scheduler.tombs.clear();
  scheduler.voters.clear();
  scheduler.batches.clear();
  scheduler.workers.clear();
  scheduler.ordersDue.clear();
  scheduler.sizes.clear();
  scheduler.longWaits.clear();
  scheduler.ended.clear();
  scheduler.openPer.clear();
  scheduler.seq = scheduler.committed = 0;
  scheduler.leaseUntilMs = -1000000;
  scheduler.course = Course::following;
  scheduler.tryAtMs = now.steadyMs + bounds(scheduler).heartbeatMs();
}

}  // namespace

void stepDown(SchedulerState& scheduler, Now now, Outbox& out, std::string_view why) {
  if (scheduler.course == Course::leading) {
    ++scheduler.counts.steppedDown;
    out.alarms.push_back("stepped down from term " + std::to_string(scheduler.term.number) + ": " + std::string(why));
  }
  reset(scheduler, now, out);
}

namespace {

void sendVoter(SchedulerState& scheduler, VoterRow& voter, Now now, Outbox& out) {
  if (!voter.promised || voter.inflight) return;
  if (voter.sentSeq >= scheduler.seq && voter.owed.empty()) return;
  JobLogAccept accept;
  accept.membership = scheduler.client.membership.version;
  accept.term = scheduler.term;
  accept.seq = scheduler.seq;
  accept.number = ++scheduler.acceptNumber;
  accept.sentMs = now.steadyMs;
  accept.fleetMs = fleet(scheduler, now);
  accept.hint = hintOf(scheduler);
  for (const auto& key : voter.owed) {
    auto found = scheduler.current.find(key);
    if (found != scheduler.current.end()) accept.entries.push_back(found->second);
  }
  voter.owed.clear();
  voter.sentSeq = scheduler.seq;
  voter.sentMs = now.steadyMs;
  voter.inflight = accept;
  out.send(voter.peerAddress, std::move(accept));
}

void write(SchedulerState& scheduler, const std::string& key, std::string value) {
  if (value.empty()) scheduler.tombs.emplace_back(scheduler.seq, key);
  scheduler.current[key] = Entry{key, versionNow(scheduler), std::move(value)};
  for (auto& [id, voter] : scheduler.voters) voter.owed.insert(key);
}

void mergePromise(SchedulerState& scheduler, const DaemonId& id, const JobLogPromise& promise) {
  auto& voter = scheduler.voters[id];
  voter.promised = true;
  voter.owed.clear();
  std::map<std::string, const Entry*> theirs;
  for (const auto& entry : promise.entries) theirs[entry.key] = &entry;
  for (const auto& [key, entry] : scheduler.current) {
    auto found = theirs.find(key);
    if (found == theirs.end() || found->second->version != entry.version) voter.owed.insert(key);
  }
  std::vector<std::string> ahead;
  for (const auto& [key, entry] : theirs) {
    auto found = scheduler.current.find(key);
    if (found == scheduler.current.end() || found->second.version < entry->version) ahead.push_back(key);
  }
  if (ahead.empty()) return;
  ++scheduler.seq;
  for (const auto& key : ahead) {
    auto found = scheduler.current.find(key);
    std::string value = found == scheduler.current.end() ? std::string() : found->second.value;
    ++scheduler.counts.rewritten;
    write(scheduler, key, std::move(value));
  }
  scheduler.batches[scheduler.seq];
}

void refreshVoters(SchedulerState& scheduler) {
  std::map<DaemonId, VoterRow> kept;
  for (const auto& voter : scheduler.client.membership.voters) {
    auto found = scheduler.voters.find(voter.id);
    if (found != scheduler.voters.end()) kept[voter.id] = std::move(found->second);
    kept[voter.id].peerAddress = voter.peerAddress;
  }
  scheduler.voters = std::move(kept);
}

void takeOver(SchedulerState& scheduler, Now now, Outbox& out) {
  ++scheduler.counts.takeovers;
  scheduler.course = Course::leading;
  scheduler.leadSinceMs = now.steadyMs;
  scheduler.seq = 1;
  refreshVoters(scheduler);
  absl::btree_map<std::string, Entry> newest;
  Ballot base;
  Millis fleetMs = 0;
  for (const auto& [id, promise] : scheduler.promises) base = std::max(base, promise.base);
  for (const auto& [id, promise] : scheduler.promises) {
    if (promise.base != base) continue;
    fleetMs = std::max(fleetMs, promise.fleetMs);
    for (const auto& entry : promise.entries) {
      auto [slot, fresh] = newest.emplace(entry.key, entry);
      if (!fresh && slot->second.version < entry.version) slot->second = entry;
    }
  }
  std::map<std::string_view, std::size_t> agreeing;
  for (const auto& [id, promise] : scheduler.promises)
    for (const auto& entry : promise.entries)
      if (auto found = newest.find(entry.key); found != newest.end())
        agreeing[entry.key] += found->second.version == entry.version;
  for (auto& [key, entry] : newest) {
    if (agreeing[key] == scheduler.promises.size()) continue;
    entry.version = versionNow(scheduler);
    ++scheduler.counts.rewritten;
  }
  control::setFleet(scheduler.client, fleetMs, now);
  scheduler.planDue = true;
  scheduler.current = std::move(newest);
  auto promises = std::move(scheduler.promises);
  scheduler.promises.clear();
  Batch batch;
  std::map<std::string, std::shared_ptr<const Spec>> specs;
  for (auto at = scheduler.current.lower_bound("~"); at != scheduler.current.end() && at->first.front() == '~'; ++at) {
    Spec spec;
    if (unpackSpec(at->second.value, spec))
      specs[at->first.substr(1)] = std::make_shared<const Spec>(std::move(spec));
    else if (!at->second.value.empty())
      out.alarms.push_back("a stored job's spec does not read: " + at->first);
  }
  for (const auto& [key, entry] : scheduler.current) {
    if (key.front() == '~') break;
    if (entry.value.empty()) continue;
    Job job;
    if (!unpackJob(entry.value, specs[key], job)) {
      out.alarms.push_back("a stored job does not read: " + key);
      continue;
    }
    for (auto& task : job.tasks) task.movedMs = fleetMs;
    if (job.state == JobState::open) {
      scheduler.open.insert(job.id);
      ++scheduler.openPer[job.pending()];
      indexRuns(scheduler.held, job, true);
    } else {
      scheduler.ended.emplace_back(job.finishedMs, job.id);
      if (job.state == JobState::finished) scheduler.sizes.push_back(job.counters.totalServedMs);
    }
    batch.jobs.push_back(std::make_shared<const Job>(job));
    scheduler.jobs.emplace(job.id, std::move(job));
  }
  std::sort(scheduler.ended.begin(), scheduler.ended.end());
  while (scheduler.sizes.size() > 512) scheduler.sizes.pop_front();
  scheduler.batches[1] = std::move(batch);
  for (const auto& [id, promise] : promises)
    if (scheduler.voters.contains(id)) mergePromise(scheduler, id, promise);
  for (auto& [id, voter] : scheduler.voters) sendVoter(scheduler, voter, now, out);
  out.alarms.push_back("leads term " + std::to_string(scheduler.term.number) + " with " +
                       std::to_string(scheduler.open.size()) + " open jobs");
}

}  // namespace

// A promise counts towards a majority of the membership that it was asked in only.
static bool ofThisMembership(const SchedulerState& scheduler, const JobLogPromise& promise) {
  return promise.membership == 0 || promise.membership == scheduler.client.membership.version;
}

void onPromise(SchedulerState& scheduler, const Heard& heard, const JobLogPromise& promise, Now now, Outbox& out) {
  scheduler.highestSeen = std::max(scheduler.highestSeen, promise.promised.number);
  if (promise.term != scheduler.term) return;
  const bool isVoter = std::any_of(scheduler.client.membership.voters.begin(), scheduler.client.membership.voters.end(),
                                   [&](const Voter& voter) { return voter.id == heard.fromId; });
  if (!isVoter || !ofThisMembership(scheduler, promise)) return;
  if (!promise.ok) {
    if (scheduler.course == Course::leading && scheduler.term < promise.promised) {
      auto found = scheduler.voters.find(heard.fromId);
      if (found == scheduler.voters.end()) return;
      auto& sinceMs = found->second.aheadSinceMs;
      if (sinceMs < 0) sinceMs = now.steadyMs;
      if (now.steadyMs - sinceMs < 2 * bounds(scheduler).leaseMs) return;
      for (const auto& [id, voter] : scheduler.voters) out.send(voter.peerAddress, Resign{scheduler.term});
      return stepDown(scheduler, now, out, "a replica has promised a newer term that nobody leads");
    }
    if (scheduler.course != Course::preparing) return;
    if (scheduler.term < promise.promised) stepDown(scheduler, now, out, "outbid");
    return;
  }
  if (scheduler.course == Course::preparing) {
    std::erase_if(scheduler.promises, [&](const auto& each) { return !ofThisMembership(scheduler, each.second); });
    scheduler.promises[heard.fromId] = promise;
    if (scheduler.promises.size() >= control::majority(scheduler.client.membership.voters.size()))
      takeOver(scheduler, now, out);
  } else if (scheduler.course == Course::leading) {
    auto found = scheduler.voters.find(heard.fromId);
    if (found == scheduler.voters.end() || found->second.promised) return;
    mergePromise(scheduler, heard.fromId, promise);
    for (auto& [id, voter] : scheduler.voters) sendVoter(scheduler, voter, now, out);
  }
}

namespace {

void release(SchedulerState& scheduler, Batch& batch, Now now, Outbox& out) {
  for (const auto& job : batch.jobs) {
    auto& slot = scheduler.committedJobs[job->id];
    auto mark = [&](const Job& each) {
      if (each.holding > 0)
        for (const auto& task : each.tasks)
          if (task.holds()) scheduler.ordersDue.insert(task.worker);
    };
    if (slot) {
      mark(*slot);
      indexRuns(scheduler.committedHeld, *slot, false);
    }
    slot = job;
    mark(*slot);
    indexRuns(scheduler.committedHeld, *slot, true);
  }
  for (const auto& id : batch.dropped) scheduler.committedJobs.erase(id);
  for (const auto& each : batch.answers)
    if (auto found = scheduler.committedJobs.find(each.job); found != scheduler.committedJobs.end())
      tell(scheduler, each.caller, Kind::ok, found->second.get(), out, each.kind == HeldAnswer::submitted ? "new" : "");
  for (const auto& worker : scheduler.ordersDue)
    if (auto row = scheduler.workers.find(worker); row != scheduler.workers.end())
      sendOrders(scheduler, row->second, now, out);
  scheduler.ordersDue.clear();
}

void advance(SchedulerState& scheduler, Now now, Outbox& out) {
  std::vector<std::uint64_t> acked;
  std::vector<Millis> echoes;
  for (const auto& [id, voter] : scheduler.voters) {
    acked.push_back(voter.ackedSeq);
    echoes.push_back(voter.leaseAcknowledgedMs);
  }
  if (acked.empty()) return;
  const auto need = control::majority(acked.size()) - 1;
  std::sort(acked.rbegin(), acked.rend());
  std::sort(echoes.rbegin(), echoes.rend());
  scheduler.leaseUntilMs = echoes[need] + bounds(scheduler).leaseMs * 9 / 10;
  scheduler.committed = std::max(scheduler.committed, acked[need]);
  while (!scheduler.batches.empty() && scheduler.batches.begin()->first <= scheduler.committed) {
    auto batch = std::move(scheduler.batches.begin()->second);
    scheduler.batches.erase(scheduler.batches.begin());
    release(scheduler, batch, now, out);
  }
}

}  // namespace

void onAccepted(SchedulerState& scheduler, const Heard& heard, const JobLogAccepted& reply, Now now, Outbox& out) {
  scheduler.highestSeen = std::max(scheduler.highestSeen, reply.promised.number);
  if (scheduler.course != Course::leading || reply.term != scheduler.term) return;
  auto found = scheduler.voters.find(heard.fromId);
  if (found == scheduler.voters.end()) return;
  auto& voter = found->second;
  if (!reply.ok) {
    if (scheduler.term < reply.promised) return stepDown(scheduler, now, out, "a newer term was promised");
    if (reply.promised < scheduler.term && voter.promised) {
      voter.promised = false;
      voter.inflight.reset();
    }
    return;
  }
  voter.leaseAcknowledgedMs = std::max(voter.leaseAcknowledgedMs, reply.sentMs);
  if (reply.synced && voter.inflight && voter.inflight->seq == reply.seq) {
    voter.ackedSeq = std::max(voter.ackedSeq, reply.seq);
    voter.inflight.reset();
  }
  advance(scheduler, now, out);
  sendVoter(scheduler, voter, now, out);
}

namespace {

void sealBatch(SchedulerState& scheduler, Now now, Outbox& out) {
  const bool timeDue = !scheduler.open.empty() && now.steadyMs - scheduler.fencedMs >= bounds(scheduler).leaseMs;
  if (scheduler.dirty.empty() && scheduler.waiting.empty() && !timeDue) return;
  constexpr std::size_t kMostOpenBatches = 2;
  if (scheduler.batches.size() >= kMostOpenBatches) return;
  scheduler.fencedMs = now.steadyMs;
  ++scheduler.seq;
  ++scheduler.counts.batches;
  Batch batch;
  for (const auto& id : scheduler.dirty) {
    auto found = scheduler.jobs.find(id);
    if (found == scheduler.jobs.end()) {
      batch.dropped.push_back(id);
      write(scheduler, id.value, {});
      write(scheduler, specKey(id), {});
      continue;
    }
    if (scheduler.fresh.erase(id)) write(scheduler, specKey(id), packSpec(*found->second.spec));
    write(scheduler, id.value, packJob(found->second));
    batch.jobs.push_back(std::make_shared<const Job>(found->second));
  }
  scheduler.dirty.clear();
  batch.answers = std::move(scheduler.waiting);
  scheduler.waiting.clear();
  scheduler.batches[scheduler.seq] = std::move(batch);
  for (auto& [id, voter] : scheduler.voters) sendVoter(scheduler, voter, now, out);
}

}  // namespace

void lead(SchedulerState& scheduler, Now now, Outbox& out) {
  refreshVoters(scheduler);
  const Millis againMs = bounds(scheduler).heartbeatMs();
  for (auto& [id, voter] : scheduler.voters) {
    if (!voter.promised) {
      if (now.steadyMs - voter.sentMs >= againMs) {
        voter.sentMs = now.steadyMs;
        out.send(voter.peerAddress,
                 JobLogPrepare{scheduler.client.membership.version, scheduler.term, hintOf(scheduler)});
      }
      continue;
    }
    if (voter.inflight && now.steadyMs - voter.sentMs >= againMs) {
      voter.sentMs = now.steadyMs;
      voter.inflight->sentMs = now.steadyMs;
      voter.inflight->membership = scheduler.client.membership.version;
      out.send(voter.peerAddress, *voter.inflight);
    }
    if (now.steadyMs - voter.heartbeatMs >= againMs / 2) {
      voter.heartbeatMs = now.steadyMs;
      JobLogAccept heartbeat;
      heartbeat.membership = scheduler.client.membership.version;
      heartbeat.term = scheduler.term;
      heartbeat.number = ++scheduler.acceptNumber;
      heartbeat.sentMs = now.steadyMs;
      heartbeat.fleetMs = fleet(scheduler, now);
      heartbeat.hint = hintOf(scheduler);
      out.send(voter.peerAddress, std::move(heartbeat));
    }
    sendVoter(scheduler, voter, now, out);
  }
  if (scheduler.committed > 0 && now.steadyMs >= scheduler.leaseUntilMs)
    return stepDown(scheduler, now, out, "its lease lapsed");
  if (scheduler.committed == 0 && now.steadyMs - scheduler.leadSinceMs > 2 * bounds(scheduler).leaseMs)
    return stepDown(scheduler, now, out, "the first batch found no majority");
  if (!leads(scheduler, now)) return;
  const Millis epochMs = rulesOf(scheduler).epochMs;
  if (now.steadyMs - scheduler.epochMs < epochMs) return out.wakeBy(scheduler.epochMs + epochMs);
  scheduler.epochMs = now.steadyMs;
  if (now.steadyMs - scheduler.houseMs >= bounds(scheduler).heartbeatMs() / 2 || scheduler.planDue) {
    keepHouse(scheduler, now);
    tellLongWaits(scheduler, now, out);
  }
  const bool due = scheduler.planDue || now.steadyMs - scheduler.plannedMs >= bounds(scheduler).heartbeatMs() / 2;
  if (due && now.steadyMs - scheduler.leadSinceMs >= bounds(scheduler).heartbeatMs() * 3 / 2) {
    scheduler.planDue = false;
    scheduler.plannedMs = now.steadyMs;
    runEpoch(scheduler, now);
  }
  if (!scheduler.broken.empty()) {
    out.alarms.push_back("invariant broken: " + scheduler.broken);
    scheduler.broken.clear();
    return stepDown(scheduler, now, out, "an invariant did not hold");
  }
  sealBatch(scheduler, now, out);
}

void follow(SchedulerState& scheduler, Now now) {
  const auto& client = scheduler.client;
  if (client.leaving || !control::sessionLive(client, now) || client.membership.voters.empty()) return;
  if (!client.leader.http.empty() && client.leader.peerAddress != client.settings.peerAddress) {
    scheduler.tryAtMs = 0;
    return;
  }
  if (scheduler.tryAtMs == 0) {
    Millis place = 0;
    const auto isVoter = [&](const Address& peerAddress) {
      const auto host = [](std::string_view text) { return text.substr(0, text.rfind(':')); };
      return std::any_of(client.membership.voters.begin(), client.membership.voters.end(), [&](const Voter& voter) {
        return host(voter.peerAddress.view()) == host(peerAddress.view());
      });
    };
    const auto mine = std::pair(!isVoter(client.settings.peerAddress), client.id);
    for (const auto& member : client.members)
      place += member.role == Role::scheduler && member.ageMs < bounds(scheduler).leaseMs &&
               std::pair(!isVoter(member.peerAddress), member.id) < mine;
    scheduler.tryAtMs = now.steadyMs + place * bounds(scheduler).heartbeatMs() / 2;
  }
  if (now.steadyMs < scheduler.tryAtMs) return;
  scheduler.course = Course::preparing;
  scheduler.highestSeen = std::max(scheduler.highestSeen, client.leader.term.number);
  scheduler.term = Ballot{++scheduler.highestSeen, client.id.value + "/" + client.incarnation};
  scheduler.promises.clear();
  scheduler.prepareStartMs = now.steadyMs;
  scheduler.prepareSentMs = -1000000;
}

void prepare(SchedulerState& scheduler, Now now, Outbox& out) {
  if (now.steadyMs - scheduler.prepareStartMs > bounds(scheduler).leaseMs ||
      !control::sessionLive(scheduler.client, now)) {
    reset(scheduler, now, out);
    return;
  }
  if (now.steadyMs - scheduler.prepareSentMs < bounds(scheduler).heartbeatMs() / 2) return;
  scheduler.prepareSentMs = now.steadyMs;
  for (const auto& voter : scheduler.client.membership.voters)
    if (!scheduler.promises.contains(voter.id))
      out.send(voter.peerAddress,
               JobLogPrepare{scheduler.client.membership.version, scheduler.term, hintOf(scheduler)});
}

SchedulerState makeScheduler(const Settings& settings, const DaemonId& id, std::string incarnation) {
  SchedulerState scheduler;
  scheduler.client = control::makeControlClient(settings, id, std::move(incarnation));
  if (settings.firstThresholdMs > 0) {
    config::Admission rules;
    rules.lanes = 3;
    rules.thresholdsMs = {settings.firstThresholdMs, 4 * settings.firstThresholdMs};
    rules.epochMs = std::max<Millis>(10, settings.bounds.leaseMs / 40);
    rules.gangStartMs = settings.bounds.gangWaitMs * 2 / 3;
    rules.reserveAfterMs = 2 * settings.bounds.leaseMs;
    rules.rankFirst = true;
    rules.mostLoss = 0.1;
    scheduler.usual = std::move(rules);
  }
  return scheduler;
}

bool leads(const SchedulerState& scheduler, Now now) {
  return scheduler.course == Course::leading && scheduler.committed > 0 && now.steadyMs < scheduler.leaseUntilMs &&
         control::sessionLive(scheduler.client, now);
}

void schedulerHeard(SchedulerState& scheduler, const Heard& heard, Now now, Outbox& out) {
  const auto fleetMs = scheduler.client.fleetMs, fleetAtMs = scheduler.client.fleetAtMs;
  if (control::clientHeard(scheduler.client, heard, now, out)) {
    if (scheduler.course == Course::leading)
      std::tie(scheduler.client.fleetMs, scheduler.client.fleetAtMs) = std::tie(fleetMs, fleetAtMs);
    return;
  }
  if (scheduler.course == Course::leading && scheduler.committed > 0 && now.steadyMs >= scheduler.leaseUntilMs)
    return stepDown(scheduler, now, out, "its lease lapsed");
  if (const auto* promise = std::get_if<JobLogPromise>(&heard.message))
    onPromise(scheduler, heard, *promise, now, out);
  else if (const auto* accepted = std::get_if<JobLogAccepted>(&heard.message))
    onAccepted(scheduler, heard, *accepted, now, out);
  else if (const auto* report = std::get_if<AgentReport>(&heard.message))
    onReport(scheduler, heard, *report, now, out);
  else if (const auto* ask = std::get_if<CallAsk>(&heard.message))
    onCallAsk(scheduler, heard, *ask, now, out);
  else if (const auto* answer = std::get_if<CallAnswer>(&heard.message))
    onCallAnswer(scheduler, *answer, out);
}

void schedulerTick(SchedulerState& scheduler, Now now, Outbox& out) {
  if (scheduler.course == Course::following) follow(scheduler, now);
  if (scheduler.course == Course::preparing) prepare(scheduler, now, out);
  if (scheduler.course == Course::leading) lead(scheduler, now, out);
  tickCalls(scheduler, now, out);
  const bool known = !scheduler.client.leader.http.empty() || leads(scheduler, now);
  scheduler.client.ready = control::sessionLive(scheduler.client, now) && known && !scheduler.client.leaving;
}

void schedulerResign(SchedulerState& scheduler, Now now, Outbox& out) {
  scheduler.client.leaving = true;
  if (scheduler.course == Course::leading) {
    for (const auto& [id, voter] : scheduler.voters) out.send(voter.peerAddress, Resign{scheduler.term});
    stepDown(scheduler, now, out, "a polite stop");
  }
}

}  // namespace tulip::scheduler
