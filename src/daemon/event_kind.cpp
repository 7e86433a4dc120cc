#include "daemon/event_kind.hpp"

#include <array>

namespace tulip::daemon {

using namespace transport;

namespace {

template <class... Kinds, class Message>
bool isOneOf(const Message& message) {
  return (std::holds_alternative<Kinds>(message) || ...);
}

EventKind kindOfMessage(const Message& message) {
  if (isOneOf<AgentReport>(message)) return EventKind::report;
  if (isOneOf<Orders>(message)) return EventKind::orders;
  if (isOneOf<CallAsk, CallAnswer>(message)) return EventKind::call;
  if (isOneOf<JobLogPrepare, JobLogPromise, JobLogAccept, JobLogAccepted, Resign>(message))
    return EventKind::replication;
  if (isOneOf<RegisterPrepare, RegisterPromise, RegisterAccept, RegisterAccepted, RegisterChosen, AckQuery, AckState,
              EditAsk, EditAnswer, ConfigAsk, ConfigPiece>(message))
    return EventKind::configuration;
  return EventKind::session;
}

}  // namespace

EventKind kindOf(const Event& event) {
  if (const auto* heard = std::get_if<Heard>(&event)) return kindOfMessage(heard->message);
  if (std::holds_alternative<Ask>(event)) return EventKind::request;
  if (std::holds_alternative<Persisted>(event)) return EventKind::disk;
  if (std::holds_alternative<Tick>(event)) return EventKind::tick;
  return EventKind::stop;
}

std::string_view nameOf(EventKind kind) {
  constexpr std::array<std::string_view, kEventKinds> names{
      "tick", "request", "disk", "replication", "session", "configuration", "report", "orders", "call", "stop"};
  return names.at(static_cast<std::size_t>(kind));
}

bool isUrgent(EventKind kind) {
  return kind == EventKind::disk || kind == EventKind::replication || kind == EventKind::session ||
         kind == EventKind::configuration;
}

}  // namespace tulip::daemon
