#include <algorithm>

#include "manifest/parts.hpp"

namespace tulip::manifest {

using namespace signal;

Millis wallNow(const PilotState& pilot, Now now) {
  std::vector<Millis> offsets;
  if (now.wallMs > 0) offsets.push_back(now.wallMs - now.steadyMs);
  for (const auto& [id, row] : pilot.workers)
    if (row.wallKnown && now.steadyMs - row.heardMs <= bounds(pilot).termMs) offsets.push_back(row.wallOffsetMs);
  if (offsets.empty()) return 0;
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return now.steadyMs + *middle;
}

void tell(PilotState& pilot, const Caller& caller, Kind kind, const Job* job, Outbox& out, std::string_view detail) {
  const auto retryMs = static_cast<Millis>(rowOf(kind).retryTerms * static_cast<double>(bounds(pilot).termMs));
  if (!caller.remote.empty()) {
    CallAnswer answer;
    answer.transaction = caller.transaction;
    answer.kind = static_cast<std::int64_t>(kind);
    answer.phase = static_cast<std::uint8_t>(job ? phaseOf(*job) : JobPhase::none);
    answer.retryMs = retryMs;
    return out.send(caller.remote, std::move(answer));
  }
  if (caller.brief) {
    Brief brief;
    if (job) brief.phase = phaseOf(*job);
    return out.tell(caller.transaction, kind, std::move(brief), retryMs);
  }
  if (kind != Kind::ok || !job) return watch::answerKind(out, caller.transaction, kind, bounds(pilot), detail);
  Json view(viewJob(*job, false));
  out.answer(caller.transaction, detail == "new" ? 201 : 200, dumpJson(view.get()));
}

void submitJob(PilotState& pilot, std::uint64_t transaction, std::string_view body, Now now, Outbox& out) {
  Spec spec;
  const auto verdict = readSpec(body, *pilot.crew.chart, spec);
  const bool resent = !spec.id.empty() && pilot.jobs.contains(spec.id);
  if (verdict.kind != Kind::ok && !(resent && (verdict.kind == Kind::noSuchPending || verdict.kind == Kind::neverFits))) {
    ++pilot.counts.denied;
    return out.deny(transaction, verdict.kind, chart::faultsJson(verdict.kind, {{verdict.field, verdict.allowed}}));
  }
  submitSpec(pilot, {transaction, false, {}}, std::move(spec), now, out);
}

void submitSpec(PilotState& pilot, const Caller& caller, Spec spec, Now now, Outbox& out) {
  const auto& chart = *pilot.crew.chart;
  if (auto known = pilot.jobs.find(spec.id); known != pilot.jobs.end()) {
    if (spec.digest != known->second.spec->digest) return tell(pilot, caller, Kind::idTaken, nullptr, out, spec.id.view());
    pilot.waiting.push_back({caller, spec.id, HeldAnswer::submitted});
    pilot.planDue = true;
    return;
  }
  const auto found = chart.pendings.find(spec.pending.value);
  if (found == chart.pendings.end()) {
    ++pilot.counts.denied;
    return tell(pilot, caller, Kind::noSuchPending, nullptr, out, spec.pending.view());
  }
  const auto& line = found->second;
  const auto most = chart.gangway.mostOpenJobs;
  const auto open = static_cast<std::int64_t>(pilot.open.size());
  const auto share = std::max<std::int64_t>(1, most / 2 / static_cast<std::int64_t>(chart.pendings.size()));
  const auto mine = pilot.openPer[spec.pending];
  if (mine >= line.mostJobs || open >= most || (mine >= share && open >= most - most / 2)) {
    ++pilot.counts.denied;
    return tell(pilot, caller, Kind::overloaded, nullptr, out, spec.pending.view());
  }
  ++pilot.counts.submitted;
  spec.line = line;
  spec.pool = line.pool;
  auto job = makeJob(std::make_shared<const Spec>(std::move(spec)));
  job.acceptedMs = job.accountedMs = fleet(pilot, now);
  if (job.spec->times > 0) {
    const auto wallMs = wallNow(pilot, now);
    job.firstDueMs = wallMs > 0 && job.spec->firstWallMs > 0 ? job.acceptedMs + job.spec->firstWallMs - wallMs : job.acceptedMs;
  }
  const auto id = job.id;
  pilot.open.insert(id);
  ++pilot.openPer[job.pending()];
  pilot.jobs.emplace(id, std::move(job));
  pilot.dirty.insert(id);
  pilot.fresh.insert(id);
  pilot.planDue = true;
  pilot.waiting.push_back({caller, id, HeldAnswer::submitted});
}

void cancelJob(PilotState& pilot, const Caller& caller, const JobId& id, Now now, Outbox& out) {
  auto found = pilot.jobs.find(id);
  if (found == pilot.jobs.end()) return tell(pilot, caller, Kind::noSuchJob, nullptr, out, id.view());
  const auto& job = found->second;
  const bool cancelled = job.state == JobState::cancelled || job.ending == JobState::cancelled;
  if (!cancelled && (job.state != JobState::open || job.ending != JobState::open))
    return tell(pilot, caller, Kind::jobEnded, nullptr, out, stateName(job.state != JobState::open ? job.state : job.ending));
  if (!cancelled)
    change(pilot, id, [&](Job& each) {
      endJob(each, JobState::cancelled, "cancelled by its caller", fleet(pilot, now));
      closeIfOver(each, fleet(pilot, now));
    });
  pilot.waiting.push_back({caller, id, HeldAnswer::cancelled});
}

void getJob(const PilotState& pilot, const Caller& caller, const JobId& id, Outbox& out) {
  auto found = pilot.told.find(id);
  tell(const_cast<PilotState&>(pilot), caller, found == pilot.told.end() ? Kind::noSuchJob : Kind::ok,
       found == pilot.told.end() ? nullptr : found->second.get(), out, found == pilot.told.end() ? id.view() : std::string_view());
}

void countPending(const PilotState& pilot, const Caller& caller, const PendingName& line, Outbox& out) {
  auto found = pilot.openPer.find(line);
  const auto count = found == pilot.openPer.end() ? 0 : found->second;
  if (!caller.remote.empty()) {
    CallAnswer answer;
    answer.transaction = caller.transaction;
    answer.count = count;
    return out.send(caller.remote, std::move(answer));
  }
  if (!caller.brief) return out.answer(caller.transaction, 200, "{\"pending\":" + std::to_string(count) + "}");
  Brief brief;
  brief.count = count;
  out.tell(caller.transaction, Kind::ok, std::move(brief));
}

namespace {

void serve(PilotState& pilot, const Caller& caller, const CallAsk& ask, Now now, Outbox& out) {
  switch (ask.call) {
    case CallKind::submit: {
      Spec spec;
      if (!unpackSpec(ask.spec, spec)) return tell(pilot, caller, Kind::malformed, nullptr, out);
      return submitSpec(pilot, caller, std::move(spec), now, out);
    }
    case CallKind::getJob: return getJob(pilot, caller, ask.job, out);
    case CallKind::cancelJob: return cancelJob(pilot, caller, ask.job, now, out);
    case CallKind::countPending: return countPending(pilot, caller, ask.pending, out);
  }
}

bool changes(const CallAsk& ask) { return ask.call == CallKind::submit || ask.call == CallKind::cancelJob; }

}  // namespace

void onCallAsk(PilotState& pilot, const Heard& heard, const CallAsk& ask, Now now, Outbox& out) {
  if (!leads(pilot, now) || pilot.crew.chartRevision < ask.chartRevision) return;
  serve(pilot, {ask.transaction, true, heard.from}, ask, now, out);
}

void onCallAnswer(PilotState& pilot, const CallAnswer& answer, Outbox& out) {
  auto found = pilot.forwards.find(answer.transaction);
  if (found == pilot.forwards.end()) return;
  auto kind = static_cast<Kind>(answer.kind);
  const bool promised = kind == Kind::overloaded || kind == Kind::noSuchPending;
  if (promised && found->second.ask.call == CallKind::submit && found->second.repeated) kind = Kind::unknownOutcome;
  Brief brief;
  brief.phase = static_cast<JobPhase>(answer.phase);
  brief.count = answer.count;
  out.tell(answer.transaction, kind, std::move(brief), answer.retryMs);
  pilot.forwards.erase(found);
}

void callLeader(PilotState& pilot, CallAsk ask, Millis cutoffMs, Now now, Outbox& out) {
  if (leads(pilot, now)) return serve(pilot, {ask.transaction, true, {}}, ask, now, out);
  constexpr std::size_t kMostForwards = 1024;
  if (pilot.forwards.size() >= kMostForwards || pilot.crew.leaving) return tell(pilot, {ask.transaction, true, {}}, Kind::overloaded, nullptr, out);
  ++pilot.counts.forwarded;
  Forward forward;
  ask.chartRevision = pilot.crew.chartRevision;
  forward.sinceMs = now.steadyMs;
  forward.cutoffMs = now.steadyMs + cutoffMs;
  const auto transaction = ask.transaction;
  forward.ask = std::move(ask);
  pilot.forwards[transaction] = std::move(forward);
  tickForwards(pilot, now, out);
}

void tickForwards(PilotState& pilot, Now now, Outbox& out) {
  const auto& leader = pilot.crew.leader;
  const Millis againMs = bounds(pilot).beatMs();
  for (auto at = pilot.forwards.begin(); at != pilot.forwards.end();) {
    auto& forward = at->second;
    const Caller caller{at->first, true, {}};
    if (leads(pilot, now)) {
      const bool repeated = forward.sent;
      auto ask = std::move(forward.ask);
      at = pilot.forwards.erase(at);
      if (repeated && ask.call == CallKind::submit && !pilot.crew.chart->pendings.contains(ask.pending.value)) tell(pilot, caller, Kind::unknownOutcome, nullptr, out);
      else serve(pilot, caller, ask, now, out);
      continue;
    }
    const bool late = now.steadyMs >= forward.cutoffMs;
    const bool nobody = !forward.sent && now.steadyMs - forward.sinceMs >= bounds(pilot).termMs / 2;
    if (late || nobody) {
      tell(pilot, caller, forward.sent ? (changes(forward.ask) ? Kind::unknownOutcome : Kind::cutoffPassed) : Kind::noLeader, nullptr, out);
      at = pilot.forwards.erase(at);
      continue;
    }
    const bool moved = forward.sentTo != leader.signal;
    if (!leader.signal.empty() && leader.signal != pilot.crew.env.signal && (moved || now.steadyMs - forward.sentMs >= againMs)) {
      forward.repeated = forward.sent;
      forward.sent = true;
      forward.sentTo = leader.signal;
      forward.sentMs = now.steadyMs;
      out.send(leader.signal, forward.ask);
    }
    ++at;
  }
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
    if (!line.empty() && job.pending().value != line) continue;
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
        used += pilot.told.at(where.first)->stepOf(where.second).need.slots;
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
      {"steppedDown", c.steppedDown}, {"gangRetries", c.gangRetries}, {"lateEnds", c.lateEnds}, {"stalls", c.stalls}, {"forwarded", c.forwarded}, {"promotions", c.promotions}, {"dropped", c.dropped},
      {"openJobs", pilot.open.size()}, {"knownJobs", pilot.told.size()}};
  for (const auto& [name, value] : rows) json_object_set_new(root.get(), name, json_integer(static_cast<json_int_t>(value)));
  return dumpJson(root.get());
}

}  // namespace tulip::manifest
