#pragma once
/// Changes of the configuration that a daemon hands to a replica, which proposes them for it.
///
/// A proposer receives the whole value of the register from the voters and sends it to each of them, and all of it
/// again for each message that is not answered in time. On a daemon with a narrow link, its heartbeats and grants would
/// wait behind that. So only the edit passes the daemon's link, once for each replica that it is handed to. An edit may
/// be handed to several: it has a name or a number of its own, and the register says of those what became of them.
#include <string>
#include <vector>

#include "control/edit.hpp"
#include "transport/core.hpp"

namespace tulip::control {

struct ControlClient;

/// An edit on its way, from the request until its answer.
struct ForwardedEdit {
  std::uint64_t requestId = 0;
  transport::EditAsk ask;
  Address to;  // that it was last handed to
  Millis sinceMs = 0;
  Millis sentMs = 0;
  Millis deadlineMs = 0;
  int timesSent = 0;
};

/// Whether the replica that grants this daemon's session proposes edits for it. Not so on a replica itself.
bool forwardsEdits(const ControlClient& client, transport::Now now);

/// Hands the edit to the home replica; the request is answered by deadlineMs from now.
void forwardEdit(ControlClient& client, std::uint64_t requestId, Edit edit, Millis deadlineMs, transport::Now now,
                 transport::Outbox& out);

void heardEditAnswer(ControlClient& client, const transport::EditAnswer& answer, transport::Now now,
                     transport::Outbox& out);

/// Hands edits to the new home replica after a change of it, hands them over again, and gives up what is due.
void forwardedEditsTick(ControlClient& client, transport::Now now, transport::Outbox& out);

/// On a replica: proposes the edit for the daemon that sent it, unless it is under way already.
void proposeForAnother(ControlClient& client, const transport::Heard& heard, const transport::EditAsk& ask,
                       transport::Now now, transport::Outbox& out);

/// On a replica that can't propose now: has the daemon hand the edit over again, by then perhaps to another.
void refuseEdit(const transport::Heard& heard, const transport::EditAsk& ask, transport::Outbox& out);

}  // namespace tulip::control
