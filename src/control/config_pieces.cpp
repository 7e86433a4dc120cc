// Configurations in pieces, for daemons on narrow links: what of a version is sent, and a piece of it.
#include <algorithm>

#include "control/replica_internal.hpp"

namespace tulip::control {

using namespace transport;

namespace {

const std::string* textOf(const ReplicaState& replica, Version version) {
  if (version == replica.learned.version) return &replica.learned.text;
  const auto older =
      std::ranges::find(replica.olderTexts, version, [](const auto& versionAndText) { return versionAndText.first; });
  return older == replica.olderTexts.end() ? nullptr : &older->second;
}

std::uint64_t textDigest(ReplicaState& replica, Version version, const std::string& text) {
  const auto [digest, fresh] = replica.textDigests.try_emplace(version);
  if (fresh) digest->second = fnv1a(text);
  return digest->second;
}

}  // namespace

ConfigContent contentFor(ReplicaState& replica, Version has) {
  const auto* text = has == replica.learned.version ? nullptr : textOf(replica, has);
  if (text) {
    const auto [delta, made] = replica.deltas.try_emplace(has);
    if (made) delta->second = config::makeDelta(*text, replica.learned.text);
    if (!delta->second.empty()) return {has, &delta->second};
  }
  return {0, &replica.learned.text};
}

void onConfigAsk(ReplicaState& replica, const Heard& heard, const ConfigAsk& ask, Now now, Outbox& out) {
  if (!mayGrant(replica, now) || replica.learned.version < ask.version || ask.mostBytes == 0) return;
  const auto* text = textOf(replica, ask.version);
  const bool newest = !text || ask.version == replica.learned.version;
  const auto content = newest ? contentFor(replica, ask.has) : ConfigContent{0, text};
  ConfigPiece piece;
  piece.version = newest ? replica.learned.version : ask.version;
  piece.base = content.base;
  piece.textDigest = textDigest(replica, piece.version, newest ? replica.learned.text : *text);
  piece.totalBytes = content.bytes->size();
  piece.offset = piece.version == ask.version ? std::min<std::uint64_t>(ask.offset, piece.totalBytes) : 0;
  piece.bytes = content.bytes->substr(piece.offset, ask.mostBytes);
  out.reply(heard, std::move(piece));
}

}  // namespace tulip::control
