#include <absl/container/flat_hash_map.h>

#include <boost/crc.hpp>

#include "base/unpack.hpp"
#include "config/config.hpp"

namespace tulip::config {
namespace {

struct Piece {
  std::uint64_t from = 0;  // in base
  std::uint64_t size = 0;  // 0: the text itself
  std::string text;
  MSGPACK_DEFINE(from, size, text)
};

struct Delta {
  std::uint32_t baseSum = 0;
  std::uint32_t nextSum = 0;
  std::vector<Piece> pieces;
  MSGPACK_DEFINE(baseSum, nextSum, pieces)
};

std::uint32_t sumOf(std::string_view text) {
  boost::crc_32_type crc;
  crc.process_bytes(text.data(), text.size());
  return crc.checksum();
}

std::vector<std::string_view> chunksOf(std::string_view text) {
  std::vector<std::string_view> chunks;
  while (!text.empty()) {
    const auto end = text.find("},\"");
    const auto size = end == std::string_view::npos ? text.size() : end + 2;
    chunks.push_back(text.substr(0, size));
    text.remove_prefix(size);
  }
  return chunks;
}

}  // namespace

std::string makeDelta(std::string_view base, std::string_view next) {
  absl::flat_hash_map<std::string_view, std::uint64_t> places;
  for (const auto chunk : chunksOf(base)) places.emplace(chunk, static_cast<std::uint64_t>(chunk.data() - base.data()));
  Delta delta{sumOf(base), sumOf(next), {}};
  for (const auto chunk : chunksOf(next)) {
    auto* last = delta.pieces.empty() ? nullptr : &delta.pieces.back();
    if (last && last->size > 0 && base.substr(last->from + last->size).starts_with(chunk)) {
      last->size += chunk.size();
      continue;
    }
    if (const auto found = places.find(chunk); found != places.end())
      delta.pieces.push_back({found->second, chunk.size(), {}});
    else if (last && last->size == 0)
      last->text += chunk;
    else
      delta.pieces.push_back({0, 0, std::string(chunk)});
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, delta);
  if (buffer.size() * 2 > next.size()) return {};
  return std::string(buffer.data(), buffer.size());
}

std::string applyDelta(std::string_view base, std::string_view bytes) {
  try {
    const auto delta = unpackBounded(bytes).get().as<Delta>();
    if (delta.baseSum != sumOf(base)) return {};
    std::string next;
    for (const auto& piece : delta.pieces) {
      if (piece.size == 0)
        next += piece.text;
      else if (piece.from > base.size() || piece.size > base.size() - piece.from)
        return {};
      else
        next += base.substr(piece.from, piece.size);
    }
    return sumOf(next) == delta.nextSum ? next : std::string();
  } catch (const std::exception&) {
    return {};
  }
}

}  // namespace tulip::config
