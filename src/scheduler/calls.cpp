#include <algorithm>

#include "http/call_policy.hpp"
#include "scheduler/due_times.hpp"
#include "scheduler/internal.hpp"
#include "scheduler/job_memory.hpp"

namespace tulip::scheduler {

using namespace transport;

void tell(const SchedulerState& scheduler, const Caller& caller, Kind kind, const Job* job, Outbox& out,
          std::string_view detail) {
  if (caller.alsoElsewhere) kind = http::kindAfterRepeat(*caller.alsoElsewhere, kind);
  const auto retryMs = static_cast<Millis>(rowOf(kind).retryLeases * static_cast<double>(bounds(scheduler).leaseMs));
  if (!caller.remote.empty()) {
    CallAnswer answer;
    answer.requestId = caller.requestId;
    answer.id = caller.callId;
    answer.kind = static_cast<std::int64_t>(kind);
    answer.phase = static_cast<std::uint8_t>(job ? phaseOf(*job) : JobPhase::none);
    answer.retryMs = retryMs;
    return out.send(caller.remote, answer);
  }
  if (caller.brief) {
    CallResult brief;
    if (job) brief.phase = phaseOf(*job);
    return out.tell(caller.requestId, kind, std::move(brief), retryMs);
  }
  if (kind != Kind::ok || !job) return control::answerKind(out, caller.requestId, kind, bounds(scheduler), detail);
  Json view(viewJob(*job, false));
  out.answer(caller.requestId, detail == "new" ? 201 : 200, dumpJson(view.get()));
}

void submitJob(SchedulerState& scheduler, std::uint64_t requestId, std::string_view body, Now now, Outbox& out) {
  Spec spec;
  const auto verdict = readSpec(body, *scheduler.client.config, spec);
  const bool resent = !spec.id.empty() && scheduler.jobs.contains(spec.id);
  if (verdict.kind != Kind::ok && !(resent && (verdict.kind == Kind::noSuchQueue || verdict.kind == Kind::neverFits))) {
    ++scheduler.counts.rejected;
    return out.reject(requestId, verdict.kind, config::faultsJson(verdict.kind, {{verdict.field, verdict.allowed}}));
  }
  submitSpec(scheduler, {requestId, false, {}}, std::move(spec), now, out);
}

void submitSpec(SchedulerState& scheduler, const Caller& caller, Spec spec, Now now, Outbox& out) {
  const auto& config = *scheduler.client.config;
  if (auto known = scheduler.jobs.find(spec.id); known != scheduler.jobs.end()) {
    if (spec.digest != known->second.spec->digest)
      return tell(scheduler, caller, Kind::idTaken, nullptr, out, spec.id.view());
    scheduler.waiting.push_back({caller, spec.id, HeldAnswer::submitted, now.steadyMs});
    scheduler.planDue = true;
    return;
  }
  const auto found = config.queues.find(spec.pending.value);
  if (found == config.queues.end()) {
    ++scheduler.counts.rejected;
    return tell(scheduler, caller, Kind::noSuchQueue, nullptr, out, spec.pending.view());
  }
  const auto& line = found->second;
  const auto most = config.http.mostOpenJobs;
  const auto open = static_cast<std::int64_t>(scheduler.open.size());
  const auto share = std::max<std::int64_t>(1, most / 2 / static_cast<std::int64_t>(config.queues.size()));
  const auto mine = scheduler.openPer[spec.pending];
  const bool full = mine >= line.mostJobs || open >= most || (mine >= share && open >= most - most / 2);
  if (full || !bears(scheduler, spec)) {
    ++scheduler.counts.rejected;
    return tell(scheduler, caller, Kind::overloaded, nullptr, out, spec.pending.view());
  }
  ++scheduler.counts.submitted;
  spec.line = line;
  spec.pool = line.pool;
  acceptDueTimes(scheduler, spec, now);
  auto job = makeJob(std::make_shared<const Spec>(std::move(spec)));
  job.acceptedMs = job.accountedMs = fleet(scheduler, now);
  setFirstDue(scheduler, job, now);
  const auto id = job.id;
  scheduler.open.insert(id);
  ++scheduler.openPer[job.pending()];
  scheduler.openJobBytes += acceptedBytes(*job.spec);
  scheduler.jobs.emplace(id, std::move(job));
  scheduler.dirty.insert(id);
  scheduler.fresh.insert(id);
  scheduler.planDue = true;
  scheduler.waiting.push_back({caller, id, HeldAnswer::submitted, now.steadyMs});
}

void cancelJob(SchedulerState& scheduler, const Caller& caller, const JobId& id, Now now, Outbox& out) {
  auto found = scheduler.jobs.find(id);
  if (found == scheduler.jobs.end()) return tell(scheduler, caller, Kind::noSuchJob, nullptr, out, id.view());
  const auto& job = found->second;
  const bool cancelled = job.state == JobState::cancelled || job.ending == JobState::cancelled;
  if (!cancelled && (job.state != JobState::open || job.ending != JobState::open))
    return tell(scheduler, caller, Kind::jobEnded, nullptr, out,
                stateName(job.state != JobState::open ? job.state : job.ending));
  if (!cancelled)
    change(scheduler, id, [&](Job& each) {
      endJob(each, JobState::cancelled, "cancelled by its caller", fleet(scheduler, now));
      closeIfOver(each, fleet(scheduler, now));
    });
  scheduler.waiting.push_back({caller, id, HeldAnswer::cancelled, now.steadyMs});
}

void getJob(const SchedulerState& scheduler, const Caller& caller, const JobId& id, Outbox& out) {
  auto found = scheduler.committedJobs.find(id);
  tell(scheduler, caller, found == scheduler.committedJobs.end() ? Kind::noSuchJob : Kind::ok,
       found == scheduler.committedJobs.end() ? nullptr : found->second.get(), out,
       found == scheduler.committedJobs.end() ? id.view() : std::string_view());
}

void countPending(const SchedulerState& scheduler, const Caller& caller, const QueueName& line, Outbox& out) {
  const auto count = std::ranges::count_if(scheduler.open, [&](const JobId& id) {
    const auto& job = scheduler.jobs.at(id);
    return job.pending() == line && !hasBegun(job);
  });
  if (!caller.remote.empty()) {
    CallAnswer answer;
    answer.requestId = caller.requestId;
    answer.id = caller.callId;
    answer.count = count;
    return out.send(caller.remote, answer);
  }
  if (!caller.brief) return out.answer(caller.requestId, 200, "{\"pending\":" + std::to_string(count) + "}");
  CallResult brief;
  brief.count = count;
  out.tell(caller.requestId, Kind::ok, std::move(brief));
}

namespace {

void serve(SchedulerState& scheduler, const Caller& caller, const CallAsk& ask, Now now, Outbox& out) {
  switch (ask.call) {
    case CallKind::submit: {
      Spec spec;
      if (!unpackSpec(ask.spec, spec)) return tell(scheduler, caller, Kind::malformed, nullptr, out);
      return submitSpec(scheduler, caller, std::move(spec), now, out);
    }
    case CallKind::getJob:
      return getJob(scheduler, caller, ask.job, out);
    case CallKind::cancelJob:
      return cancelJob(scheduler, caller, ask.job, now, out);
    case CallKind::countPending:
      return countPending(scheduler, caller, ask.pending, out);
  }
}

/// Whether an answer is to this call of this life. A leader of before the field of ids sends none; numbers begin at
/// random in each life, so that the number alone tells then.
bool answers(const CallAnswer& answer, const CallAsk& ask) { return answer.id == ask.id || answer.id == CallId{}; }

http::Loss lossOf(const Forward& forward, const Address& leader) {
  return forward.sentTo == leader ? http::Loss::silence : http::Loss::leaderMoved;
}

/// Sends a call to the leader: at once when it has not left yet, again when its row of the table says so.
void sendForward(SchedulerState& scheduler, Forward& forward, Now now, Outbox& out) {
  const auto& leader = scheduler.client.leader.peerAddress;
  if (leader.empty() || leader == scheduler.client.settings.peerAddress) return;
  const bool due = forward.sentTo != leader || now.steadyMs - forward.sentMs >= bounds(scheduler).heartbeatMs();
  if (!due) return;
  if (forward.sent && !http::mayRepeat(http::classOf(forward.ask.call), lossOf(forward, leader))) return;
  if (!forward.sent) forward.firstSentMs = now.steadyMs;
  forward.repeated = forward.sent;
  forward.sent = true;
  forward.sentTo = leader;
  forward.sentMs = now.steadyMs;
  out.send(leader, forward.ask);
}

/// How long this daemon has known of no leader; 0 while it knows one.
Millis leaderlessMs(const SchedulerState& scheduler, Now now) {
  return scheduler.leaderlessSinceMs < 0 ? 0 : now.steadyMs - scheduler.leaderlessSinceMs;
}

/// What a forwarded call is told when it is given up; empty while an answer may still come within its bounds.
std::optional<Kind> givenUp(const SchedulerState& scheduler, const Forward& forward, Now now) {
  const auto call = http::classOf(forward.ask.call);
  const auto leaseMs = bounds(scheduler).leaseMs;
  if (now.steadyMs >= forward.deadlineMs) return http::kindWithoutAnswer(call, forward.sent);
  const bool silent = forward.sent && now.steadyMs - forward.firstSentMs >= leaseMs;
  const auto unsentMs = std::max(now.steadyMs - forward.sinceMs, leaderlessMs(scheduler, now));
  const bool nobody = !forward.sent && unsentMs >= leaseMs / 2;
  if (silent || nobody) return http::kindOfGivenUp(call, forward.sent);
  return {};
}

/// A daemon that doesn't lead refused the only copy of the call: it has not been carried out, and may leave anew.
void forgetDeparture(Forward& forward) { forward.sent = false; }

/// Tells those callers that their outcome is unknown whose entries have found no majority within a lease.
void giveUpWaiting(const SchedulerState& scheduler, std::vector<Waiting>& waiting, Now now, Outbox& out) {
  std::erase_if(waiting, [&](const Waiting& each) {
    if (now.steadyMs - each.sinceMs < bounds(scheduler).leaseMs) return false;
    tell(scheduler, each.caller, Kind::unknownOutcome, nullptr, out);
    return true;
  });
}

void noteLeaderless(SchedulerState& scheduler, Now now) {
  const bool known = !scheduler.client.leader.http.empty() || leads(scheduler, now);
  if (known)
    scheduler.leaderlessSinceMs = -1;
  else if (scheduler.leaderlessSinceMs < 0)
    scheduler.leaderlessSinceMs = now.steadyMs;
}

}  // namespace

void onCallAsk(SchedulerState& scheduler, const Heard& heard, const CallAsk& ask, Now now, Outbox& out) {
  const Caller caller{ask.requestId, true, heard.from, ask.id};
  if (!leads(scheduler, now)) return tell(scheduler, caller, Kind::noLeader, nullptr, out);
  if (scheduler.client.configVersion < ask.configVersion) return;
  serve(scheduler, caller, ask, now, out);
}

void onCallAnswer(SchedulerState& scheduler, const CallAnswer& answer, Outbox& out) {
  auto found = scheduler.forwards.find(answer.requestId);
  if (found == scheduler.forwards.end() || !answers(answer, found->second.ask)) return;
  auto kind = static_cast<Kind>(answer.kind);
  if (kind == Kind::noLeader) {
    if (!found->second.repeated) forgetDeparture(found->second);
    return;
  }
  if (found->second.repeated) kind = http::kindAfterRepeat(http::classOf(found->second.ask.call), kind);
  CallResult brief;
  brief.phase = static_cast<JobPhase>(answer.phase);
  brief.count = answer.count;
  out.tell(answer.requestId, kind, std::move(brief), answer.retryMs);
  scheduler.forwards.erase(found);
}

void callLeader(SchedulerState& scheduler, CallAsk ask, Millis deadlineMs, Now now, Outbox& out) {
  if (leads(scheduler, now)) return serve(scheduler, {ask.requestId, true, {}}, ask, now, out);
  constexpr std::size_t kMostForwards = 1024;
  if (scheduler.forwards.size() >= kMostForwards || scheduler.client.leaving)
    return tell(scheduler, {ask.requestId, true, {}}, Kind::overloaded, nullptr, out);
  ++scheduler.counts.forwarded;
  Forward forward;
  ask.configVersion = scheduler.client.configVersion;
  ask.id = {incarnationOf(scheduler.client.incarnation), ask.requestId};
  forward.sinceMs = now.steadyMs;
  forward.deadlineMs = now.steadyMs + deadlineMs;
  const auto requestId = ask.requestId;
  forward.ask = std::move(ask);
  scheduler.forwards[requestId] = std::move(forward);
  tickForwards(scheduler, now, out);
}

void tickForwards(SchedulerState& scheduler, Now now, Outbox& out) {
  for (auto at = scheduler.forwards.begin(); at != scheduler.forwards.end();) {
    auto& forward = at->second;
    const auto call = http::classOf(forward.ask.call);
    Caller caller{at->first, true, {}};
    if (leads(scheduler, now)) {
      if (forward.sent) caller.alsoElsewhere = call;
      const auto ask = std::move(forward.ask);
      at = scheduler.forwards.erase(at);
      serve(scheduler, caller, ask, now, out);
      continue;
    }
    if (const auto kind = givenUp(scheduler, forward, now)) {
      tell(scheduler, caller, *kind, nullptr, out);
      at = scheduler.forwards.erase(at);
      continue;
    }
    sendForward(scheduler, forward, now, out);
    ++at;
  }
}

void tickCalls(SchedulerState& scheduler, Now now, Outbox& out) {
  noteLeaderless(scheduler, now);
  giveUpWaiting(scheduler, scheduler.waiting, now, out);
  for (auto& [seq, batch] : scheduler.batches) giveUpWaiting(scheduler, batch.answers, now, out);
  tickForwards(scheduler, now, out);
}

void listJobs(const SchedulerState& scheduler, std::uint64_t requestId, const std::map<std::string, std::string>& query,
              Outbox& out) {
  std::size_t most = 100;
  std::string after, state, line;
  for (const auto& [key, value] : query) {
    if (key == "limit") {
      const auto asked = std::atol(value.c_str());
      if (asked < 1 || asked > 1000)
        return out.answer(requestId, 422, config::faultsJson(Kind::badValue, {{"limit", "1 to 1000"}}));
      most = static_cast<std::size_t>(asked);
    } else if (key == "after")
      after = value;
    else if (key == "state")
      state = value;
    else if (key == "pending")
      line = value;
    else
      return out.answer(requestId, 422,
                        config::faultsJson(Kind::unknownField, {{key, "limit, after, state, pending"}}));
  }
  std::vector<const Job*> wanted;
  for (const auto& [id, job] : scheduler.committedJobs) {
    if (id.value <= after || (!line.empty() && job->pending().value != line)) continue;
    if (state.empty() || stateName(job->state) == state) wanted.push_back(job.get());
  }
  const auto shown = std::min(most, wanted.size());
  std::partial_sort(wanted.begin(), wanted.begin() + static_cast<std::ptrdiff_t>(shown), wanted.end(),
                    [](const Job* one, const Job* other) { return one->id < other->id; });
  Json root(json_object());
  json_t* list = json_array();
  for (std::size_t i = 0; i < shown; ++i) json_array_append_new(list, viewJob(*wanted[i], true));
  const std::string next = shown < wanted.size() ? wanted[shown - 1]->id.value : std::string();
  json_object_set_new(root.get(), "jobs", list);
  if (!next.empty()) json_object_set_new(root.get(), "after", jsonText(next));
  out.answer(requestId, 200, dumpJson(root.get()));
}

void traceJobs(const SchedulerState& scheduler, std::uint64_t requestId, Outbox& out) {
  std::vector<const Job*> all;
  for (const auto& [id, job] : scheduler.committedJobs)
    if (job->state == JobState::finished) all.push_back(job.get());
  std::sort(all.begin(), all.end(),
            [](const Job* a, const Job* b) { return std::tie(a->acceptedMs, a->id) < std::tie(b->acceptedMs, b->id); });
  std::string text;
  for (const auto* job : all) text += traceLine(*job) + "\n";
  out.answer(requestId, 200, std::move(text));
}

json_t* workersView(const SchedulerState& scheduler, Now now) {
  json_t* list = json_array();
  for (const auto& [id, row] : scheduler.workers) {
    json_t* item = json_object();
    std::int64_t used = 0, runs = 0;
    if (auto held = scheduler.committedHeld.find(id); held != scheduler.committedHeld.end())
      for (const auto& [run, where] : held->second) {
        used += scheduler.committedJobs.at(where.first)->stepOf(where.second).need.slots;
        ++runs;
      }
    json_object_set_new(item, "worker", jsonText(id.view()));
    json_object_set_new(item, "cell", jsonText(row.last.zone.view()));
    json_object_set_new(item, "pool", jsonText(row.last.pool.view()));
    json_object_set_new(item, "slots", json_integer(row.last.slots));
    json_object_set_new(item, "slotsHeld", json_integer(used));
    json_object_set_new(item, "runs", json_integer(runs));
    json_object_set_new(item, "leaving", json_boolean(row.last.leaving));
    json_object_set_new(item, "usable", json_boolean(usableWorker(scheduler, row, now)));
    json_object_set_new(item, "shunned", json_boolean(now.steadyMs < row.standing.shunnedUntilMs));
    json_object_set_new(item, "clean", json_integer(row.standing.clean));
    json_object_set_new(item, "failed", json_integer(row.standing.failed));
    json_object_set_new(item, "pace", json_real(row.standing.pace));
    json_object_set_new(item, "heardAgoMs", json_integer(now.steadyMs - row.heardMs));
    json_array_append_new(list, item);
  }
  return list;
}

void listWorkers(const SchedulerState& scheduler, std::uint64_t requestId, Now now, Outbox& out) {
  Json root(json_object());
  json_object_set_new(root.get(), "workers", workersView(scheduler, now));
  out.answer(requestId, 200, dumpJson(root.get()));
}

void snapshotJobs(const SchedulerState& scheduler, std::uint64_t requestId, Json members, Now now, Outbox& out) {
  constexpr std::size_t kMostJobs = 5000;
  std::vector<const Job*> chosen;
  for (const auto& id : scheduler.open)
    if (auto found = scheduler.committedJobs.find(id);
        found != scheduler.committedJobs.end() && chosen.size() < kMostJobs)
      chosen.push_back(found->second.get());
  for (auto at = scheduler.ended.rbegin(); at != scheduler.ended.rend() && chosen.size() < kMostJobs; ++at)
    if (auto found = scheduler.committedJobs.find(at->second); found != scheduler.committedJobs.end())
      chosen.push_back(found->second.get());
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
  json_object_set_new(members.get(), "workers", workersView(scheduler, now));
  json_object_set_new(members.get(), "complete", json_boolean(chosen.size() == scheduler.committedJobs.size()));
  if (Json config = parseJson(scheduler.client.configText))
    json_object_set_new(members.get(), "configuration", config.release());
  out.answer(requestId, 200, dumpJson(members.get()));
}

std::string countersJson(const SchedulerState& scheduler) {
  Json root(json_object());
  const auto& c = scheduler.counts;
  const std::pair<const char*, std::uint64_t> rows[] = {{"takeovers", c.takeovers},
                                                        {"epochs", c.epochs},
                                                        {"batches", c.batches},
                                                        {"starts", c.starts},
                                                        {"stops", c.stops},
                                                        {"preempted", c.preempted},
                                                        {"lostRuns", c.lost},
                                                        {"failedRuns", c.failures},
                                                        {"cleanRuns", c.cleans},
                                                        {"submitted", c.submitted},
                                                        {"denied", c.rejected},
                                                        {"passedOver", c.passedOver},
                                                        {"reservations", c.reservations},
                                                        {"vainReservations", c.vainReservations},
                                                        {"reports", c.reports},
                                                        {"shuns", c.shuns},
                                                        {"rewritten", c.rewritten},
                                                        {"steppedDown", c.steppedDown},
                                                        {"outbid", c.outbid},
                                                        {"gangRetries", c.gangRetries},
                                                        {"lateEnds", c.lateEnds},
                                                        {"stalls", c.stalls},
                                                        {"forwarded", c.forwarded},
                                                        {"promotions", c.promotions},
                                                        {"dropped", c.dropped},
                                                        {"openJobs", scheduler.open.size()},
                                                        {"openJobBytes", scheduler.openJobBytes},
                                                        {"knownJobs", scheduler.committedJobs.size()}};
  for (const auto& [name, value] : rows)
    json_object_set_new(root.get(), name, json_integer(static_cast<json_int_t>(value)));
  return dumpJson(root.get());
}

}  // namespace tulip::scheduler
