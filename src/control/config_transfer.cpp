#include "control/config_transfer.hpp"

#include <algorithm>
#include <utility>

#include "control/client.hpp"

namespace tulip::control {

using namespace transport;

namespace {

constexpr std::int64_t kBitsPerByte = 8;
constexpr Millis kPiecesPerHeartbeat = 4;
constexpr std::uint64_t kLeastPieceBytes = 4u << 10;

/// A piece that is asked for again before it can have come only fills the link.
Millis askAgainMs(const Bounds& bounds) { return bounds.leaseMs / 2; }

void askNextPiece(ControlClient& client, const Address& replica, Now now, Outbox& out) {
  auto& transfer = client.configTransfer;
  transfer.source = replica;
  transfer.askedMs = now.steadyMs;
  ConfigAsk ask;
  ask.version = transfer.version;
  ask.has = client.configVersion;
  ask.offset = transfer.content.size();
  ask.mostBytes = mostConfigBytes(client.settings);
  out.send(replica, ask);
}

void begin(ControlClient& client, Version version, Now now) {
  auto& transfer = client.configTransfer;
  transfer = ConfigTransfer{};
  transfer.version = version;
  transfer.progressMs = now.steadyMs;
}

bool ofThisContent(const ConfigTransfer& transfer, const ConfigPiece& piece) {
  return piece.version == transfer.version && piece.base == transfer.base && piece.textDigest == transfer.textDigest &&
         piece.totalBytes == transfer.totalBytes;
}

/// Whether the piece is the next one. The first one says of what content all are to be.
bool takePiece(ConfigTransfer& transfer, const ConfigPiece& piece) {
  if (piece.offset == 0 && transfer.content.empty() && piece.version >= transfer.version) {
    transfer.version = piece.version;
    transfer.base = piece.base;
    transfer.textDigest = piece.textDigest;
    transfer.totalBytes = piece.totalBytes;
  }
  if (!ofThisContent(transfer, piece) || piece.offset != transfer.content.size() || piece.bytes.empty()) return false;
  if (piece.bytes.size() > piece.totalBytes - piece.offset) return false;
  transfer.content += piece.bytes;
  return true;
}

/// The text that the content makes; empty when it makes none, or another than the replica has.
std::string textOf(const ControlClient& client, const ConfigTransfer& transfer) {
  if (transfer.base != 0 && transfer.base != client.configVersion) return {};
  auto text = transfer.base == 0 ? transfer.content : config::applyDelta(client.configText, transfer.content);
  if (fnv1a(text) != transfer.textDigest) return {};
  return text;
}

}  // namespace

std::uint64_t mostConfigBytes(const Settings& settings) {
  if (settings.linkKbps <= 0) return 0;
  const auto pieceMs = settings.bounds.heartbeatMs() / kPiecesPerHeartbeat;
  return std::max(kLeastPieceBytes, static_cast<std::uint64_t>(settings.linkKbps * pieceMs / kBitsPerByte));
}

void heardConfigOffer(ControlClient& client, const Address& from, const SessionGrant& grant, Now now, Outbox& out) {
  if (grant.configBytes == 0 || grant.configVersion <= client.configVersion) return;
  auto& transfer = client.configTransfer;
  if (!transfer.underWay()) {
    begin(client, grant.configVersion, now);
    return askNextPiece(client, from, now, out);
  }
  const bool asked = transfer.source == from && now.steadyMs - transfer.askedMs < askAgainMs(client.settings.bounds);
  if (!asked) askNextPiece(client, from, now, out);
}

void heardConfigPiece(ControlClient& client, const Address& from, const ConfigPiece& piece, Now now, Outbox& out) {
  auto& transfer = client.configTransfer;
  if (!transfer.underWay()) return;
  client.grantedMs = from == client.home ? now.steadyMs : client.grantedMs;
  if (!takePiece(transfer, piece)) {
    // A replica may no longer have the version, or not the one that a delta was made to: it goes by other content.
    if (piece.version < transfer.version || ofThisContent(transfer, piece)) return;
    begin(client, piece.version, now);
    return askNextPiece(client, from, now, out);
  }
  transfer.progressMs = now.steadyMs;
  if (transfer.content.size() < transfer.totalBytes) return askNextPiece(client, from, now, out);
  auto text = textOf(client, transfer);
  const auto version = std::exchange(transfer, {}).version;
  if (!text.empty() && version > client.configVersion) installConfig(client, version, std::move(text), now, out);
}

void configTransferTick(ControlClient& client, Now now, Outbox& out) {
  auto& transfer = client.configTransfer;
  if (!transfer.underWay()) return;
  if (transfer.version <= client.configVersion) {
    transfer = {};
    return;
  }
  const auto againMs = askAgainMs(client.settings.bounds);
  if (now.steadyMs - transfer.askedMs >= againMs && !client.home.empty()) askNextPiece(client, client.home, now, out);
}

bool configArrives(const ControlClient& client, Now now) {
  const auto& transfer = client.configTransfer;
  return transfer.underWay() && now.steadyMs - transfer.progressMs < askAgainMs(client.settings.bounds);
}

}  // namespace tulip::control
