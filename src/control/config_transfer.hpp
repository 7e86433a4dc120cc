#pragma once
/// A large configuration read in pieces by a daemon on a narrow link.
///
/// A grant that carries the whole text holds such a link for most of a lease: heartbeats, grants and acknowledgements
/// wait behind it, and a daemon that hears nothing for half a lease turns to another replica, which sends the whole
/// text again. So a grant only says that there is a newer version, and the daemon asks for its content piece by piece,
/// one piece at a time, with its heartbeats in between. What it has is kept when it turns to another replica: the text
/// of a version is the same everywhere.
#include <string>

#include "transport/core.hpp"

namespace tulip::control {

struct ControlClient;

struct ConfigTransfer {
  Version version = 0;           // that is being read; 0: none is
  Version base = 0;              // the content is a delta to the text of this version; 0: it is the whole text
  std::uint64_t textDigest = 0;  // of the version's whole text
  std::uint64_t totalBytes = 0;
  std::string content;    // the first bytes of it, as far as they have come
  Address source;         // that the next piece was asked of
  Millis askedMs = 0;     // when it was
  Millis progressMs = 0;  // when the last piece came
  bool underWay() const { return version > 0; }
};

/// The most bytes of a configuration that this daemon takes in one message, by the width of its link: what passes it in
/// a quarter of the pause between two heartbeats. 0: as many as there are.
std::uint64_t mostConfigBytes(const Settings& settings);

/// A replica granted under a newer version and left its text out: reads it, or goes on reading an earlier one.
void heardConfigOffer(ControlClient& client, const Address& from, const transport::SessionGrant& grant,
                      transport::Now now, transport::Outbox& out);

void heardConfigPiece(ControlClient& client, const Address& from, const transport::ConfigPiece& piece,
                      transport::Now now, transport::Outbox& out);

/// Asks again for a piece that did not come.
void configTransferTick(ControlClient& client, transport::Now now, transport::Outbox& out);

/// Whether pieces come: the replica that grants no session meanwhile is not to be left for that.
bool configArrives(const ControlClient& client, transport::Now now);

}  // namespace tulip::control
