#pragma once
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

/// Unpacks the first value of the bytes. Throws what msgpack throws, all of it a std::exception.
inline msgpack::object_handle unpackBounded(std::string_view bytes) {
  return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, unpackLimit(bytes.size()));
}

}  // namespace tulip
