// Replication: batches of changes and heartbeats to the voters, and what their acknowledgements commit.
#include <algorithm>

#include "scheduler/leadership.hpp"

namespace tulip::scheduler {

using namespace transport;

namespace {

/// Only workers whose orders are other ones now are sent them: the others are told theirs in answer to their reports.
void release(SchedulerState& scheduler, Batch& batch, Now now, Outbox& out) {
  for (const auto& job : batch.jobs) {
    auto& slot = scheduler.committedJobs[job->id];
    const auto before = slot ? holdingsOf(*slot) : std::vector<Holding>{};
    slot = job;
    updateHoldings(scheduler.committedHeld, *job, before, holdingsOf(*job),
                   [&](const WorkerId& worker) { scheduler.ordersDue.insert(worker); });
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
    if (batch.sealedMs >= 0) scheduler.batchTimes.note(now.steadyMs - batch.sealedMs, bounds(scheduler).leaseMs);
    release(scheduler, batch, now, out);
  }
}

}  // namespace

LeaderHint hintOf(const SchedulerState& scheduler) {
  return {scheduler.term, scheduler.client.settings.peerAddress, scheduler.client.settings.http};
}

EntryVersion versionNow(const SchedulerState& scheduler) { return {scheduler.term, scheduler.seq}; }

void write(SchedulerState& scheduler, const std::string& key, std::string value) {
  if (value.empty()) scheduler.tombs.emplace_back(scheduler.seq, key);
  scheduler.current[key] = Entry{key, versionNow(scheduler), std::move(value)};
  for (auto& [id, voter] : scheduler.voters) voter.owed.insert(key);
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

namespace {

// An accept without entries: all that a heartbeat is.
JobLogAccept makeAccept(SchedulerState& scheduler, Now now) {
  JobLogAccept accept;
  accept.membership = scheduler.client.membership.version;
  accept.term = scheduler.term;
  accept.number = ++scheduler.acceptNumber;
  accept.sentMs = now.steadyMs;
  accept.fleetMs = fleet(scheduler, now);
  accept.hint = hintOf(scheduler);
  return accept;
}

void askForPromise(const SchedulerState& scheduler, VoterRow& voter, Now now, Outbox& out) {
  if (now.steadyMs - voter.sentMs < promisePauseMs(scheduler)) return;
  voter.sentMs = now.steadyMs;
  JobLogPrepare ask{scheduler.client.membership.version, scheduler.term, hintOf(scheduler)};
  ask.versionsOnly = true;  // what the voter is owed follows from its versions
  out.send(voter.peerAddress, ask);
}

std::size_t bytesOf(const JobLogAccept& accept) {
  std::size_t bytes = 0;
  for (const auto& entry : accept.entries) bytes += entry.key.size() + entry.value.size();
  return bytes;
}

// A large batch that is sent again before it can have arrived fills the link.
Millis resendPauseMs(const SchedulerState& scheduler, const JobLogAccept& accept) {
  constexpr std::size_t kLargeBatchBytes = 64u << 10;
  return bytesOf(accept) < kLargeBatchBytes ? bounds(scheduler).heartbeatMs() : bounds(scheduler).leaseMs / 2;
}

void resend(const SchedulerState& scheduler, VoterRow& voter, Now now, Outbox& out) {
  const Millis sentAgoMs = now.steadyMs - voter.sentMs;
  if (!voter.inflight || sentAgoMs < bounds(scheduler).heartbeatMs()) return;
  if (sentAgoMs < resendPauseMs(scheduler, *voter.inflight)) return;
  voter.sentMs = now.steadyMs;
  voter.inflight->sentMs = now.steadyMs;
  voter.inflight->membership = scheduler.client.membership.version;
  out.send(voter.peerAddress, *voter.inflight);
}

void sendHeartbeat(SchedulerState& scheduler, VoterRow& voter, Now now, Outbox& out) {
  if (now.steadyMs - voter.heartbeatMs < bounds(scheduler).heartbeatMs() / 2) return;
  voter.heartbeatMs = now.steadyMs;
  out.send(voter.peerAddress, makeAccept(scheduler, now));
}

}  // namespace

void replicate(SchedulerState& scheduler, Now now, Outbox& out) {
  refreshVoters(scheduler);
  for (auto& [id, voter] : scheduler.voters) {
    if (!voter.promised) {
      askForPromise(scheduler, voter, now, out);
      continue;
    }
    resend(scheduler, voter, now, out);
    sendHeartbeat(scheduler, voter, now, out);
    sendVoter(scheduler, voter, now, out);
  }
}

void sendVoter(SchedulerState& scheduler, VoterRow& voter, Now now, Outbox& out) {
  if (!voter.promised || voter.inflight) return;
  if (voter.sentSeq >= scheduler.seq && voter.owed.empty()) return;
  auto accept = makeAccept(scheduler, now);
  accept.seq = scheduler.seq;
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

void onVoterAhead(SchedulerState& scheduler, VoterRow& voter, Now now, Outbox& out) {
  if (voter.aheadSinceMs < 0) voter.aheadSinceMs = now.steadyMs;
  const auto ahead = std::count_if(scheduler.voters.begin(), scheduler.voters.end(), [](const auto& row) {
    return !row.second.promised && row.second.aheadSinceMs >= 0;
  });
  if (scheduler.voters.size() - static_cast<std::size_t>(ahead) < control::majority(scheduler.voters.size()))
    return stepDown(scheduler, now, out, "no majority keeps to its term");
  if (now.steadyMs - voter.aheadSinceMs < 2 * bounds(scheduler).leaseMs) return;
  for (const auto& [id, row] : scheduler.voters) out.send(row.peerAddress, Resign{scheduler.term});
  stepDown(scheduler, now, out, "a replica has promised a newer term that nobody leads");
}

void onAccepted(SchedulerState& scheduler, const Heard& heard, const JobLogAccepted& reply, Now now, Outbox& out) {
  scheduler.highestSeen = std::max(scheduler.highestSeen, reply.promised.number);
  if (scheduler.course != Course::leading || reply.term != scheduler.term) return;
  auto found = scheduler.voters.find(heard.fromId);
  if (found == scheduler.voters.end()) return;
  auto& voter = found->second;
  // An answer that waited for the disk tells an old time.
  if (now.steadyMs - reply.sentMs <= bounds(scheduler).heartbeatMs())
    noteClock(scheduler.clocks, heard.from, reply.wallMs, now.steadyMs);
  if (!reply.ok) {
    if (reply.promised == scheduler.term) return;
    voter.promised = false;
    voter.inflight.reset();
    if (scheduler.term < reply.promised) onVoterAhead(scheduler, voter, now, out);
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

/// What is wrong with the jobs that the next batch writes; empty if nothing is.
std::string checkDirtyJobs(const SchedulerState& scheduler) {
  for (const auto& id : scheduler.dirty) {
    const auto found = scheduler.jobs.find(id);
    if (found == scheduler.jobs.end()) continue;
    if (const auto fault = checkJob(found->second); !fault.empty()) return id.value + ": " + fault;
  }
  return {};
}

}  // namespace

void sealBatch(SchedulerState& scheduler, Now now, Outbox& out) {
  const bool timeDue = !scheduler.open.empty() && now.steadyMs - scheduler.fencedMs >= bounds(scheduler).leaseMs;
  if (scheduler.dirty.empty() && scheduler.waiting.empty() && !timeDue) return;
  constexpr std::size_t kMostOpenBatches = 2;
  if (scheduler.batches.size() >= kMostOpenBatches) return;
  if (scheduler.broken.empty()) scheduler.broken = checkDirtyJobs(scheduler);
  if (!scheduler.broken.empty()) return;
  scheduler.fencedMs = now.steadyMs;
  ++scheduler.seq;
  ++scheduler.counts.batches;
  Batch batch;
  batch.sealedMs = now.steadyMs;
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

}  // namespace tulip::scheduler
