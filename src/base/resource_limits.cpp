#include "base/resource_limits.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace tulip {
namespace {

// Parts of the memory; what is left is the daemon's own state.
constexpr std::int64_t kClientPart = 8;
constexpr std::int64_t kUnreadPart = 8;
constexpr std::int64_t kParsedPart = 4;
constexpr std::int64_t kUnprovenPeerPart = 4;
constexpr std::int64_t kJobPart = 4;

// Parts of the descriptors; what is left is for proven peers, listeners and files.
constexpr std::int64_t kClientDescriptorPart = 3;  // as many again may be on their way to the leader
constexpr std::int64_t kUnprovenPeerDescriptorPart = 8;
constexpr std::int64_t kOwnDescriptorPart = 8;

constexpr std::int64_t kReceiveBytes = 32LL << 10;
constexpr std::int64_t kMostClientConnections = 3072;
constexpr std::int64_t kFewestConnections = 8;

std::size_t part(std::int64_t whole, std::int64_t parts) { return static_cast<std::size_t>(whole / parts); }

}  // namespace

ConnectionLimits connectionLimits(const ResourceLimits& limits) {
  const auto descriptors = usableDescriptors(limits.descriptors);
  const auto bearable = limits.memoryBytes / kUnreadPart / kReceiveBytes;
  const auto clients = std::min({kMostClientConnections, bearable, descriptors / kClientDescriptorPart});
  ConnectionLimits parts;
  parts.clientBytes = part(limits.memoryBytes, kClientPart);
  parts.clientConnections = static_cast<std::size_t>(std::max(kFewestConnections, clients));
  parts.receiveBytes = kReceiveBytes;
  parts.parsedBytes = part(limits.memoryBytes, kParsedPart);
  parts.unprovenPeerBytes = part(limits.memoryBytes, kUnprovenPeerPart);
  parts.unprovenPeers =
      static_cast<std::size_t>(std::max(kFewestConnections, descriptors / kUnprovenPeerDescriptorPart));
  parts.descriptors = static_cast<std::size_t>(descriptors - descriptors / kOwnDescriptorPart);
  return parts;
}

std::size_t jobBytes(const ResourceLimits& limits) { return part(limits.memoryBytes, kJobPart); }

std::int64_t usableDescriptors(std::int64_t set) {
  constexpr std::int64_t kUnbounded = 1 << 20;
  rlimit allowed{};
  const bool known = ::getrlimit(RLIMIT_NOFILE, &allowed) == 0 && allowed.rlim_cur != RLIM_INFINITY;
  const auto system =
      known ? std::min<std::int64_t>(kUnbounded, static_cast<std::int64_t>(allowed.rlim_cur)) : kUnbounded;
  return set > 0 ? std::min(set, system) : system;
}

}  // namespace tulip
