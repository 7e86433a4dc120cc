#include "control/edit_forwarding.hpp"

#include <algorithm>
#include <utility>

#include "control/client.hpp"

namespace tulip::control {

using namespace transport;

namespace {

// The edit may have been lost with a connection; a replica ignores one that it is at work on.
Millis handAgainMs(const Bounds& bounds) { return bounds.leaseMs; }

bool isReplica(const ControlClient& client) { return client.settings.role == Role::replica; }

/// Whom edits are handed to; empty: this daemon proposes them itself.
const Address& editTarget(const ControlClient& client) {
  return isReplica(client) ? client.configProposer : client.home;
}

EditAsk askOf(Edit edit) {
  EditAsk ask;
  ask.whole = edit.whole;
  ask.body = std::move(edit.body);
  ask.expected = edit.expected;
  ask.name = std::move(edit.name);
  ask.sections = edit.sections;
  ask.operatorVersion = edit.operatorVersion;
  ask.basedOn = edit.basedOn;
  if (edit.zoneOrder) {
    ask.zone = edit.zoneOrder->zone;
    ask.zoneEmptied = edit.zoneOrder->emptied;
    ask.zoneMadeOn = edit.zoneOrder->madeOn;
  }
  return ask;
}

// A name that the asking daemon gave counts as one given by the caller: the edit may come again, through another
// replica, so the register has to keep also its refusal.
Edit editOf(const EditAsk& ask) {
  Edit edit;
  edit.whole = ask.whole;
  edit.body = ask.body;
  edit.expected = ask.expected;
  edit.name = ask.name;
  edit.sections = ask.sections;
  edit.operatorVersion = ask.operatorVersion;
  edit.basedOn = ask.basedOn;
  if (!ask.zone.empty()) edit.zoneOrder = ZoneOrder{ask.zone, ask.zoneEmptied, ask.zoneMadeOn};
  return edit;
}

void hand(ControlClient& client, ForwardedEdit& edit, Now now, Outbox& out) {
  edit.to = editTarget(client);
  edit.sentMs = now.steadyMs;
  ++edit.timesSent;
  edit.ask.deadlineMs = edit.deadlineMs - now.steadyMs;
  out.send(edit.to, edit.ask);
  out.wakeBy(now.steadyMs + handAgainMs(client.settings.bounds));
}

// A replica that did not get to propose says so of itself only: another that was handed the edit may have.
Kind kindOf(const ForwardedEdit& edit, Kind told) {
  const bool ofItselfOnly = told == Kind::noMajority || told == Kind::overloaded;
  return ofItselfOnly && edit.timesSent > 1 ? Kind::unknownOutcome : told;
}

/// An edit that took longer than the sessions of silent daemons last is worth a line on its way over this daemon's
/// link.
void tellSlowEdit(const ControlClient& client, const ForwardedEdit& edit, Now now, Outbox& out) {
  const Millis tookMs = now.steadyMs - edit.sinceMs;
  if (tookMs <= client.settings.bounds.lapseMs()) return;
  out.alarms.push_back("slow edit of " + std::to_string(edit.ask.body.size()) + " bytes, handed over " +
                       std::to_string(edit.timesSent) + " times, last to " + edit.to.value + ", took " +
                       std::to_string(tookMs) + " ms");
}

void forward(ControlClient& client, ForwardedEdit edit, Millis deadlineMs, Now now, Outbox& out) {
  edit.sinceMs = now.steadyMs;
  edit.deadlineMs = now.steadyMs + deadlineMs;
  client.forwardedEdits.push_back(std::move(edit));
  hand(client, client.forwardedEdits.back(), now, out);
}

// With an empty body, what the kind means.
void answer(const ControlClient& client, const ForwardedEdit& edit, Kind kind, int status, const std::string& body,
            Outbox& out) {
  if (const auto& asker = edit.asker)
    out.sends.push_back(
        {asker->from, EditAnswer{asker->id, static_cast<std::int64_t>(kind), status, body}, asker->incarnation});
  else if (body.empty())
    answerKind(out, edit.requestId, kind, client.settings.bounds);
  else
    out.answer(edit.requestId, status, body, 0, kind);
}

// Proposes an edit here that was to be proposed by another, with what is left of its time.
void takeBack(ControlClient& client, ForwardedEdit edit, Now now, Outbox& out) {
  const auto leftMs = edit.deadlineMs - now.steadyMs;
  if (edit.asker)
    proposeConfigFor(client, *edit.asker, editOf(edit.ask), leftMs, now, out);
  else
    proposeHere(client, edit.requestId, editOf(edit.ask), leftMs, now, out);
}

// On a replica that has become the proposer: what it had handed to the one before.
void takeBackAll(ControlClient& client, Now now, Outbox& out) {
  for (auto& edit : std::exchange(client.forwardedEdits, {})) takeBack(client, std::move(edit), now, out);
}

}  // namespace

bool forwardsEdits(const ControlClient& client, Now now) {
  if (isReplica(client)) return !client.configProposer.empty();
  return sessionLive(client, now) && client.editTakers.contains(client.home);
}

void forwardEdit(ControlClient& client, std::uint64_t requestId, Edit edit, Millis deadlineMs, Now now, Outbox& out) {
  ForwardedEdit forwarded;
  forwarded.requestId = requestId;
  forwarded.ask = askOf(std::move(edit));
  forwarded.ask.id = {client.process, ++client.editsForwarded};
  forward(client, std::move(forwarded), deadlineMs, now, out);
}

void heardEditAnswer(ControlClient& client, const EditAnswer& told, Now now, Outbox& out) {
  const auto& bounds = client.settings.bounds;
  const auto found = std::find_if(client.forwardedEdits.begin(), client.forwardedEdits.end(),
                                  [&](const ForwardedEdit& edit) { return edit.ask.id == told.id; });
  if (found == client.forwardedEdits.end()) return;
  const auto toldKind = static_cast<Kind>(told.kind);
  if (toldKind == Kind::notReady && isReplica(client)) {
    auto edit = std::move(*found);
    client.forwardedEdits.erase(found);
    return takeBack(client, std::move(edit), now, out);
  }
  if (toldKind == Kind::notReady) {
    found->sentMs = now.steadyMs - handAgainMs(bounds) + bounds.heartbeatMs();
    out.wakeBy(now.steadyMs + bounds.heartbeatMs());
    return;
  }
  const auto kind = kindOf(*found, toldKind);
  tellSlowEdit(client, *found, now, out);
  if (kind != toldKind)
    answer(client, *found, kind, rowOf(kind).status, {}, out);
  else
    answer(client, *found, kind, static_cast<int>(told.status), told.body, out);
  client.forwardedEdits.erase(found);
}

void forwardedEditsTick(ControlClient& client, Now now, Outbox& out) {
  const auto& bounds = client.settings.bounds;
  for (const auto& edit : client.forwardedEdits) {
    if (now.steadyMs < edit.deadlineMs) continue;
    tellSlowEdit(client, edit, now, out);
    answer(client, edit, Kind::unknownOutcome, rowOf(Kind::unknownOutcome).status, {}, out);
  }
  std::erase_if(client.forwardedEdits, [&](const ForwardedEdit& edit) { return now.steadyMs >= edit.deadlineMs; });
  if (isReplica(client) && client.configProposer.empty()) return takeBackAll(client, now, out);
  for (auto& edit : client.forwardedEdits) {
    const bool moved = edit.to != editTarget(client) && (isReplica(client) || sessionLive(client, now));
    if (moved || now.steadyMs - edit.sentMs >= handAgainMs(bounds)) hand(client, edit, now, out);
  }
}

void proposeForAnother(ControlClient& client, const Heard& heard, const EditAsk& ask, Now now, Outbox& out) {
  const EditAsker asker{heard.from, heard.incarnation, ask.id};
  if (!forwardsEdits(client, now)) return proposeConfigFor(client, asker, editOf(ask), ask.deadlineMs, now, out);
  const auto found = std::find_if(client.forwardedEdits.begin(), client.forwardedEdits.end(),
                                  [&](const ForwardedEdit& edit) { return edit.ask.id == ask.id; });
  if (found != client.forwardedEdits.end()) {
    found->asker = asker;
    return;
  }
  ForwardedEdit forwarded;
  forwarded.asker = asker;
  forwarded.ask = ask;
  if (client.forwardedEdits.size() >= kMostProposals)
    return answer(client, forwarded, Kind::overloaded, rowOf(Kind::overloaded).status, {}, out);
  forward(client, std::move(forwarded), ask.deadlineMs, now, out);
}

void refuseEdit(const Heard& heard, const EditAsk& ask, Outbox& out) {
  out.reply(heard, EditAnswer{ask.id, static_cast<std::int64_t>(Kind::notReady), rowOf(Kind::notReady).status, {}});
}

}  // namespace tulip::control
