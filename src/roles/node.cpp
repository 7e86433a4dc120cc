#include "roles/node.hpp"

#include "bearing/ledger.hpp"

namespace tulip::roles {

using namespace signal;
using gangway::Call;

namespace {

Json membersView(const watch::Crew& crew) {
  Json root(json_object());
  json_t* list = json_array();
  for (const auto& member : crew.members) {
    json_t* item = json_object();
    json_object_set_new(item, "id", jsonText(member.id.view()));
    json_object_set_new(item, "role", jsonText(roleName(member.role)));
    json_object_set_new(item, "cell", jsonText(member.cell.view()));
    json_object_set_new(item, "http", jsonText(member.http.view()));
    json_object_set_new(item, "signal", jsonText(member.signal.view()));
    json_object_set_new(item, "revision", json_integer(static_cast<json_int_t>(member.acked)));
    json_object_set_new(item, "ready", json_boolean(member.ready));
    json_object_set_new(item, "ageMs", json_integer(member.ageMs));
    json_array_append_new(list, item);
  }
  json_object_set_new(root.get(), "members", list);
  json_t* cohort = json_object();
  json_object_set_new(cohort, "revision", json_integer(static_cast<json_int_t>(crew.cohort.revision)));
  json_t* seats = json_array();
  for (const auto& seat : crew.cohort.seats) json_array_append_new(seats, jsonText(seat.id.value + "@" + seat.signal.value));
  json_object_set_new(cohort, "seats", seats);
  json_object_set_new(root.get(), "cohort", cohort);
  return root;
}

void answerLeader(Node& node, std::uint64_t transaction, Now now, Outbox& out) {
  const auto& crew = crewOf(node);
  const bool here = node.pilot && manifest::leads(*node.pilot, now);
  const LeaderHint hint = here ? LeaderHint{node.pilot->term, crew.env.signal, crew.env.http} : crew.leader;
  if (hint.http.empty()) return watch::answerKind(out, transaction, Kind::noLeader, crew.env.bounds);
  Json root(json_object());
  json_object_set_new(root.get(), "http", jsonText(hint.http.view()));
  json_object_set_new(root.get(), "term", json_integer(static_cast<json_int_t>(hint.term.number)));
  json_object_set_new(root.get(), "here", json_boolean(here));
  out.answer(transaction, 200, dumpJson(root.get()));
}

void answerCounters(Node& node, std::uint64_t transaction, Now now, Outbox& out) {
  const auto& crew = crewOf(node);
  Json root(json_object());
  json_object_set_new(root.get(), "role", jsonText(roleName(crew.env.role)));
  json_object_set_new(root.get(), "id", jsonText(crew.id.view()));
  json_object_set_new(root.get(), "cell", jsonText(crew.env.cell.view()));
  json_object_set_new(root.get(), "revision", json_integer(static_cast<json_int_t>(crew.chartRevision)));
  json_object_set_new(root.get(), "fleetMs", json_integer(watch::fleetNow(crew, now)));
  json_object_set_new(root.get(), "asks", json_integer(static_cast<json_int_t>(node.asks)));
  json_object_set_new(root.get(), "deniedAsks", json_integer(static_cast<json_int_t>(node.deniedAsks)));
  json_object_set_new(root.get(), "proxiedAsks", json_integer(static_cast<json_int_t>(node.proxiedAsks)));
  json_object_set_new(root.get(), "contended", json_integer(static_cast<json_int_t>(crew.contended)));
  if (node.pilot) json_object_set_new(root.get(), "pilot", parseJson(manifest::countersJson(*node.pilot)).release());
  if (node.tender) json_object_set_new(root.get(), "tender", parseJson(manifest::countersJson(*node.tender)).release());
  if (node.quay) {
    const auto& quay = *node.quay;
    json_t* item = json_object();
    json_object_set_new(item, "voting", json_boolean(quay.image.voting && !watch::ailing(quay)));
    json_object_set_new(item, "ailing", json_boolean(watch::ailing(quay)));
    json_object_set_new(item, "standing", json_boolean(watch::standing(quay, now)));
    json_object_set_new(item, "jobs", json_integer(static_cast<json_int_t>(quay.image.jobs.size())));
    json_object_set_new(item, "sessions", json_integer(static_cast<json_int_t>(quay.sessions.size())));
    json_object_set_new(item, "persists", json_integer(static_cast<json_int_t>(quay.ticket)));
    json_object_set_new(item, "rangeAccepts", json_integer(static_cast<json_int_t>(quay.rangeAccepts)));
    json_object_set_new(item, "rangeDenied", json_integer(static_cast<json_int_t>(quay.rangeDenied)));
    json_object_set_new(item, "grants", json_integer(static_cast<json_int_t>(quay.grants)));
    json_object_set_new(item, "grantsDenied", json_integer(static_cast<json_int_t>(quay.grantsDenied)));
    json_object_set_new(item, "catchUps", json_integer(static_cast<json_int_t>(quay.catchUps)));
    json_object_set_new(item, "cohortRevision", json_integer(static_cast<json_int_t>(quay.image.cohort.revision)));
    json_object_set_new(root.get(), "quay", item);
  }
  out.answer(transaction, 200, dumpJson(root.get()));
}

void answerChart(const watch::Crew& crew, std::uint64_t transaction, Outbox& out) {
  Json root(json_object());
  json_object_set_new(root.get(), "revision", json_integer(static_cast<json_int_t>(crew.chartRevision)));
  Json chart = parseJson(crew.chartText);
  json_object_set_new(root.get(), "configuration", chart ? chart.release() : json_object());
  out.answer(transaction, 200, dumpJson(root.get()));
}

void changeChart(Node& node, const Ask& ask, bool whole, Now now, Outbox& out) {
  auto& crew = crewOf(node);
  watch::Edit edit;
  edit.whole = whole;
  edit.body = ask.body;
  edit.name = ask.transactionName;
  for (const auto& [key, value] : gangway::queryOf(ask.query)) {
    const bool number = !value.empty() && value.size() < 19 && value.find_first_not_of("0123456789") == std::string::npos;
    if (key != "expected" || !number) {
      ++node.deniedAsks;
      return out.answer(ask.transaction, 422, chart::faultsJson(Kind::badValue, {{"?" + key, "expected=REVISION"}}));
    }
    edit.expected = std::stoull(value);
  }
  Json body = parseJson(edit.body);
  if (!body || !json_is_object(body.get())) return watch::answerKind(out, ask.transaction, Kind::malformed, crew.env.bounds);
  chart::Chart checked;
  std::vector<chart::Fault> faults;
  if (whole && !chart::readChart(body.get(), checked, faults))
    return out.answer(ask.transaction, rowOf(Kind::invalidChart).status, chart::faultsJson(Kind::invalidChart, faults));
  watch::proposeChart(crew, ask.transaction, std::move(edit), ask.cutoffMs * 9 / 10, now, out);
}

void askLeader(Node& node, const Ask& ask, gangway::Wanted& wanted, CallKind kind, Now now, Outbox& out) {
  CallAsk call;
  call.transaction = ask.transaction;
  call.call = kind;
  call.pending = wanted.pending;
  call.job = wanted.job;
  if (kind == CallKind::submit) call.spec = manifest::packSpec(wanted.spec);
  manifest::callLeader(*node.pilot, std::move(call), ask.cutoffMs, now, out);
}

void onDialect(Node& node, const Ask& ask, Now now, Outbox& out) {
  auto& crew = crewOf(node);
  auto wanted = node.dialect->read(ask, *crew.chart);
  node.dialectCalls[ask.transaction] = wanted.call;
  auto deny = [&](Kind kind, std::string_view detail = {}) {
    ++node.deniedAsks;
    watch::answerKind(out, ask.transaction, kind, crew.env.bounds, detail);
  };
  if (wanted.denial != Kind::ok) return deny(wanted.denial);
  switch (wanted.call) {
    case Call::ready: return crew.ready ? out.tell(ask.transaction, Kind::ok, {}) : deny(Kind::notReady);
    case Call::submit:
      if (!node.pilot) return deny(Kind::noSuchRoute);
      if (!watch::sessionLive(crew, now)) return deny(Kind::notReady);
      if (const auto verdict = manifest::checkSpec(wanted.spec, *crew.chart); verdict.kind != Kind::ok) return deny(verdict.kind, verdict.field);
      return askLeader(node, ask, wanted, CallKind::submit, now, out);
    case Call::getJob:
    case Call::cancelJob:
    case Call::countPending:
      if (!node.pilot) return deny(Kind::noSuchRoute);
      return askLeader(node, ask, wanted,
                       wanted.call == Call::getJob      ? CallKind::getJob
                       : wanted.call == Call::cancelJob ? CallKind::cancelJob
                                                        : CallKind::countPending,
                       now, out);
    case Call::putChart:
    case Call::patchChart:
    case Call::emptyCell:
    case Call::takeBackCell:
      if (!watch::sessionLive(crew, now)) return deny(Kind::notReady);
      return watch::proposeChart(crew, ask.transaction, std::move(wanted.edit), ask.cutoffMs * 9 / 10, now, out);
    case Call::getChart: {
      if (!watch::sessionLive(crew, now) || crew.chartRevision == 0) return deny(Kind::notReady);
      Brief brief;
      brief.text = crew.chartText;
      return out.tell(ask.transaction, Kind::ok, std::move(brief));
    }
    case Call::report:
      if (!node.tender) return deny(Kind::noSuchRoute);
      return manifest::workerReport(*node.tender, ask.transaction, wanted.report, now, out);
    case Call::workerLeaves:
      if (!node.tender) return deny(Kind::noSuchRoute);
      return manifest::workerLeaves(*node.tender, ask.transaction, wanted.report.incarnation, now, out);
    default: return deny(Kind::noSuchRoute);
  }
}

void onAsk(Node& node, const Ask& ask, Now now, Outbox& out) {
  ++node.asks;
  auto& crew = crewOf(node);
  if (ask.face != FaceKind::own && node.dialect) return onDialect(node, ask, now, out);
  if (node.rules.empty() || node.compiledFor != crew.chartRevision) {
    node.rules = gangway::compile(*crew.chart, crew.env.role);
    node.compiledFor = crew.chartRevision;
  }
  const bool leading = node.pilot && manifest::leads(*node.pilot, now);
  const gangway::Scene scene{watch::sessionLive(crew, now), leading, crew.leader.http, crew.env.http, 2};
  const auto outcome = gangway::interpret(node.rules, ask, scene);
  if (outcome.course == gangway::Course::deny) {
    ++node.deniedAsks;
    return watch::answerKind(out, ask.transaction, outcome.kind, crew.env.bounds, ask.method + " " + ask.path);
  }
  if (outcome.course == gangway::Course::proxy) {
    ++node.proxiedAsks;
    out.proxies.push_back({ask.transaction, crew.leader.http});
    return;
  }
  switch (outcome.call) {
    case Call::none: return;
    case Call::live: return out.answer(ask.transaction, 200, "{\"live\":true}");
    case Call::ready:
      if (crew.ready) return out.answer(ask.transaction, 200, "{\"ready\":true}");
      return watch::answerKind(out, ask.transaction, Kind::notReady, crew.env.bounds);
    case Call::counters: return answerCounters(node, ask.transaction, now, out);
    case Call::log: {
      Json list(json_array());
      for (const auto& line : ledgerLines()) json_array_append_new(list.get(), jsonText(line));
      return out.answer(ask.transaction, 200, dumpJson(list.get()));
    }
    case Call::leader: return answerLeader(node, ask.transaction, now, out);
    case Call::members: return out.answer(ask.transaction, 200, dumpJson(membersView(crew).get()));
    case Call::snapshot: return manifest::snapshotJobs(*node.pilot, ask.transaction, membersView(crew), now, out);
    case Call::getChart: return answerChart(crew, ask.transaction, out);
    case Call::putChart: return changeChart(node, ask, true, now, out);
    case Call::patchChart: return changeChart(node, ask, false, now, out);
    case Call::submit: return manifest::submitJob(*node.pilot, ask.transaction, ask.body, now, out);
    case Call::listJobs: return manifest::listJobs(*node.pilot, ask.transaction, gangway::queryOf(ask.query), out);
    case Call::getJob: return manifest::getJob(*node.pilot, {ask.transaction, false, {}}, JobId(outcome.names.at("job")), out);
    case Call::cancelJob: return manifest::cancelJob(*node.pilot, {ask.transaction, false, {}}, JobId(outcome.names.at("job")), now, out);
    case Call::workers: return manifest::listWorkers(*node.pilot, ask.transaction, now, out);
    case Call::trace: return manifest::traceJobs(*node.pilot, ask.transaction, out);
    case Call::report: return manifest::workerReport(*node.tender, ask.transaction, ask.body, now, out);
    case Call::countPending: return manifest::countPending(*node.pilot, {ask.transaction, false, {}}, PendingName(outcome.names.at("pending")), out);
    case Call::emptyCell:
    case Call::takeBackCell:
    case Call::workerLeaves: return watch::answerKind(out, ask.transaction, Kind::noSuchRoute, crew.env.bounds);
  }
}

}  // namespace

watch::Crew& crewOf(Node& node) { return node.quay ? node.quay->crew : node.pilot ? node.pilot->crew : node.tender->crew; }

Node makeNode(const Env& env, const DaemonId& id, const std::string& incarnation, hold::Image image, Now now) {
  Node node;
  if (env.role == Role::quay) node.quay = watch::makeQuay(env, std::move(image), incarnation, now);
  if (env.role == Role::pilot) node.pilot = manifest::makePilot(env, id, incarnation);
  if (env.role == Role::tender) node.tender = manifest::makeTender(env, id, incarnation);
  return node;
}

namespace {

void step(Node& node, const Event& event, Now now, Outbox& out) {
  if (const auto* ask = std::get_if<Ask>(&event)) return onAsk(node, *ask, now, out);
  auto& crew = crewOf(node);
  if (std::holds_alternative<PoliteStop>(event)) {
    if (node.leavingSinceMs < 0) node.leavingSinceMs = now.steadyMs;
    crew.leaving = true;
    crew.ready = false;
    if (node.pilot) manifest::pilotResign(*node.pilot, now, out);
    watch::beatNow(crew, now, out);
    return;
  }
  if (const auto* heard = std::get_if<Heard>(&event)) {
    if (node.quay) watch::quayStep(*node.quay, event, now, out);
    if (node.pilot) manifest::pilotHeard(*node.pilot, *heard, now, out);
    if (node.tender) manifest::tenderHeard(*node.tender, *heard, now, out);
    return;
  }
  if (node.quay) watch::quayStep(*node.quay, event, now, out);
  if (!std::holds_alternative<Tick>(event)) return;
  if (!node.quay) watch::crewTick(crew, now, out);
  if (node.pilot) manifest::pilotTick(*node.pilot, now, out);
  if (node.tender) manifest::tenderTick(*node.tender, now, out);
  if (node.leavingSinceMs >= 0 && now.steadyMs - node.leavingSinceMs >= crew.env.bounds.beatMs()) out.done = true;
}

}  // namespace

void nodeStep(Node& node, const Event& event, Now now, Outbox& out) {
  const auto before = out.answers.size();
  step(node, event, now, out);
  if (node.dialectCalls.empty()) return;
  for (std::size_t i = before; i < out.answers.size(); ++i)
    if (auto found = node.dialectCalls.find(out.answers[i].transaction); found != node.dialectCalls.end()) {
      const auto call = found->second;
      node.dialectCalls.erase(found);
      out.answers[i] = node.dialect->write(call, std::move(out.answers[i]));
    }
}

}  // namespace tulip::roles
