#include <array>

#include "base/unpack.hpp"
#include "transport/messages.hpp"

namespace tulip::transport {
namespace {

constexpr std::uint32_t kIncarnationProtocolVersion = 3;  // the first with probes and proofs
constexpr std::uint32_t kEditProtocolVersion = 4;         // the first with edits that replicas propose
constexpr std::uint32_t kPieceProtocolVersion = 5;        // the first with configurations in pieces
constexpr std::uint32_t kFewestFrameParts = 6;            // without incarnations, of version 2
constexpr std::uint32_t kFrameParts = 8;

template <std::size_t... Is>
bool unpackKind(std::size_t kind, const msgpack::object& body, Message& message, std::index_sequence<Is...>) {
  bool found = false;
  (void)((kind == Is && (found = true, message = body.as<std::variant_alternative_t<Is, Message>>(), true)) || ...);
  return found;
}

}  // namespace

std::uint32_t protocolVersionOf(const Message& message) {
  const bool identity =
      std::holds_alternative<IncarnationProbe>(message) || std::holds_alternative<IncarnationProof>(message);
  const bool edit = std::holds_alternative<EditAsk>(message) || std::holds_alternative<EditAnswer>(message);
  const bool piece = std::holds_alternative<ConfigAsk>(message) || std::holds_alternative<ConfigPiece>(message);
  if (piece) return kPieceProtocolVersion;
  if (edit) return kEditProtocolVersion;
  return identity ? kIncarnationProtocolVersion : kOldestProtocolVersion;
}

std::string encode(const Frame& frame) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kFrameParts);
  packer.pack(frame.version);
  packer.pack(static_cast<std::uint32_t>(frame.message.index()));
  packer.pack(frame.fromId);
  packer.pack(frame.from);
  packer.pack(frame.to);
  std::visit([&](const auto& body) { packer.pack(body); }, frame.message);
  packer.pack(frame.fromIncarnation);
  packer.pack(frame.toIncarnation);
  return std::string(buffer.data(), buffer.size());
}

Decoded decode(std::string_view bytes, Frame& frame, std::size_t mostBytes) {
  try {
    const auto handle = unpackBounded(bytes, mostBytes);
    const auto& root = handle.get();
    if (root.type != msgpack::type::ARRAY || root.via.array.size < kFewestFrameParts) return Decoded::malformed;
    const auto* parts = root.via.array.ptr;
    frame.version = parts[0].as<std::uint32_t>();
    frame.fromId = parts[2].as<DaemonId>();
    frame.from = parts[3].as<Address>();
    frame.to = parts[4].as<Address>();
    if (frame.version < kOldestProtocolVersion || frame.version > kProtocolVersion) return Decoded::foreignVersion;
    const bool identified = root.via.array.size >= kFrameParts;
    frame.fromIncarnation = identified ? parts[6].as<Incarnation>() : Incarnation{};
    frame.toIncarnation = identified ? parts[7].as<Incarnation>() : Incarnation{};
    const bool known = unpackKind(parts[1].as<std::uint32_t>(), parts[5], frame.message,
                                  std::make_index_sequence<std::variant_size_v<Message>>());
    return known ? Decoded::ok : Decoded::malformed;
  } catch (const std::exception&) {
    return Decoded::malformed;
  }
}

}  // namespace tulip::transport
