#pragma once
#include <algorithm>
#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "base/hash.hpp"

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
  template <class H>
  friend H AbslHashValue(H state, const Name& name) {
    return H::combine(std::move(state), name.value);
  }
};

using DaemonId = Name<struct DaemonTag>;
using ZoneName = Name<struct ZoneTag>;
using WorkerId = Name<struct WorkerTag>;
using JobId = Name<struct JobTag>;
using AttemptId = Name<struct AttemptTag>;
using PoolName = Name<struct PoolTag>;
using QueueName = Name<struct QueueTag>;
using TenantName = Name<struct TenantTag>;
using Address = Name<struct AddressTag>;

using Millis = std::int64_t;
using Version = std::uint64_t;

/// One run of a process, from its start to its end. Drawn at random at each start; 0 stands for an unknown one.
struct Incarnation {
  std::uint64_t value = 0;
  auto operator<=>(const Incarnation&) const = default;
  template <class Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack(value);
  }
  void msgpack_unpack(const msgpack::object& object) { object.convert(value); }
};

/// The incarnation of the process that drew this random name at its start.
inline Incarnation incarnationOf(std::string_view drawnName) { return {std::max<std::uint64_t>(1, fnv1a(drawnName))}; }

/// The id of a question: unique over processes and their restarts, since the number is unique within the incarnation.
template <class Tag>
struct QuestionId {
  Incarnation incarnation;
  std::uint64_t number = 0;
  auto operator<=>(const QuestionId&) const = default;
  MSGPACK_DEFINE(incarnation, number)
};

using CallId = QuestionId<struct CallTag>;
using CatchUpId = QuestionId<struct CatchUpTag>;
using EditId = QuestionId<struct EditTag>;

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
