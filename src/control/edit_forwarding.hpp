#pragma once
/// Changes of the configuration that a daemon hands to a replica, and that one to the proposer.
///
/// A proposer receives the whole value of the register from the voters and sends it to each of them. On a daemon with a
/// narrow link, its heartbeats and grants would wait behind that. So only the edit passes the daemon's link, once for
/// each replica that it is handed to. An edit may be handed to several: it has a name or a number of its own, and the
/// register says of those what became of them.
///
/// One replica proposes for all as long as it is in touch (see configProposer in replica_internal.hpp). Several would
/// outbid each other, each time at the cost of a whole round.
#include <optional>
#include <string>
#include <vector>

#include "control/edit.hpp"
#include "transport/core.hpp"

namespace tulip::control {

struct ControlClient;

/// The daemon that an edit came from, and the edit's id there.
struct EditAsker {
  Address from;
  Incarnation incarnation;
  EditId id;
};

/// An edit on its way, from the request until its answer.
struct ForwardedEdit {
  std::uint64_t requestId = 0;
  std::optional<EditAsker> asker;  // that is answered in place of a request
  transport::EditAsk ask;
  Address to;  // that it was last handed to
  Millis sinceMs = 0;
  Millis sentMs = 0;
  Millis deadlineMs = 0;
  int timesSent = 0;
};

/// Whether another proposes this daemon's edits: for a replica the proposer, for others the replica that grants the
/// session.
bool forwardsEdits(const ControlClient& client, transport::Now now);

/// Hands the edit on; the request is answered by deadlineMs from now.
void forwardEdit(ControlClient& client, std::uint64_t requestId, Edit edit, Millis deadlineMs, transport::Now now,
                 transport::Outbox& out);

void heardEditAnswer(ControlClient& client, const transport::EditAnswer& answer, transport::Now now,
                     transport::Outbox& out);

/// Hands edits to the new home replica or proposer after a change of it, hands them over again, and gives up what is
/// due.
void forwardedEditsTick(ControlClient& client, transport::Now now, transport::Outbox& out);

/// On a replica: proposes the edit for the daemon that sent it or hands it to the proposer, unless it is under way
/// already.
void proposeForAnother(ControlClient& client, const transport::Heard& heard, const transport::EditAsk& ask,
                       transport::Now now, transport::Outbox& out);

/// On a replica that can't propose now: has the daemon hand the edit over again, by then perhaps to another.
void refuseEdit(const transport::Heard& heard, const transport::EditAsk& ask, transport::Outbox& out);

}  // namespace tulip::control
