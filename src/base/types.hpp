#pragma once
#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace tulip {

template <class Tag>
struct Name {
  std::string value;
  Name() = default;
  explicit Name(std::string_view text) : value(text) {}
  auto operator<=>(const Name&) const = default;
  bool empty() const { return value.empty(); }
  std::string_view view() const { return value; }
  template <class Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack(value);
  }
  void msgpack_unpack(const msgpack::object& object) { object.convert(value); }
};

using DaemonId = Name<struct DaemonTag>;
using ZoneName = Name<struct ZoneTag>;
using WorkerId = Name<struct WorkerTag>;
using JobId = Name<struct JobTag>;
using AttemptId = Name<struct AttemptTag>;
using PoolName = Name<struct PoolTag>;
using QueueName = Name<struct QueueTag>;
using Address = Name<struct AddressTag>;

using Millis = std::int64_t;
using Version = std::uint64_t;

struct Ballot {
  std::uint64_t number = 0;
  std::string owner;
  auto operator<=>(const Ballot&) const = default;
  MSGPACK_DEFINE(number, owner)
};

enum class Role : std::uint8_t { replica, scheduler, agent };
std::string_view roleName(Role role);

}  // namespace tulip
MSGPACK_ADD_ENUM(tulip::Role)
