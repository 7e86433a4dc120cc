#pragma once
#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <string_view>

namespace tulip {

/// How deep what is unpacked may be nested. The deepest message has less than a third of it.
inline constexpr std::size_t kMostUnpackDepth = 32;

/// For bytes that may come from anywhere: each element takes a byte at least, so what they claim to hold is bounded by
/// how many they are. Without it a header of five bytes has memory reserved for four thousand million elements.
inline msgpack::unpack_limit unpackLimit(std::size_t bytes) {
  return {bytes, bytes, bytes, bytes, bytes, kMostUnpackDepth};
}

/// For bytes of a sender that is trusted with as much memory as they ask for.
inline constexpr std::size_t kAnyUnpackedBytes = std::numeric_limits<std::size_t>::max();

/// Counts the elements of packed bytes without unpacking them, and stops past its bounds.
class ElementCounter : public msgpack::null_visitor {
 public:
  explicit ElementCounter(std::size_t most) : most_(most) {}

  bool start_array(std::uint32_t) { return ++depth_ <= kMostUnpackDepth; }
  bool start_map(std::uint32_t) { return ++depth_ <= kMostUnpackDepth; }
  bool end_array() { return --depth_, true; }
  bool end_map() { return --depth_, true; }
  bool start_array_item() { return ++elements_ <= most_; }
  bool start_map_key() { return ++elements_ <= most_; }
  bool start_map_value() { return ++elements_ <= most_; }

 private:
  std::size_t most_;
  std::size_t elements_ = 0;
  std::size_t depth_ = 0;
};

/// Whether the elements of the packed bytes fit so much memory: one of a byte takes many once it is unpacked.
inline bool unpacksWithin(std::string_view bytes, std::size_t mostBytes) {
  const auto most = mostBytes / sizeof(msgpack::object);
  if (bytes.size() <= most) return true;
  ElementCounter counter(most);
  return msgpack::parse(bytes.data(), bytes.size(), counter);
}

/// Unpacks the first value of the bytes. Throws what msgpack throws, all of it a std::exception.
inline msgpack::object_handle unpackBounded(std::string_view bytes, std::size_t mostBytes = kAnyUnpackedBytes) {
  if (!unpacksWithin(bytes, mostBytes)) throw msgpack::array_size_overflow("more elements than are unpacked here");
  return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, unpackLimit(bytes.size()));
}

}  // namespace tulip
