#include "manifest/tender.hpp"

#include <algorithm>

namespace tulip::manifest {

using namespace signal;

namespace {

const Bounds& bounds(const TenderState& tender) { return tender.crew.env.bounds; }

bool drained(const TenderState& tender) {
  const auto& chart = *tender.crew.chart;
  auto cell = chart.emptied.find(tender.crew.env.cell.value);
  auto drain = chart.drained.find(tender.worker.value);
  return tender.leaving || tender.crew.leaving || (cell != chart.emptied.end() && cell->second) ||
         (drain != chart.drained.end() && drain->second);
}

bool mayStart(const TenderState& tender, Now now) {
  return watch::sessionLive(tender.crew, now) && tender.crew.chartRevision >= tender.orderedRevision && !drained(tender) &&
         now.steadyMs - tender.echoMs <= bounds(tender).freshMs();
}

Millis goOnMs(const TenderState& tender, Now now) {
  return std::max<Millis>(0, tender.echoMs + bounds(tender).workerTermMs - now.steadyMs);
}

void end(TenderState& tender, TenderRun& run, RunOutcome outcome, std::string detail) {
  run.state = RunState::ended;
  run.outcome = outcome;
  run.detail = std::move(detail);
  tender.reportDue = true;
}

bool anythingNew(const TenderState& tender, Now now) {
  const bool may = mayStart(tender, now);
  return std::any_of(tender.runs.begin(), tender.runs.end(), [&](const auto& row) {
    const auto& run = row.second;
    if (run.state == RunState::ordered && run.handedReport == 0 && may) return true;
    return run.state == RunState::stopping && run.stopReport == 0;
  });
}

RunOutcome outcomeOf(std::string_view text) {
  constexpr std::pair<std::string_view, RunOutcome> rows[] = {
      {"clean", RunOutcome::clean},   {"stopped", RunOutcome::stopped}, {"lapsed", RunOutcome::lapsed},
      {"broken", RunOutcome::broken}, {"alone", RunOutcome::alone},     {"refused", RunOutcome::refused}};
  for (const auto& [name, outcome] : rows)
    if (name == text) return outcome;
  return RunOutcome::failed;
}

std::string answerJson(const WorkerAnswer& answer) {
  Json root(json_object());
  json_t *start = json_array(), *stop = json_array(), *ack = json_array();
  for (const auto& each : answer.start) {
    Json spec = parseJson(each.spec);
    if (!json_is_object(spec.get())) spec.reset(json_object());
    json_object_set_new(spec.get(), "run", jsonText(each.run.view()));
    if (!each.saved.empty()) json_object_set_new(spec.get(), "saved", jsonText(each.saved));
    json_array_append_new(start, spec.release());
  }
  for (const auto& run : answer.stop) json_array_append_new(stop, jsonText(run.view()));
  for (const auto& run : answer.acknowledged) json_array_append_new(ack, jsonText(run.view()));
  json_object_set_new(root.get(), "report", json_integer(static_cast<json_int_t>(answer.number)));
  json_object_set_new(root.get(), "goOnMs", json_integer(answer.goOnMs));
  json_object_set_new(root.get(), "startWithinMs", json_integer(answer.startWithinMs));
  json_object_set_new(root.get(), "start", start);
  json_object_set_new(root.get(), "stop", stop);
  json_object_set_new(root.get(), "ack", ack);
  return dumpJson(root.get());
}

bool released(const TenderState& tender, const TenderRun& run) {
  return run.state == RunState::ended && run.listed && !run.wanted && tender.ordersSeq > 0;
}

void answerPoll(TenderState& tender, Now now, Outbox& out) {
  const auto poll = std::move(*tender.poll);
  tender.poll.reset();
  WorkerAnswer answer;
  answer.number = poll.report;
  answer.startWithinMs = bounds(tender).freshMs();
  answer.nextMs = bounds(tender).nextBeatMs();
  answer.fence = tender.term.number;
  const bool may = mayStart(tender, now);
  for (auto& [id, run] : tender.runs) {
    if (run.state == RunState::ordered && run.handedReport == 0 && may) {
      run.handedReport = poll.report;
      ++tender.counts.handed;
      answer.start.push_back({id, run.spec, run.saved});
    }
    if (run.state == RunState::stopping) {
      run.stopReport = poll.report;
      answer.stop.push_back(id);
    }
    if (!poll.brief && released(tender, run)) answer.acknowledged.push_back(id);
  }
  for (const auto& ended : poll.ended) {
    if (ended.number <= tender.lastSeen) continue;
    auto found = tender.runs.find(ended.run);
    if (ended.number != tender.lastSeen + 1 || (found != tender.runs.end() && !released(tender, found->second)) || tender.ordersSeq == 0) break;
    tender.lastSeen = ended.number;
  }
  answer.lastSeen = tender.lastSeen;
  answer.goOnMs = goOnMs(tender, now);
  tender.answeredMs = now.steadyMs;
  tender.workerUntilMs = std::max(tender.workerUntilMs, poll.sinceMs + answer.goOnMs);
  if (!poll.brief) return out.answer(poll.transaction, 200, answerJson(answer));
  Brief brief;
  brief.worker = std::move(answer);
  out.tell(poll.transaction, Kind::ok, std::move(brief));
}

void onOrders(TenderState& tender, const Orders& orders, Now now, Outbox& out) {
  const auto newest = std::max(tender.term, tender.crew.leader.term);
  if (orders.tender != tender.crew.id || orders.term < newest || orders.echoSeq > tender.reportSeq || orders.echoMs > now.steadyMs ||
      (orders.term == tender.term && orders.seq <= tender.ordersSeq)) {
    ++tender.counts.deniedOrders;
    return;
  }
  ++tender.counts.orders;
  tender.term = orders.term;
  tender.ordersSeq = orders.seq;
  tender.orderedRevision = orders.chartRevision;
  tender.echoMs = std::max(tender.echoMs, orders.echoMs);
  watch::raiseFleet(tender.crew, orders.fleetMs, now);
  for (auto& [id, run] : tender.runs) run.wanted = false;
  for (const auto& wanted : orders.wanted) {
    auto [slot, fresh] = tender.runs.try_emplace(wanted.id);
    auto& run = slot->second;
    run.wanted = true;
    run.stop = wanted.stop;
    if (fresh && !wanted.stop && !wanted.whole) {
      tender.runs.erase(slot);
      tender.reportDue = true;
      continue;
    }
    if (fresh) {
      run.sinceMs = now.steadyMs;
      run.spec = wanted.spec;
      run.saved = wanted.saved;
      run.workerIncarnation = wanted.workerIncarnation;
      if (wanted.stop) {
        if (tender.heard) end(tender, run, RunOutcome::lost, "never started");
        else run.state = RunState::stopping;
      }
    }
  }
  for (auto at = tender.runs.begin(); at != tender.runs.end();) {
    auto& run = at->second;
    const bool unhanded = run.state == RunState::ordered && run.handedReport == 0;
    if (!run.wanted && (unhanded || (run.state == RunState::ended && !run.listed))) {
      at = tender.runs.erase(at);
      continue;
    }
    if (unhanded && tender.heard && run.workerIncarnation != tender.incarnation)
      end(tender, run, RunOutcome::lost, "ordered for another life of the worker");
    else if (unhanded && tender.heard && run.stop) end(tender, run, RunOutcome::stopped, "stopped before its start");
    else if (unhanded && tender.heard && drained(tender)) {
      ++tender.counts.deniedStarts;
      end(tender, run, RunOutcome::lost, "denied: draining");
    } else if ((run.stop || !run.wanted) && run.state != RunState::ended) run.state = RunState::stopping;
    ++at;
  }
  if (tender.poll && anythingNew(tender, now)) answerPoll(tender, now, out);
}

void sendReport(TenderState& tender, Now now, Outbox& out) {
  tender.reportedMs = now.steadyMs;
  tender.reportDue = false;
  if (tender.crew.leader.signal.empty() || !watch::sessionLive(tender.crew, now)) return;
  TenderReport report;
  report.tender = tender.crew.id;
  report.cell = tender.crew.env.cell;
  report.worker = tender.worker;
  report.workerIncarnation = tender.incarnation;
  report.workerHeard = tender.heard;
  report.workerAgeMs = tender.heard ? now.steadyMs - tender.workerMs : 0;
  report.pool = tender.pool;
  report.labels = tender.labels;
  report.slots = tender.slots;
  report.room = tender.room;
  report.leaving = tender.leaving || tender.crew.leaving;
  report.acked = tender.crew.chartRevision;
  report.ordersTerm = tender.term;
  report.ordersSeq = tender.ordersSeq;
  report.seq = ++tender.reportSeq;
  report.sentMs = now.steadyMs;
  report.leavesMs = tender.leavesAtMs < 0 ? -1 : std::max<Millis>(0, tender.leavesAtMs - now.steadyMs);
  report.wallMs = now.wallMs;
  report.runs.reserve(tender.runs.size());
  for (const auto& [id, run] : tender.runs) {
    const bool seen = run.state == RunState::stopping && !run.listed;
    const bool there = run.listed || run.state == RunState::ended;
    report.runs.push_back({id, seen ? RunState::ordered : run.state, run.outcome, run.detail, there ? run.saved : std::string(), run.percent});
  }
  ++tender.counts.reports;
  out.send(tender.crew.leader.signal, std::move(report));
}

}  // namespace

TenderState makeTender(const Env& env, const DaemonId& id, std::string incarnation) {
  TenderState tender;
  tender.crew = watch::makeCrew(env, id, std::move(incarnation));
  tender.worker = WorkerId(env.worker);
  return tender;
}

void tenderHeard(TenderState& tender, const Heard& heard, Now now, Outbox& out) {
  const auto before = tender.crew.leader.signal;
  if (watch::crewHeard(tender.crew, heard, now, out)) {
    if (tender.crew.leader.signal != before) tender.reportDue = true;
    return;
  }
  if (const auto* orders = std::get_if<Orders>(&heard.message)) onOrders(tender, *orders, now, out);
}

void workerReport(TenderState& tender, std::uint64_t transaction, std::string_view body, Now now, Outbox& out) {
  auto deny = [&](Kind kind, const char* field, const char* allowed) { out.deny(transaction, kind, chart::faultsJson(kind, {{field, allowed}})); };
  Json root = parseJson(body);
  if (!root || !json_is_object(root.get())) return deny(Kind::malformed, "/", "one JSON object");
  if (textAt(root.get(), "worker") != tender.worker.value) return deny(Kind::badValue, "/worker", "the name of this tender's worker");
  WorkerReport report;
  report.incarnation = textAt(root.get(), "incarnation");
  const auto number = numberAt(root.get(), "report");
  if (report.incarnation.empty()) return deny(Kind::badValue, "/incarnation", "a text, new at each start of the worker");
  if (number < 1) return deny(Kind::badValue, "/report", "a number that grows with each report");
  report.slots = numberAt(root.get(), "slots");
  if (report.slots < 1) return deny(Kind::badValue, "/slots", "a whole number of at least 1");
  report.number = static_cast<std::uint64_t>(number);
  report.leaving = flagAt(root.get(), "leaving");
  report.leavesMs = numberAt(root.get(), "leavesMs", -1);
  report.pool = PoolName(textAt(root.get(), "pool"));
  const char* key;
  json_t* value;
  json_object_foreach(json_object_get(root.get(), "labels"), key, value) {
    if (json_is_string(value)) report.labels[key] = json_string_value(value);
  }
  json_object_foreach(json_object_get(root.get(), "room"), key, value) {
    if (json_is_integer(value)) report.room[key] = json_integer_value(value);
  }
  const json_t* going = json_object_get(root.get(), "going");
  for (std::size_t i = 0; i < json_array_size(going); ++i) {
    const json_t* item = json_array_get(going, i);
    if (json_is_string(item)) report.going.push_back({RunId(json_string_value(item)), {}, 0});
    else if (auto run = textAt(item, "run"); !run.empty()) report.going.push_back({RunId(run), textAt(item, "saved"), numberAt(item, "percent")});
  }
  const json_t* ended = json_object_get(root.get(), "ended");
  for (std::size_t i = 0; i < json_array_size(ended); ++i) {
    const json_t* item = json_array_get(ended, i);
    if (auto run = textAt(item, "run"); !run.empty())
      report.ended.push_back({0, RunId(run), outcomeOf(textAt(item, "outcome")), textAt(item, "saved"), textAt(item, "detail")});
  }
  const bool same = tender.heard && report.incarnation == tender.incarnation;
  if (same && report.number <= tender.lastReport) {
    ++tender.counts.staleReports;
    return deny(Kind::staleTerm, "/report", "a number above the last one reported");
  }
  workerReport(tender, transaction, report, now, out);
}

void workerReport(TenderState& tender, std::uint64_t transaction, const WorkerReport& report, Now now, Outbox& out) {
  const bool same = tender.heard && report.incarnation == tender.incarnation;
  const bool numbered = !tender.crew.env.dialect.empty();
  if (same && report.number <= tender.lastReport) {
    ++tender.counts.staleReports;
    return out.deny(transaction, Kind::staleTerm, {});
  }
  if (tender.poll) answerPoll(tender, now, out);
  if (tender.heard && !same)
    for (auto& [id, run] : tender.runs)
      if (run.state != RunState::ended && (run.state != RunState::ordered || run.handedReport)) end(tender, run, RunOutcome::lost, "worker restarted");
  if (!same || !tender.heard) tender.reportDue = true;
  if (!tender.heard) tender.workerUntilMs = std::max(tender.workerUntilMs, now.steadyMs + bounds(tender).workerTermMs);
  if (report.incarnation != tender.incarnation) tender.lastSeen = 0;
  if (report.leaving != tender.leaving) tender.reportDue = true;
  tender.heard = true;
  tender.incarnation = report.incarnation;
  tender.lastReport = report.number;
  tender.workerMs = now.steadyMs;
  tender.leaving = report.leaving;
  tender.leavesAtMs = report.leavesMs < 0 ? -1 : now.steadyMs + report.leavesMs;
  tender.pool = report.pool;
  tender.slots = report.slots;
  tender.labels = report.labels;
  tender.room = report.room;
  for (auto& [id, run] : tender.runs) run.listed = false;
  bool busy = false, news = false;
  for (const auto& going : report.going) {
    auto& run = tender.runs[going.run];
    busy = run.listed = true;
    run.percent = going.percent;
    if (run.saved != going.saved) run.saved = going.saved;
    if (run.state == RunState::ordered) {
      run.state = RunState::going;
      tender.reportDue = true;
    }
    if (run.state == RunState::ended) run.state = RunState::stopping;
  }
  for (const auto& ended : report.ended) {
    if (ended.number > 0 && ended.number <= tender.lastSeen) continue;
    auto& run = tender.runs[ended.run];
    run.listed = true;
    run.number = ended.number;
    if (run.state == RunState::ended && run.outcome != RunOutcome::lost) continue;
    run.saved = ended.saved;
    end(tender, run, ended.outcome, ended.detail);
    news = true;
  }
  for (auto& [id, run] : tender.runs)
    if (!run.listed && run.state == RunState::ordered && run.workerIncarnation != report.incarnation)
      end(tender, run, RunOutcome::lost, "ordered for an earlier life of the worker");
  for (auto at = tender.runs.begin(); at != tender.runs.end();) {
    auto& run = at->second;
    const bool handed = run.state == RunState::ordered && run.handedReport > 0 && run.handedReport < report.number;
    const bool vanished = run.state == RunState::going || run.state == RunState::stopping;
    if (!run.listed && handed) {
      if (run.wanted && !run.stop && mayStart(tender, now)) {
        run.handedReport = 0;
        ++tender.counts.rehanded;
      } else end(tender, run, RunOutcome::lost, "never started");
    } else if (!run.listed && vanished) end(tender, run, run.stop ? RunOutcome::stopped : RunOutcome::lost, "gone from the worker");
    if (!run.listed && run.state == RunState::ended && !run.wanted && tender.ordersSeq > 0) at = tender.runs.erase(at);
    else ++at;
  }
  tender.poll = Poll{transaction, report.number, now.steadyMs, bounds(tender).longPollMs(), numbered, {}};
  if (numbered) {
    tender.poll->ended = report.ended;
    tender.poll->holdMs = news ? bounds(tender).newsHoldMs() : busy ? 0 : bounds(tender).idleHoldMs();
  }
  if (anythingNew(tender, now) || tender.poll->holdMs == 0) answerPoll(tender, now, out);
  else out.wakeBy(now.steadyMs + tender.poll->holdMs);
  if (tender.reportDue) sendReport(tender, now, out);
}

void workerLeaves(TenderState& tender, std::uint64_t transaction, std::string_view incarnation, Now now, Outbox& out) {
  if (tender.heard && tender.incarnation == incarnation) {
    if (tender.poll) answerPoll(tender, now, out);
    for (auto& [id, run] : tender.runs)
      if (run.state != RunState::ended) end(tender, run, RunOutcome::lost, "its worker left");
    tender.leaving = true;
    tender.gone = true;
    sendReport(tender, now, out);
  }
  out.answer(transaction, 200, "{}");
}

void tenderTick(TenderState& tender, Now now, Outbox& out) {
  if (tender.heard && drained(tender))
    for (auto& [id, run] : tender.runs)
      if (run.state == RunState::ordered && run.handedReport == 0) {
        ++tender.counts.deniedStarts;
        end(tender, run, RunOutcome::lost, "denied: draining");
      }
  auto pool = tender.crew.chart->pools.find(tender.pool.value);
  const bool selfStop = pool != tender.crew.chart->pools.end() && pool->second.selfStop;
  const auto& pools = tender.crew.chart->pools;
  const bool allStop = tender.heard ? selfStop : std::all_of(pools.begin(), pools.end(), [](const auto& each) { return each.second.selfStop; });
  std::int64_t terms = 1;
  for (const auto& [name, each] : pools)
    if (!tender.heard || name == tender.pool.value) terms = std::max(terms, each.lostAfterTerms);
  if (allStop && !tender.poll)
    for (auto& [id, run] : tender.runs) {
      if (run.state != RunState::ordered || run.handedReport > 0) continue;
      if (now.steadyMs - std::max({run.sinceMs, tender.workerMs, tender.workerUntilMs}) <= bounds(tender).sureMs(terms)) continue;
      ++tender.counts.silences;
      end(tender, run, RunOutcome::lost, "its worker is silent");
    }
  const Millis quietMs = now.steadyMs - std::max(tender.workerUntilMs, tender.answeredMs);
  const bool silent = tender.heard && !tender.poll && selfStop &&
                      quietMs > bounds(tender).sureMs(pool->second.lostAfterTerms) - bounds(tender).workerTermMs;
  if (silent)
    for (auto& [id, run] : tender.runs) {
      const bool onWorker = run.state == RunState::going || run.state == RunState::stopping ||
                            (run.state == RunState::ordered && run.handedReport > 0);
      if (!onWorker) continue;
      ++tender.counts.silences;
      end(tender, run, RunOutcome::lost, "worker silent past its term");
    }
  const bool scarce = goOnMs(tender, now) < bounds(tender).workerTermMs / 2;
  if (tender.poll) {
    const Millis holdMs = scarce ? tender.poll->holdMs / 8 : tender.poll->holdMs;
    if (anythingNew(tender, now) || now.steadyMs - tender.poll->sinceMs >= holdMs) answerPoll(tender, now, out);
    else out.wakeBy(tender.poll->sinceMs + holdMs);
  }
  if (tender.reportDue || now.steadyMs - tender.reportedMs >= bounds(tender).reportMs()) sendReport(tender, now, out);
  tender.crew.ready = watch::sessionLive(tender.crew, now) && !tender.crew.leader.http.empty() && !tender.crew.leaving;
}

std::string countersJson(const TenderState& tender) {
  Json root(json_object());
  const auto& c = tender.counts;
  const std::pair<const char*, std::uint64_t> rows[] = {
      {"reports", c.reports},           {"orders", c.orders},           {"deniedOrders", c.deniedOrders}, {"handed", c.handed},
      {"rehanded", c.rehanded},         {"deniedStarts", c.deniedStarts}, {"staleReports", c.staleReports}, {"silences", c.silences},
      {"runs", tender.runs.size()}};
  for (const auto& [name, value] : rows) json_object_set_new(root.get(), name, json_integer(static_cast<json_int_t>(value)));
  return dumpJson(root.get());
}

}  // namespace tulip::manifest
