#include "daemon/node.hpp"

#include "base/log.hpp"
#include "config/tenants.hpp"
#include "daemon/config_reader.hpp"

namespace tulip::daemon {

using namespace transport;
using http::Call;

namespace {

Json membersView(const control::ControlClient& client) {
  Json root(json_object());
  json_t* list = json_array();
  for (const auto& member : client.members) {
    json_t* item = json_object();
    json_object_set_new(item, "id", jsonText(member.id.view()));
    json_object_set_new(item, "role", jsonText(roleName(member.role)));
    json_object_set_new(item, "cell", jsonText(member.zone.view()));
    json_object_set_new(item, "http", jsonText(member.http.view()));
    json_object_set_new(item, "signal", jsonText(member.peerAddress.view()));
    json_object_set_new(item, "revision", json_integer(static_cast<json_int_t>(member.acked)));
    json_object_set_new(item, "ready", json_boolean(member.ready));
    json_object_set_new(item, "ageMs", json_integer(member.ageMs));
    json_array_append_new(list, item);
  }
  json_object_set_new(root.get(), "members", list);
  json_t* membership = json_object();
  json_object_set_new(membership, "revision", json_integer(static_cast<json_int_t>(client.membership.version)));
  json_t* voters = json_array();
  for (const auto& voter : client.membership.voters)
    json_array_append_new(voters, jsonText(voter.id.value + "@" + voter.peerAddress.value));
  json_object_set_new(membership, "seats", voters);
  json_object_set_new(root.get(), "cohort", membership);
  return root;
}

void answerLeader(Node& node, std::uint64_t requestId, Now now, Outbox& out) {
  const auto& client = clientOf(node);
  const bool here = node.scheduler && scheduler::leads(*node.scheduler, now);
  const LeaderHint hint =
      here ? LeaderHint{node.scheduler->term, client.settings.peerAddress, client.settings.http} : client.leader;
  const bool known = here || control::sessionLive(client, now);
  if (!known || hint.http.empty()) return control::answerKind(out, requestId, Kind::noLeader, client.settings.bounds);
  Json root(json_object());
  json_object_set_new(root.get(), "http", jsonText(hint.http.view()));
  json_object_set_new(root.get(), "term", json_integer(static_cast<json_int_t>(hint.term.number)));
  json_object_set_new(root.get(), "here", json_boolean(here));
  out.answer(requestId, 200, dumpJson(root.get()));
}

std::size_t heldMessages(const PeerIncarnations& incarnations) {
  std::size_t held = 0;
  for (const auto& [address, peer] : incarnations.peers)
    for (const auto& candidate : peer.candidates) held += candidate.held.size();
  return held;
}

std::size_t waitingCallers(const scheduler::SchedulerState& scheduler) {
  auto waiting = scheduler.waiting.size();
  for (const auto& [seq, batch] : scheduler.batches) waiting += batch.answers.size();
  return waiting;
}

/// The sizes of what grows while something is waited for: a majority, a disk, a leader, a connection.
json_t* sizesView(const Node& node) {
  json_t* sizes = json_object();
  auto put = [&](const char* name, std::uint64_t size) {
    json_object_set_new(sizes, name, json_integer(static_cast<json_int_t>(size)));
  };
  put("adapterCalls", node.adapterCalls.size());
  put("heldMessages", heldMessages(node.incarnations));
  put("proposals", clientOf(node).proposals.size());
  if (node.wire) put("queuedBytes", node.wire->queuedBytes);
  if (node.wire) put("supersededFrames", node.wire->superseded);
  if (node.replica) {
    put("unsyncedBatches", node.replica->waiting.size());
    put("finalStates", node.replica->catchUp.size());
  }
  if (node.scheduler) {
    put("forwards", node.scheduler->forwards.size());
    put("waitingCallers", waitingCallers(*node.scheduler));
    put("openBatches", node.scheduler->batches.size());
    put("promises", node.scheduler->promises.size());
  }
  return sizes;
}

void answerCounters(Node& node, std::uint64_t requestId, Now now, Outbox& out) {
  const auto& client = clientOf(node);
  Json root(json_object());
  json_object_set_new(root.get(), "role", jsonText(roleName(client.settings.role)));
  json_object_set_new(root.get(), "id", jsonText(client.id.view()));
  json_object_set_new(root.get(), "cell", jsonText(client.settings.zone.view()));
  json_object_set_new(root.get(), "revision", json_integer(static_cast<json_int_t>(client.configVersion)));
  json_object_set_new(root.get(), "fleetMs", json_integer(control::fleetNow(client, now)));
  json_object_set_new(root.get(), "asks", json_integer(static_cast<json_int_t>(node.asks)));
  json_object_set_new(root.get(), "deniedAsks", json_integer(static_cast<json_int_t>(node.rejectedAsks)));
  json_object_set_new(root.get(), "proxiedAsks", json_integer(static_cast<json_int_t>(node.proxiedAsks)));
  json_object_set_new(root.get(), "contended", json_integer(static_cast<json_int_t>(client.contended)));
  json_object_set_new(root.get(), "alarms", control::alarmsView(node.alarms, now));
  json_object_set_new(root.get(), "sizes", sizesView(node));
  if (node.scheduler)
    json_object_set_new(root.get(), "scheduler", parseJson(scheduler::countersJson(*node.scheduler)).release());
  if (node.agent) json_object_set_new(root.get(), "agent", parseJson(agent::countersJson(*node.agent)).release());
  if (node.replica) {
    const auto& replica = *node.replica;
    json_t* item = json_object();
    json_object_set_new(item, "voting", json_boolean(replica.image.voting && !control::ailing(replica)));
    json_object_set_new(item, "ailing", json_boolean(control::ailing(replica)));
    json_object_set_new(item, "standing", json_boolean(control::hasQuorumLease(replica, now)));
    json_object_set_new(item, "jobs", json_integer(static_cast<json_int_t>(replica.image.jobs.size())));
    json_object_set_new(item, "sessions", json_integer(static_cast<json_int_t>(replica.sessions.size())));
    json_object_set_new(item, "persists", json_integer(static_cast<json_int_t>(replica.ticket)));
    json_object_set_new(item, "rangeAccepts", json_integer(static_cast<json_int_t>(replica.jobLogAccepts)));
    json_object_set_new(item, "rangeDenied", json_integer(static_cast<json_int_t>(replica.jobLogRejected)));
    json_object_set_new(item, "grants", json_integer(static_cast<json_int_t>(replica.grants)));
    json_object_set_new(item, "grantsDenied", json_integer(static_cast<json_int_t>(replica.grantsRejected)));
    json_object_set_new(item, "sessionsBehind", control::sessionsBehindView(replica, now));
    json_object_set_new(item, "catchUps", json_integer(static_cast<json_int_t>(replica.catchUps)));
    json_object_set_new(item, "cohortRevision",
                        json_integer(static_cast<json_int_t>(replica.image.membership.version)));
    json_object_set_new(root.get(), "replica", item);
  }
  out.answer(requestId, 200, dumpJson(root.get()));
}

void answerConfig(const control::ControlClient& client, std::uint64_t requestId, Outbox& out) {
  Json root(json_object());
  json_object_set_new(root.get(), "revision", json_integer(static_cast<json_int_t>(client.configVersion)));
  Json config = parseJson(client.configText);
  json_object_set_new(root.get(), "configuration", config ? config.release() : json_object());
  out.answer(requestId, 200, dumpJson(root.get()));
}

void changeConfig(Node& node, const Ask& ask, bool whole, Now now, Outbox& out) {
  auto& client = clientOf(node);
  control::Edit edit;
  edit.whole = whole;
  edit.body = ask.body;
  edit.name = ask.requestName;
  for (const auto& [key, value] : http::queryOf(ask.query)) {
    const bool number =
        !value.empty() && value.size() < 19 && value.find_first_not_of("0123456789") == std::string::npos;
    if (key != "expected" || !number) {
      ++node.rejectedAsks;
      return out.answer(ask.requestId, 422, config::faultsJson(Kind::badValue, {{"?" + key, "expected=REVISION"}}));
    }
    edit.expected = std::stoull(value);
  }
  Json body = parseJson(edit.body);
  if (!body || !json_is_object(body.get()))
    return control::answerKind(out, ask.requestId, Kind::malformed, client.settings.bounds);
  config::Config checked;
  std::vector<config::Fault> faults;
  if (whole && !config::readConfig(body.get(), checked, faults))
    return out.answer(ask.requestId, rowOf(Kind::invalidConfig).status,
                      config::faultsJson(Kind::invalidConfig, faults));
  control::proposeConfig(client, ask.requestId, std::move(edit), ask.deadlineMs * 9 / 10, now, out);
}

void askLeader(Node& node, const Ask& ask, http::Wanted& wanted, CallKind kind, Now now, Outbox& out) {
  CallAsk call;
  call.requestId = ask.requestId;
  call.id = {node.incarnations.self, ask.requestId};
  call.call = kind;
  call.pending = wanted.pending;
  call.job = wanted.job;
  if (kind == CallKind::submit) call.spec = jobs::packSpec(wanted.spec);
  scheduler::callLeader(*node.scheduler, std::move(call), ask.deadlineMs, now, out);
}

// What a caller may be told or asked to wait for rests on the configuration that this daemon has: without a session it
// can't know whether that is still the one in force.
bool restsOnConfig(const Ask& ask) { return ask.face == FaceKind::callers; }

void proposeOrder(Node& node, const Ask& ask, control::Edit edit, Now now, Outbox& out) {
  auto& client = clientOf(node);
  if (edit.zoneOrder) edit.zoneOrder->madeOn = client.configVersion;
  control::proposeConfig(client, ask.requestId, std::move(edit), ask.deadlineMs * 9 / 10, now, out);
}

CallKind callKindOf(Call call) {
  if (call == Call::submit) return CallKind::submit;
  if (call == Call::cancelJob) return CallKind::cancelJob;
  if (call == Call::countPending) return CallKind::countPending;
  return CallKind::getJob;
}

/// Whose request it is, and whether it may be made.
struct Access {
  bool granted = false;
  TenantName tenant;  // empty: none is needed and none is named
};

/// A request for a queue needs a key of a tenant, unless the queue is open to all or there are no tenants.
Access accessOf(const config::Config& config, const Ask& ask, const QueueName& queueName) {
  const auto* tenant = ask.key.empty() ? nullptr : config::tenantOf(config, ask.key);
  if (tenant) return {true, tenant->name};
  const auto queue = config.queues.find(queueName.value);
  const bool open = !config.tenantsGiven || queue == config.queues.end() || !queue->second.needsKey;
  return {open, {}};
}

void onAdapter(Node& node, const Ask& ask, Now now, Outbox& out) {
  auto& client = clientOf(node);
  const bool live = control::sessionLive(client, now);
  auto reject = [&](Kind kind, std::string_view detail = {}) {
    ++node.rejectedAsks;
    control::answerKind(out, ask.requestId, kind, client.settings.bounds, detail);
  };
  // A large body on this listener can only be a change of the configuration. Reading it takes a small machine a good
  // part of a lease, so one that is to be made elsewhere is not read here.
  if (const auto elsewhere = configEditor(client, ask.body.size()); elsewhere && ask.face == FaceKind::control) {
    node.adapterCalls[ask.requestId] = Call::patchConfig;
    return live ? out.redirect(ask.requestId, *elsewhere) : reject(Kind::notReady);
  }
  auto wanted = node.adapter->read(ask, *client.config);
  node.adapterCalls[ask.requestId] = wanted.call;
  if (restsOnConfig(ask) && !live) return reject(Kind::notReady);
  const auto access = accessOf(*client.config, ask, wanted.pending);
  if (restsOnConfig(ask) && !access.granted) return reject(Kind::unauthorized);
  if (wanted.rejection != Kind::ok) return reject(wanted.rejection, wanted.detail);
  wanted.spec.tenant = access.tenant;
  switch (wanted.call) {
    case Call::ready:
      return client.ready && live ? out.tell(ask.requestId, Kind::ok, {}) : reject(Kind::notReady);
    case Call::submit:
      if (!node.scheduler) return reject(Kind::noSuchRoute);
      if (const auto verdict = jobs::checkSpec(wanted.spec, *client.config); verdict.kind != Kind::ok)
        return reject(verdict.kind, verdict.field);
      return askLeader(node, ask, wanted, callKindOf(wanted.call), now, out);
    case Call::getJob:
    case Call::cancelJob:
    case Call::countPending:
      if (!node.scheduler) return reject(Kind::noSuchRoute);
      return askLeader(node, ask, wanted, callKindOf(wanted.call), now, out);
    case Call::putConfig:
    case Call::patchConfig:
    case Call::emptyZone:
    case Call::takeBackZone:
      if (!live) return reject(Kind::notReady);
      return proposeOrder(node, ask, std::move(wanted.edit), now, out);
    case Call::getConfig: {
      if (!live || client.configVersion == 0) return reject(Kind::notReady);
      if (const auto elsewhere = configReader(client)) return out.redirect(ask.requestId, *elsewhere);
      CallResult brief;
      brief.text = client.configText;
      return out.tell(ask.requestId, Kind::ok, std::move(brief));
    }
    case Call::report:
      if (!node.agent) return reject(Kind::noSuchRoute);
      return agent::workerReport(*node.agent, ask.requestId, wanted.report, now, out);
    case Call::workerLeaves:
      if (!node.agent) return reject(Kind::noSuchRoute);
      return agent::workerLeaves(*node.agent, ask.requestId, wanted.report.incarnation, now, out);
    default:
      return reject(Kind::noSuchRoute);
  }
}

// Answers a call that the table of routes lets this daemon take itself.
void answerCall(Node& node, const Ask& ask, const http::Outcome& outcome, Now now, Outbox& out) {
  const auto& client = clientOf(node);
  switch (outcome.call) {
    case Call::none:
      return;
    case Call::live:
      return out.answer(ask.requestId, 200, "{\"live\":true}");
    case Call::ready:
      if (client.ready) return out.answer(ask.requestId, 200, "{\"ready\":true}");
      return control::answerKind(out, ask.requestId, Kind::notReady, client.settings.bounds);
    case Call::counters:
      return answerCounters(node, ask.requestId, now, out);
    case Call::log: {
      Json list(json_array());
      for (const auto& line : ledgerLines()) json_array_append_new(list.get(), jsonText(line));
      return out.answer(ask.requestId, 200, dumpJson(list.get()));
    }
    case Call::leader:
      return answerLeader(node, ask.requestId, now, out);
    case Call::members:
      return out.answer(ask.requestId, 200, dumpJson(membersView(client).get()));
    case Call::snapshot:
      return scheduler::snapshotJobs(*node.scheduler, ask.requestId, membersView(client), now, out);
    case Call::getConfig:
      return answerConfig(client, ask.requestId, out);
    case Call::putConfig:
      return changeConfig(node, ask, true, now, out);
    case Call::patchConfig:
      return changeConfig(node, ask, false, now, out);
    case Call::submit:
      return scheduler::submitJob(*node.scheduler, ask.requestId, ask.body, now, out);
    case Call::listJobs:
      return scheduler::listJobs(*node.scheduler, ask.requestId, http::queryOf(ask.query), out);
    case Call::getJob:
      return scheduler::getJob(*node.scheduler, {ask.requestId, false, {}}, JobId(outcome.names.at("job")), out);
    case Call::cancelJob:
      return scheduler::cancelJob(*node.scheduler, {ask.requestId, false, {}}, JobId(outcome.names.at("job")), now,
                                  out);
    case Call::workers:
      return scheduler::listWorkers(*node.scheduler, ask.requestId, now, out);
    case Call::trace:
      return scheduler::traceJobs(*node.scheduler, ask.requestId, out);
    case Call::report:
      return agent::workerReport(*node.agent, ask.requestId, ask.body, now, out);
    case Call::countPending:
      return scheduler::countPending(*node.scheduler, {ask.requestId, false, {}},
                                     QueueName(outcome.names.at("pending")), out);
    case Call::emptyZone:
    case Call::takeBackZone:
    case Call::workerLeaves:
      return control::answerKind(out, ask.requestId, Kind::noSuchRoute, client.settings.bounds);
  }
}

void onAsk(Node& node, const Ask& ask, Now now, Outbox& out) {
  ++node.asks;
  auto& client = clientOf(node);
  if (ask.face != FaceKind::own && node.adapter) return onAdapter(node, ask, now, out);
  if (node.rules.empty() || node.compiledFor != client.configVersion) {
    node.rules = http::compile(*client.config, client.settings.role);
    node.compiledFor = client.configVersion;
  }
  const bool leading = node.scheduler && scheduler::leads(*node.scheduler, now);
  const http::Scene scene{control::sessionLive(client, now), leading, client.leader.http, client.settings.http, 2};
  const auto outcome = http::interpret(node.rules, ask, scene);
  if (outcome.course == http::Course::reject) {
    ++node.rejectedAsks;
    return control::answerKind(out, ask.requestId, outcome.kind, client.settings.bounds, ask.method + " " + ask.path);
  }
  if (outcome.course == http::Course::forward) {
    ++node.proxiedAsks;
    out.forwards.push_back({ask.requestId, client.leader.http});
    return;
  }
  answerCall(node, ask, outcome, now, out);
}

}  // namespace

const control::ControlClient& clientOf(const Node& node) {
  return node.replica ? node.replica->client : node.scheduler ? node.scheduler->client : node.agent->client;
}

control::ControlClient& clientOf(Node& node) {
  return node.replica ? node.replica->client : node.scheduler ? node.scheduler->client : node.agent->client;
}

Node makeNode(const Settings& settings, const DaemonId& id, const std::string& incarnation, storage::Image image,
              Now now) {
  Node node;
  node.incarnations.self = incarnationOf(incarnation);
  node.incarnations.address = settings.peerAddress;
  node.incarnations.bounds = settings.bounds;
  if (settings.role == Role::replica) node.replica = control::makeReplica(settings, std::move(image), incarnation, now);
  if (settings.role == Role::scheduler) node.scheduler = scheduler::makeScheduler(settings, id, incarnation);
  if (settings.role == Role::agent) node.agent = agent::makeAgent(settings, id, incarnation);
  return node;
}

namespace {

/// Replicas and schedulers tell what they know to be wrong with the control side; a node that leaves does not.
void checkAlarms(Node& node, Now now, Outbox& out) {
  if (node.agent || node.leavingSinceMs >= 0) return;
  const auto& client = clientOf(node);
  const bool knowsLeader = !client.leader.http.empty() || (node.scheduler && scheduler::leads(*node.scheduler, now));
  const auto conditions = node.replica ? control::replicaConditions(*node.replica, now)
                                       : control::clientConditions(client, knowsLeader, now);
  control::updateAlarms(node.alarms, conditions, client.settings.bounds, now, out.alarms);
}

void step(Node& node, const Event& event, Now now, Outbox& out) {
  if (const auto* ask = std::get_if<Ask>(&event)) return onAsk(node, *ask, now, out);
  auto& client = clientOf(node);
  if (std::holds_alternative<PoliteStop>(event)) {
    if (node.leavingSinceMs < 0) node.leavingSinceMs = now.steadyMs;
    client.leaving = true;
    client.ready = false;
    if (node.scheduler) scheduler::schedulerResign(*node.scheduler, now, out);
    control::heartbeatNow(client, now, out);
    return;
  }
  if (const auto* heard = std::get_if<Heard>(&event)) {
    if (node.replica) control::replicaStep(*node.replica, event, now, out);
    if (node.scheduler) scheduler::schedulerHeard(*node.scheduler, *heard, now, out);
    if (node.agent) agent::agentHeard(*node.agent, *heard, now, out);
    return;
  }
  if (node.replica) control::replicaStep(*node.replica, event, now, out);
  if (!std::holds_alternative<Tick>(event)) return;
  if (!node.replica) control::clientTick(client, now, out);
  if (node.scheduler) scheduler::schedulerTick(*node.scheduler, now, out);
  if (node.agent) agent::agentTick(*node.agent, now, out);
  checkAlarms(node, now, out);
  if (node.leavingSinceMs < 0) return;
  const bool handedOver = !node.replica || control::mayLeave(*node.replica, now);
  if (handedOver && now.steadyMs - node.leavingSinceMs >= client.settings.bounds.heartbeatMs()) out.done = true;
}

// The only way in for messages: what is meant for, or sent by, another incarnation ends here.
void admitAndStep(Node& node, const Event& event, Now now, Outbox& out) {
  std::vector<Heard> released;
  const bool admitted = admit(node.incarnations, std::get<Heard>(event), now, out, released);
  for (auto& earlier : released) step(node, std::move(earlier), now, out);
  if (admitted) step(node, event, now, out);
}

}  // namespace

void nodeStep(Node& node, const Event& event, Now now, Outbox& out) {
  const auto before = out.answers.size();
  if (std::holds_alternative<Heard>(event))
    admitAndStep(node, event, now, out);
  else
    step(node, event, now, out);
  if (std::holds_alternative<Tick>(event)) retryProbes(node.incarnations, now, out);
  addressTo(node.incarnations, out.sends);
  if (node.adapterCalls.empty()) return;
  for (std::size_t i = before; i < out.answers.size(); ++i)
    if (auto found = node.adapterCalls.find(out.answers[i].requestId); found != node.adapterCalls.end()) {
      const auto call = found->second;
      node.adapterCalls.erase(found);
      out.answers[i] = node.adapter->write(call, std::move(out.answers[i]));
    }
}

}  // namespace tulip::daemon
