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

void answerPoll(TenderState& tender, Now now, Outbox& out) {
  const auto poll = *tender.poll;
  tender.poll.reset();
  Json root(json_object());
  json_t *start = json_array(), *stop = json_array(), *ack = json_array();
  const bool may = mayStart(tender, now);
  for (auto& [id, run] : tender.runs) {
    if (run.state == RunState::ordered && run.handedReport == 0 && may) {
      run.handedReport = poll.report;
      ++tender.counts.handed;
      Json spec = parseJson(run.spec);
      if (!spec) spec.reset(json_object());
      json_object_set_new(spec.get(), "run", jsonText(id.view()));
      json_array_append_new(start, spec.release());
    }
    if (run.state == RunState::stopping) {
      run.stopReport = poll.report;
      json_array_append_new(stop, jsonText(id.view()));
    }
    if (run.state == RunState::ended && run.listed && !run.wanted && tender.ordersSeq > 0) json_array_append_new(ack, jsonText(id.view()));
  }
  const auto grant = goOnMs(tender, now);
  tender.answeredMs = now.steadyMs;
  tender.workerUntilMs = std::max(tender.workerUntilMs, poll.sinceMs + grant);
  json_object_set_new(root.get(), "report", json_integer(static_cast<json_int_t>(poll.report)));
  json_object_set_new(root.get(), "goOnMs", json_integer(grant));
  json_object_set_new(root.get(), "startWithinMs", json_integer(bounds(tender).freshMs()));
  json_object_set_new(root.get(), "start", start);
  json_object_set_new(root.get(), "stop", stop);
  json_object_set_new(root.get(), "ack", ack);
  out.answer(poll.transaction, 200, dumpJson(root.get()));
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
    if (fresh) {
      run.spec = wanted.spec;
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
    else if (unhanded && run.stop) end(tender, run, RunOutcome::stopped, "stopped before its start");
    else if (unhanded && drained(tender)) {
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
  for (const auto& [id, run] : tender.runs) {
    const bool seen = run.state == RunState::stopping && !run.listed;
    report.runs.push_back({id, seen ? RunState::ordered : run.state, run.outcome, run.detail});
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
  auto deny = [&](Kind kind, const char* field, const char* allowed) {
    out.answer(transaction, rowOf(kind).status, chart::faultsJson(kind, {{field, allowed}}));
  };
  Json root = parseJson(body);
  if (!root || !json_is_object(root.get())) return deny(Kind::malformed, "/", "one JSON object");
  if (textAt(root.get(), "worker") != tender.worker.value) return deny(Kind::badValue, "/worker", "the name of this tender's worker");
  const auto incarnation = textAt(root.get(), "incarnation");
  const auto number = numberAt(root.get(), "report");
  if (incarnation.empty()) return deny(Kind::badValue, "/incarnation", "a text, new at each start of the worker");
  if (number < 1) return deny(Kind::badValue, "/report", "a number that grows with each report");
  if (numberAt(root.get(), "slots") < 1) return deny(Kind::badValue, "/slots", "a whole number of at least 1");
  const bool same = tender.heard && incarnation == tender.incarnation;
  const auto report = static_cast<std::uint64_t>(number);
  if (same && report <= tender.lastReport) {
    ++tender.counts.staleReports;
    return deny(Kind::staleTerm, "/report", "a number above the last one reported");
  }
  if (tender.poll) answerPoll(tender, now, out);
  if (tender.heard && !same)
    for (auto& [id, run] : tender.runs)
      if (run.state != RunState::ended && (run.state != RunState::ordered || run.handedReport)) end(tender, run, RunOutcome::lost, "worker restarted");
  if (!same || !tender.heard) tender.reportDue = true;
  const bool leaving = flagAt(root.get(), "leaving");
  if (leaving != tender.leaving) tender.reportDue = true;
  tender.heard = true;
  tender.incarnation = incarnation;
  tender.lastReport = report;
  tender.workerMs = now.steadyMs;
  tender.leaving = leaving;
  tender.pool = PoolName(textAt(root.get(), "pool"));
  tender.slots = numberAt(root.get(), "slots");
  tender.labels.clear();
  tender.room.clear();
  const char* key;
  json_t* value;
  json_object_foreach(json_object_get(root.get(), "labels"), key, value) {
    if (json_is_string(value)) tender.labels[key] = json_string_value(value);
  }
  json_object_foreach(json_object_get(root.get(), "room"), key, value) {
    if (json_is_integer(value)) tender.room[key] = json_integer_value(value);
  }
  for (auto& [id, run] : tender.runs) run.listed = false;
  const json_t* going = json_object_get(root.get(), "going");
  for (std::size_t i = 0; i < json_array_size(going); ++i) {
    const char* name = json_string_value(json_array_get(going, i));
    if (!name) continue;
    auto [slot, fresh] = tender.runs.try_emplace(RunId(name));
    auto& run = slot->second;
    run.listed = true;
    if (run.state == RunState::ordered) {
      run.state = RunState::going;
      tender.reportDue = true;
    }
    if (run.state == RunState::ended) run.state = RunState::stopping;
  }
  const json_t* ended = json_object_get(root.get(), "ended");
  for (std::size_t i = 0; i < json_array_size(ended); ++i) {
    const json_t* item = json_array_get(ended, i);
    const auto name = textAt(item, "run");
    const auto outcome = textAt(item, "outcome");
    if (name.empty()) continue;
    auto& run = tender.runs[RunId(name)];
    run.listed = true;
    if (run.state == RunState::ended && run.outcome != RunOutcome::lost) continue;
    end(tender, run, outcome == "clean" ? RunOutcome::clean : outcome == "stopped" ? RunOutcome::stopped : RunOutcome::failed,
        textAt(item, "detail"));
  }
  for (auto& [id, run] : tender.runs)
    if (!run.listed && run.state == RunState::ordered && run.workerIncarnation != incarnation)
      end(tender, run, RunOutcome::lost, "ordered for an earlier life of the worker");
  for (auto at = tender.runs.begin(); at != tender.runs.end();) {
    auto& run = at->second;
    const bool handed = run.state == RunState::ordered && run.handedReport > 0 && run.handedReport < report;
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
  tender.poll = Poll{transaction, report, now.steadyMs};
  if (anythingNew(tender, now)) answerPoll(tender, now, out);
  if (tender.reportDue) sendReport(tender, now, out);
}

void tenderTick(TenderState& tender, Now now, Outbox& out) {
  if (drained(tender))
    for (auto& [id, run] : tender.runs)
      if (run.state == RunState::ordered && run.handedReport == 0) {
        ++tender.counts.deniedStarts;
        end(tender, run, RunOutcome::lost, "denied: draining");
      }
  auto pool = tender.crew.chart->pools.find(tender.pool.value);
  const bool selfStop = pool != tender.crew.chart->pools.end() && pool->second.selfStop;
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
  const Millis holdMs = scarce ? bounds(tender).longPollMs() / 8 : bounds(tender).longPollMs();
  if (tender.poll && (anythingNew(tender, now) || now.steadyMs - tender.poll->sinceMs >= holdMs))
    answerPoll(tender, now, out);
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
