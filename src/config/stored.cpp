// The configuration as its register keeps it.
#include "base/unpack.hpp"
#include "config/config.hpp"

namespace tulip::config {

Stored readStored(std::string_view value) {
  Stored stored;
  if (value.empty()) return stored;
  try {
    unpackBounded(value).get().convert(stored);
  } catch (const std::exception&) {
    return {};
  }
  return stored;
}

std::string writeStored(const Stored& stored) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, stored);
  return std::string(buffer.data(), buffer.size());
}

}  // namespace tulip::config
