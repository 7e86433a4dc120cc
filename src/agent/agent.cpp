#include "agent/agent.hpp"

#include <algorithm>

#include "agent/worker_json.hpp"
#include "config/pools.hpp"

namespace tulip::agent {

using namespace transport;

namespace {

constexpr std::size_t kMostEarlierLives = 8;  // of the worker that are remembered
// Of one answer. A worker takes 4 MiB; its list of stops, as long as the worker's own list of runs, is beside them.
constexpr std::size_t kMostStartBytes = 2u << 20;

const Bounds& bounds(const AgentState& agent) { return agent.client.settings.bounds; }

bool isNumbered(const AgentState& agent) { return !agent.client.settings.adapter.empty(); }

bool drained(const AgentState& agent) {
  const auto& config = *agent.client.config;
  auto zone = config.emptied.find(agent.client.settings.zone.value);
  auto drain = config.drained.find(agent.worker.value);
  return agent.leaving || agent.client.leaving || (zone != config.emptied.end() && zone->second) ||
         (drain != config.drained.end() && drain->second);
}

/// Whether what the worker's last report doesn't list isn't there. Before its present life is known, and while some of
/// its ends wait for their place in a report, a run that isn't listed may be at work or may have ended.
bool absentMeansGone(const AgentState& agent) { return agent.proven && agent.knowsAllEnds; }

bool mayStart(const AgentState& agent, Now now) {
  return control::sessionLive(agent.client, now) && agent.client.configVersion >= agent.orderedVersion &&
         !drained(agent) && absentMeansGone(agent) && now.steadyMs - agent.acknowledgedMs <= bounds(agent).freshMs();
}

Millis goOnMs(const AgentState& agent, Now now) {
  return std::max<Millis>(0, agent.acknowledgedMs + bounds(agent).workerLeaseMs - now.steadyMs);
}

void end(AgentState& agent, AgentAttempt& run, AttemptOutcome outcome, std::string detail) {
  run.state = AttemptState::ended;
  run.spec.reset();
  run.outcome = outcome;
  run.detail = std::move(detail);
  agent.reportDue = true;
}

bool anythingNew(const AgentState& agent, Now now) {
  const bool may = mayStart(agent, now);
  return std::any_of(agent.runs.begin(), agent.runs.end(), [&](const auto& row) {
    const auto& run = row.second;
    if (run.state == AttemptState::ordered && run.handedReport == 0 && may) return true;
    return run.state == AttemptState::stopping && run.stopReport == 0;
  });
}

bool released(const AgentState& agent, const AgentAttempt& run) {
  return run.state == AttemptState::ended && run.listed && !run.wanted && agent.ordersSeq > 0;
}

void sendAnswer(std::uint64_t requestId, bool brief, WorkerAnswer answer, Outbox& out) {
  if (!brief) return out.answer(requestId, 200, answerJson(answer));
  CallResult result;
  result.worker = std::move(answer);
  out.tell(requestId, Kind::ok, std::move(result));
}

/// What a start takes of an answer, as JSON.
std::size_t startBytes(const AttemptId& id, const AgentAttempt& run) {
  constexpr std::size_t kFrameBytes = 32;  // brackets, commas and the attempt's number
  return kFrameBytes + id.value.size() + jsonTextBytes(*run.spec) + jsonTextBytes(run.saved);
}

/// The starts that were ordered and not handed over, in the order in which the leader named them.
std::vector<std::pair<const AttemptId, AgentAttempt>*> pendingStarts(AgentState& agent) {
  std::vector<std::pair<const AttemptId, AgentAttempt>*> pending;
  for (auto& row : agent.runs)
    if (row.second.state == AttemptState::ordered && row.second.handedReport == 0) pending.push_back(&row);
  std::ranges::stable_sort(pending, {}, [](const auto* row) { return row->second.place; });
  return pending;
}

/// Adds starts to the answer until it is full: the worker takes no answer that is larger. The others wait for the next.
void handOver(AgentState& agent, std::uint64_t report, WorkerAnswer& answer) {
  std::size_t bytes = 0;
  for (auto* row : pendingStarts(agent)) {
    auto& [id, run] = *row;
    bytes += startBytes(id, run);
    if (bytes > kMostStartBytes && !answer.start.empty()) return;
    run.handedReport = report;
    ++agent.counts.handed;
    answer.start.push_back({id, run.spec, run.saved});
  }
}

void answerPoll(AgentState& agent, Now now, Outbox& out) {
  const auto poll = std::move(*agent.poll);
  agent.poll.reset();
  WorkerAnswer answer;
  answer.number = poll.report;
  answer.startWithinMs = bounds(agent).freshMs();
  answer.nextMs = bounds(agent).nextHeartbeatMs();
  answer.fence = agent.term.number;
  if (mayStart(agent, now)) handOver(agent, poll.report, answer);
  for (auto& [id, run] : agent.runs) {
    if (run.state == AttemptState::stopping) {
      run.stopReport = poll.report;
      answer.stop.push_back(id);
    }
    if (!poll.brief && released(agent, run)) answer.acknowledged.push_back(id);
  }
  for (const auto& ended : poll.ended) {
    if (ended.number <= agent.lastSeen) continue;
    auto found = agent.runs.find(ended.run);
    if (ended.number != agent.lastSeen + 1 || (found != agent.runs.end() && !released(agent, found->second)) ||
        agent.ordersSeq == 0)
      break;
    agent.lastSeen = ended.number;
  }
  answer.lastSeen = agent.lastSeen;
  answer.goOnMs = goOnMs(agent, now);
  agent.answeredMs = now.steadyMs;
  agent.workerUntilMs = std::max(agent.workerUntilMs, poll.sinceMs + answer.goOnMs);
  sendAnswer(poll.requestId, poll.brief, std::move(answer), out);
}

/// Keeps an attempt that the agent hears of for the first time.
void takeNew(AgentState& agent, AgentAttempt& run, const WantedAttempt& wanted, SharedText spec, Now now) {
  run.sinceMs = now.steadyMs;
  run.saved = wanted.saved;
  run.workerIncarnation = wanted.workerIncarnation;
  if (!wanted.stop) {
    run.spec = std::move(spec);
    return;
  }
  if (absentMeansGone(agent))
    end(agent, run, AttemptOutcome::lost, "never started");
  else
    run.state = AttemptState::stopping;
}

/// The specs of the attempts that share theirs, by their places among the wanted ones.
absl::flat_hash_map<std::size_t, SharedText> takeSharedSpecs(AgentState& agent, const Orders& orders) {
  absl::flat_hash_map<std::size_t, SharedText> specs;
  for (const auto& shared : orders.sharedSpecs) {
    const auto spec = agent.specs.share(shared.spec);
    for (const auto place : shared.attempts) specs[place] = spec;
  }
  return specs;
}

/// Takes over which attempts the leader wants at the worker. One that is unknown here, and comes without its spec, is
/// not taken.
void takeWanted(AgentState& agent, const Orders& orders, Now now) {
  const auto shared = takeSharedSpecs(agent, orders);
  for (auto& [id, run] : agent.runs) run.wanted = false;
  for (const auto& id : orders.deferred)
    if (const auto known = agent.runs.find(id); known != agent.runs.end()) known->second.wanted = true;
  for (std::size_t place = 0; place < orders.wanted.size(); ++place) {
    const auto& wanted = orders.wanted[place];
    auto found = agent.runs.find(wanted.id);
    if (found == agent.runs.end()) {
      if (!wanted.stop && !wanted.whole) {
        agent.reportDue = true;
        continue;
      }
      const auto spec = shared.find(place);
      found = agent.runs.try_emplace(wanted.id).first;
      takeNew(agent, found->second, wanted, spec == shared.end() ? agent.specs.share(wanted.spec) : spec->second, now);
    }
    found->second.wanted = true;
    found->second.stop = wanted.stop;
    found->second.place = place;
  }
  agent.specs.dropUnused();
}

void onOrders(AgentState& agent, const Orders& orders, Now now, Outbox& out) {
  const auto newest = std::max(agent.term, agent.client.leader.term);
  if (orders.agent != agent.client.id || orders.term < newest || orders.acknowledgedSeq > agent.reportSeq ||
      orders.acknowledgedMs > now.steadyMs || (orders.term == agent.term && orders.seq <= agent.ordersSeq)) {
    ++agent.counts.rejectedOrders;
    return;
  }
  ++agent.counts.orders;
  agent.term = orders.term;
  agent.ordersSeq = orders.seq;
  agent.answeredReport = std::max(agent.answeredReport, orders.acknowledgedSeq);
  agent.orderedVersion = orders.configVersion;
  agent.acknowledgedMs = std::max(agent.acknowledgedMs, orders.acknowledgedMs);
  control::raiseFleet(agent.client, orders.fleetMs, now);
  takeWanted(agent, orders, now);
  for (auto at = agent.runs.begin(); at != agent.runs.end();) {
    auto& run = at->second;
    const bool unhanded = run.state == AttemptState::ordered && run.handedReport == 0;
    if (!run.wanted && (unhanded || (run.state == AttemptState::ended && !run.listed))) {
      at = agent.runs.erase(at);
      continue;
    }
    if (unhanded && agent.proven && run.workerIncarnation != agent.incarnation)
      end(agent, run, AttemptOutcome::lost, "ordered for another life of the worker");
    else if (unhanded && absentMeansGone(agent) && run.stop)
      end(agent, run, AttemptOutcome::stopped, "stopped before its start");
    else if (unhanded && absentMeansGone(agent) && drained(agent)) {
      ++agent.counts.rejectedStarts;
      end(agent, run, AttemptOutcome::lost, "denied: draining");
    } else if ((run.stop || !run.wanted) && run.state != AttemptState::ended)
      run.state = AttemptState::stopping;
    ++at;
  }
  if (agent.poll && anythingNew(agent, now)) answerPoll(agent, now, out);
}

/// Whether the leader has answered in its term. Until then it may not lead yet, and drop what it is told.
bool answeredByLeader(const AgentState& agent) { return agent.term >= agent.client.leader.term; }

/// After which a report that was not answered may be lost.
Millis reportAgainMs(const AgentState& agent) {
  return answeredByLeader(agent) ? bounds(agent).leaseMs / 2 : bounds(agent).heartbeatMs() / 2;
}

/// One report at a time is on its way: a leader that falls behind is told less often, and never of what a later report
/// tells again.
bool mayReport(const AgentState& agent, Now now) {
  return agent.answeredReport >= agent.reportSeq || agent.reportedTo != agent.client.leader.peerAddress ||
         now.steadyMs - agent.reportedMs >= reportAgainMs(agent);
}

/// Whether a report is due with or without news. A new leader starts nothing at a worker that it hasn't heard of.
bool reportOverdue(const AgentState& agent, Now now) {
  const auto usualMs = bounds(agent).reportMs();
  const auto pauseMs = answeredByLeader(agent) ? usualMs : std::min(usualMs, reportAgainMs(agent));
  return now.steadyMs - agent.reportedMs >= pauseMs;
}

void sendReport(AgentState& agent, Now now, Outbox& out) {
  agent.reportedMs = now.steadyMs;
  agent.reportedTo = agent.client.leader.peerAddress;
  agent.reportDue = false;
  if (agent.client.leader.peerAddress.empty() || !control::sessionLive(agent.client, now)) return;
  AgentReport report;
  report.agent = agent.client.id;
  report.zone = agent.client.settings.zone;
  report.worker = agent.worker;
  report.workerIncarnation = agent.incarnation;
  report.workerHeard = agent.proven;
  report.workerAgeMs = agent.heard ? now.steadyMs - agent.workerMs : 0;
  report.pool = agent.pool;
  report.labels = agent.labels;
  report.slots = agent.slots;
  report.capacity = agent.capacity;
  report.leaving = agent.leaving || agent.client.leaving;
  report.acked = agent.client.configVersion;
  report.ordersTerm = agent.term;
  report.ordersSeq = agent.ordersSeq;
  report.seq = ++agent.reportSeq;
  report.sentMs = now.steadyMs;
  report.leavesMs = agent.leavesAtMs < 0 ? -1 : std::max<Millis>(0, agent.leavesAtMs - now.steadyMs);
  report.wallMs = now.wallMs;
  report.takesSharedSpecs = true;
  report.runs.reserve(agent.runs.size());
  for (const auto& [id, run] : agent.runs) {
    const bool seen = run.state == AttemptState::stopping && !run.listed;
    const bool there = run.listed || run.state == AttemptState::ended;
    report.runs.push_back({id, seen ? AttemptState::ordered : run.state, run.outcome, run.detail,
                           there ? run.saved : std::string(), run.percent});
  }
  ++agent.counts.reports;
  out.send(agent.client.leader.peerAddress, std::move(report));
}

/// Ends what was ordered and not handed over, now that nothing may start here.
void endDrainedStarts(AgentState& agent) {
  if (!absentMeansGone(agent) || !drained(agent)) return;
  for (auto& [id, run] : agent.runs) {
    if (run.state != AttemptState::ordered || run.handedReport > 0) continue;
    ++agent.counts.rejectedStarts;
    end(agent, run, AttemptOutcome::lost, "denied: draining");
  }
}

/// The policy of this worker's pool, which isn't known until its present life is.
config::SilencePolicy policyOf(const AgentState& agent) {
  return config::silencePolicy(*agent.client.config, agent.proven ? &agent.pool : nullptr);
}

/// When a run that has not ended is surely over, or was surely never started, if the worker stays silent until then.
Millis surelyOverAtMs(const AgentState& agent, const AgentAttempt& run, const config::SilencePolicy& policy) {
  const Millis sureMs = bounds(agent).sureMs(policy.lostAfterLeases);
  const bool unhanded = run.state == AttemptState::ordered && run.handedReport == 0;
  // Before the worker was known, an earlier life of this agent may have granted it a lease up to this life's start.
  if (unhanded || !agent.proven) return std::max({run.sinceMs, agent.workerMs, agent.workerUntilMs}) + sureMs;
  return std::max(agent.workerUntilMs, agent.answeredMs) + sureMs - bounds(agent).workerLeaseMs;
}

/// Ends the runs of a worker that has been silent for so long that they are over, in whichever state they are.
void endSilentRuns(AgentState& agent, Now now) {
  if (agent.poll) return;
  const auto policy = policyOf(agent);
  if (!policy.selfStop) return;
  for (auto& [id, run] : agent.runs) {
    if (run.state == AttemptState::ended || now.steadyMs <= surelyOverAtMs(agent, run, policy)) continue;
    ++agent.counts.silences;
    end(agent, run, AttemptOutcome::lost, "its worker is silent");
  }
}

/// Whether a message is a late one of a life that another followed. Where the life that is believed to be the present
/// one has fallen silent, the belief may be wrong (an agent that restarted may hear a late message first).
bool fromEarlierLife(const AgentState& agent, std::string_view incarnation, Now now) {
  return std::ranges::find(agent.earlierLives, incarnation) != agent.earlierLives.end() &&
         now.steadyMs - agent.workerMs <= bounds(agent).freshMs();
}

/// Whether a report of a life that is not the present one shows that it is: it follows an answer, and the present one
/// has not reported in between. A single report may be a late one of a life that is over.
bool provesItself(const AgentState& agent, const WorkerReport& report) {
  return agent.claim && agent.claim->incarnation == report.incarnation && report.number > agent.claim->report;
}

/// A life that has not proven itself is asked to report again, and is given nothing to run and no lease.
void answerClaim(AgentState& agent, std::uint64_t requestId, const WorkerReport& report, Outbox& out) {
  agent.claim = LifeClaim{report.incarnation, report.number};
  WorkerAnswer answer;
  answer.number = report.number;
  answer.startWithinMs = bounds(agent).freshMs();
  answer.nextMs = bounds(agent).nextHeartbeatMs();
  answer.fence = agent.term.number;
  sendAnswer(requestId, isNumbered(agent), std::move(answer), out);
}

/// A new life of the worker runs nothing that an earlier one was given.
void beginLife(AgentState& agent, const std::string& incarnation) {
  std::erase(agent.earlierLives, incarnation);
  agent.earlierLives.push_back(agent.incarnation);
  if (agent.earlierLives.size() > kMostEarlierLives) agent.earlierLives.pop_front();
  for (auto& [id, run] : agent.runs)
    if (run.state != AttemptState::ended && (run.state != AttemptState::ordered || run.handedReport))
      end(agent, run, AttemptOutcome::lost, "worker restarted");
}

/// A worker lists its ends from the first one that it has not been told to forget. After this agent's restart that one
/// shows how far the earlier life acknowledged them.
void takeUpAcknowledgement(AgentState& agent, const WorkerReport& report) {
  if (report.incarnation != agent.incarnation) agent.lastSeen = 0;
  if (report.ended.empty()) return;
  const auto first = std::min_element(report.ended.begin(), report.ended.end(),
                                      [](const auto& one, const auto& other) { return one.number < other.number; });
  if (first->number > 0) agent.lastSeen = std::max(agent.lastSeen, first->number - 1);
}

/// What the report says of the worker itself.
void noteWorker(AgentState& agent, const WorkerReport& report, Now now) {
  const bool same = agent.heard && report.incarnation == agent.incarnation;
  const bool leaving = report.leaving || report.incarnation == agent.leavingLife;
  const bool newlyKnown = same ? !agent.proven : agent.proven;
  if (newlyKnown || leaving != agent.leaving) agent.reportDue = true;
  if (!agent.heard) agent.workerUntilMs = std::max(agent.workerUntilMs, now.steadyMs + bounds(agent).workerLeaseMs);
  agent.heard = true;
  agent.proven = agent.proven || same;
  agent.claim.reset();
  agent.knowsAllEnds = !report.moreEnded;
  agent.incarnation = report.incarnation;
  agent.lastReport = report.number;
  agent.workerMs = now.steadyMs;
  agent.leaving = leaving;
  if (report.leavesMs >= 0)
    agent.leavesAtMs = now.steadyMs + report.leavesMs;
  else if (!same || !leaving)
    agent.leavesAtMs = -1;
  agent.pool = report.pool;
  agent.slots = report.slots;
  agent.labels = report.labels;
  agent.capacity = report.capacity;
}

void noteRunning(AgentState& agent, const WorkerReport& report) {
  for (const auto& running : report.running) {
    auto& run = agent.runs[running.run];
    run.listed = true;
    run.percent = running.percent;
    if (run.saved != running.saved) run.saved = running.saved;
    run.spec.reset();
    if (run.state == AttemptState::ordered) {
      run.state = AttemptState::running;
      agent.reportDue = true;
    }
    if (run.state == AttemptState::ended) run.state = AttemptState::stopping;
  }
}

/// Whether the report brought an end that wasn't known.
bool noteEnded(AgentState& agent, const WorkerReport& report) {
  bool news = false;
  for (const auto& ended : report.ended) {
    if (ended.number > 0 && ended.number <= agent.lastSeen) continue;
    auto& run = agent.runs[ended.run];
    run.listed = true;
    run.number = ended.number;
    if (run.state == AttemptState::ended && run.outcome != AttemptOutcome::lost) continue;
    run.saved = ended.saved;
    end(agent, run, ended.outcome, ended.detail);
    news = true;
  }
  return news;
}

/// A run that was handed over and that the worker doesn't list never arrived there, or is gone from it.
void judgeAbsent(AgentState& agent, AgentAttempt& run, const WorkerReport& report, Now now) {
  const bool handed = run.state == AttemptState::ordered && run.handedReport > 0 && run.handedReport < report.number;
  const bool vanished = run.state == AttemptState::running || run.state == AttemptState::stopping;
  if (handed && run.wanted && !run.stop && mayStart(agent, now)) {
    run.handedReport = 0;
    ++agent.counts.rehanded;
  } else if (handed) {
    end(agent, run, AttemptOutcome::lost, "never started");
  } else if (vanished) {
    end(agent, run, run.stop ? AttemptOutcome::stopped : AttemptOutcome::lost, "gone from the worker");
  }
}

/// What the report doesn't list.
void noteAbsent(AgentState& agent, const WorkerReport& report, Now now) {
  for (auto& [id, run] : agent.runs)
    if (!run.listed && agent.proven && run.state == AttemptState::ordered &&
        run.workerIncarnation != report.incarnation)
      end(agent, run, AttemptOutcome::lost, "ordered for an earlier life of the worker");
  for (auto at = agent.runs.begin(); at != agent.runs.end();) {
    auto& run = at->second;
    if (!run.listed && absentMeansGone(agent)) judgeAbsent(agent, run, report, now);
    if (!run.listed && run.state == AttemptState::ended && !run.wanted && agent.ordersSeq > 0)
      at = agent.runs.erase(at);
    else
      ++at;
  }
}

/// For how long a report may wait for something to say. The next part of a list of ends follows the answer.
Millis holdMsOf(const AgentState& agent, const WorkerReport& report, bool news) {
  if (!agent.proven) return 0;
  if (report.moreEnded) return bounds(agent).newsHoldMs();
  if (!isNumbered(agent)) return bounds(agent).longPollMs();
  if (news) return bounds(agent).newsHoldMs();
  return report.running.empty() ? bounds(agent).idleHoldMs() : 0;
}

/// The report is answered when there is something to say, or once its time is over.
void holdPoll(AgentState& agent, std::uint64_t requestId, const WorkerReport& report, bool news, Now now) {
  agent.poll = Poll{requestId, report.number, now.steadyMs, holdMsOf(agent, report, news), isNumbered(agent), {}};
  if (agent.poll->brief) agent.poll->ended = report.ended;
}

}  // namespace

AgentState makeAgent(const Settings& settings, const DaemonId& id, std::string incarnation) {
  AgentState agent;
  agent.client = control::makeControlClient(settings, id, std::move(incarnation));
  agent.worker = WorkerId(settings.worker);
  return agent;
}

void agentHeard(AgentState& agent, const Heard& heard, Now now, Outbox& out) {
  const auto before = agent.client.leader.peerAddress;
  if (control::clientHeard(agent.client, heard, now, out)) {
    if (agent.client.leader.peerAddress != before) agent.reportDue = true;
    return;
  }
  if (const auto* orders = std::get_if<Orders>(&heard.message)) onOrders(agent, *orders, now, out);
  if (agent.reportDue && mayReport(agent, now)) sendReport(agent, now, out);
}

void workerReport(AgentState& agent, std::uint64_t requestId, std::string_view body, Now now, Outbox& out) {
  const auto reject = [&](const ReportFault& fault) {
    out.reject(requestId, fault.kind, config::faultsJson(fault.kind, {{fault.field, fault.allowed}}));
  };
  const auto read = readWorkerReport(body, agent.worker);
  if (const auto* fault = std::get_if<ReportFault>(&read)) return reject(*fault);
  const auto& report = std::get<WorkerReport>(read);
  const bool same = agent.heard && report.incarnation == agent.incarnation;
  if (same && report.number <= agent.lastReport) {
    ++agent.counts.staleReports;
    return reject({Kind::staleTerm, "/report", "a number above the last one reported"});
  }
  workerReport(agent, requestId, report, now, out);
}

void workerReport(AgentState& agent, std::uint64_t requestId, const WorkerReport& report, Now now, Outbox& out) {
  const bool same = agent.heard && report.incarnation == agent.incarnation;
  if ((same && report.number <= agent.lastReport) || fromEarlierLife(agent, report.incarnation, now)) {
    ++agent.counts.staleReports;
    return out.reject(requestId, Kind::staleTerm, {});
  }
  if (agent.poll) answerPoll(agent, now, out);
  if (agent.proven && !same) {
    if (!provesItself(agent, report)) return answerClaim(agent, requestId, report, out);
    beginLife(agent, report.incarnation);
  }
  takeUpAcknowledgement(agent, report);
  noteWorker(agent, report, now);
  for (auto& [id, run] : agent.runs) run.listed = false;
  noteRunning(agent, report);
  const bool news = noteEnded(agent, report);
  noteAbsent(agent, report, now);
  holdPoll(agent, requestId, report, news, now);
  if (anythingNew(agent, now) || agent.poll->holdMs == 0)
    answerPoll(agent, now, out);
  else
    out.wakeBy(now.steadyMs + agent.poll->holdMs);
  if (agent.reportDue && mayReport(agent, now)) sendReport(agent, now, out);
}

void workerLeaves(AgentState& agent, std::uint64_t requestId, std::string_view incarnation, Now now, Outbox& out) {
  // A leave is a notice and no end: what runs there is over when its end is listed, when its lease has surely lapsed or
  // when another life is heard.
  if (!fromEarlierLife(agent, incarnation, now)) agent.leavingLife = incarnation;
  if (agent.heard && agent.incarnation == incarnation) {
    agent.leaving = true;
    if (agent.leavesAtMs < 0 && bounds(agent).drainMs > 0) agent.leavesAtMs = now.steadyMs + bounds(agent).drainMs;
    endDrainedStarts(agent);
    sendReport(agent, now, out);
  }
  out.answer(requestId, 200, "{}");
}

void agentTick(AgentState& agent, Now now, Outbox& out) {
  endDrainedStarts(agent);
  endSilentRuns(agent, now);
  const bool scarce = goOnMs(agent, now) < bounds(agent).workerLeaseMs / 2;
  if (agent.poll) {
    const Millis holdMs = scarce ? agent.poll->holdMs / 8 : agent.poll->holdMs;
    if (anythingNew(agent, now) || now.steadyMs - agent.poll->sinceMs >= holdMs)
      answerPoll(agent, now, out);
    else
      out.wakeBy(agent.poll->sinceMs + holdMs);
  }
  if (reportOverdue(agent, now) || (agent.reportDue && mayReport(agent, now))) sendReport(agent, now, out);
  agent.client.ready =
      control::sessionLive(agent.client, now) && !agent.client.leader.http.empty() && !agent.client.leaving;
}

std::string countersJson(const AgentState& agent) {
  Json root(json_object());
  const auto& c = agent.counts;
  const std::pair<const char*, std::uint64_t> rows[] = {{"reports", c.reports},
                                                        {"orders", c.orders},
                                                        {"deniedOrders", c.rejectedOrders},
                                                        {"handed", c.handed},
                                                        {"rehanded", c.rehanded},
                                                        {"deniedStarts", c.rejectedStarts},
                                                        {"staleReports", c.staleReports},
                                                        {"silences", c.silences},
                                                        {"runs", agent.runs.size()}};
  for (const auto& [name, value] : rows)
    json_object_set_new(root.get(), name, json_integer(static_cast<json_int_t>(value)));
  return dumpJson(root.get());
}

}  // namespace tulip::agent
