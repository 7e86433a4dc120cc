#include "control/edit_forwarding.hpp"

#include <algorithm>
#include <utility>

#include "control/client.hpp"

namespace tulip::control {

using namespace transport;

namespace {

// The home may have lost the edit with a connection; it ignores one that it is at work on.
Millis handAgainMs(const Bounds& bounds) { return bounds.leaseMs; }

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
  edit.to = client.home;
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

}  // namespace

bool forwardsEdits(const ControlClient& client, Now now) {
  return client.settings.role != Role::replica && sessionLive(client, now) && client.editTakers.contains(client.home);
}

void forwardEdit(ControlClient& client, std::uint64_t requestId, Edit edit, Millis deadlineMs, Now now, Outbox& out) {
  ForwardedEdit forwarded;
  forwarded.requestId = requestId;
  forwarded.ask = askOf(std::move(edit));
  forwarded.ask.id = {client.process, ++client.editsForwarded};
  forwarded.sinceMs = now.steadyMs;
  forwarded.deadlineMs = now.steadyMs + deadlineMs;
  client.forwardedEdits.push_back(std::move(forwarded));
  hand(client, client.forwardedEdits.back(), now, out);
}

void heardEditAnswer(ControlClient& client, const EditAnswer& answer, Now now, Outbox& out) {
  const auto& bounds = client.settings.bounds;
  const auto found = std::find_if(client.forwardedEdits.begin(), client.forwardedEdits.end(),
                                  [&](const ForwardedEdit& edit) { return edit.ask.id == answer.id; });
  if (found == client.forwardedEdits.end()) return;
  const auto told = static_cast<Kind>(answer.kind);
  if (told == Kind::notReady) {
    found->sentMs = now.steadyMs - handAgainMs(bounds) + bounds.heartbeatMs();
    out.wakeBy(now.steadyMs + bounds.heartbeatMs());
    return;
  }
  const auto kind = kindOf(*found, told);
  tellSlowEdit(client, *found, now, out);
  if (answer.body.empty() || kind != told)
    answerKind(out, found->requestId, kind, bounds);
  else
    out.answer(found->requestId, static_cast<int>(answer.status), answer.body, 0, kind);
  client.forwardedEdits.erase(found);
}

void forwardedEditsTick(ControlClient& client, Now now, Outbox& out) {
  const auto& bounds = client.settings.bounds;
  for (auto& edit : client.forwardedEdits) {
    if (now.steadyMs >= edit.deadlineMs) {
      tellSlowEdit(client, edit, now, out);
      answerKind(out, edit.requestId, Kind::unknownOutcome, bounds);
      edit.requestId = 0;
      continue;
    }
    const bool moved = edit.to != client.home && sessionLive(client, now);
    if (moved || now.steadyMs - edit.sentMs >= handAgainMs(bounds)) hand(client, edit, now, out);
  }
  std::erase_if(client.forwardedEdits, [](const ForwardedEdit& edit) { return edit.requestId == 0; });
}

void proposeForAnother(ControlClient& client, const Heard& heard, const EditAsk& ask, Now now, Outbox& out) {
  const auto underWay = [&](const Proposal& proposal) {
    return proposal.asker && proposal.asker->id == ask.id && proposal.phase != Phase::done;
  };
  if (std::any_of(client.proposals.begin(), client.proposals.end(), underWay)) return;
  proposeConfigFor(client, {heard.from, heard.incarnation, ask.id}, editOf(ask), ask.deadlineMs, now, out);
}

void refuseEdit(const Heard& heard, const EditAsk& ask, Outbox& out) {
  out.reply(heard, EditAnswer{ask.id, static_cast<std::int64_t>(Kind::notReady), rowOf(Kind::notReady).status, {}});
}

}  // namespace tulip::control
