#pragma once
#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace tulip {

template <class Tag> struct Name {
  std::string value;
  Name() = default;
  explicit Name(std::string_view text) : value(text) {}
  auto operator<=>(const Name&) const = default;
  bool empty() const { return value.empty(); }
  std::string_view view() const { return value; }
  template <class Packer> void msgpack_pack(Packer& packer) const { packer.pack(value); }
  void msgpack_unpack(const msgpack::object& object) { object.convert(value); }
};

using DaemonId = Name<struct DaemonTag>;
using CellName = Name<struct CellTag>;
using WorkerId = Name<struct WorkerTag>;
using JobId = Name<struct JobTag>;
using RunId = Name<struct RunTag>;
using PoolName = Name<struct PoolTag>;
using PendingName = Name<struct PendingTag>;
using Address = Name<struct AddressTag>;

using Millis = std::int64_t;
using Revision = std::uint64_t;

struct Ballot {
  std::uint64_t number = 0;
  std::string owner;
  auto operator<=>(const Ballot&) const = default;
  MSGPACK_DEFINE(number, owner)
};

enum class Role : std::uint8_t { quay, pilot, tender };
std::string_view roleName(Role role);

}  // namespace tulip
MSGPACK_ADD_ENUM(tulip::Role)
