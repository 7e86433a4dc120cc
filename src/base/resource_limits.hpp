#pragma once
/// What a process may hold on its machine, and which parts of it those outside may make it hold.
#include <cstddef>
#include <cstdint>

namespace tulip {

/// The memory of the smallest machine that runs a daemon.
inline constexpr std::int64_t kDefaultMemoryBytes = 128LL << 20;

struct ResourceLimits {
  std::int64_t memoryBytes = kDefaultMemoryBytes;
  std::int64_t descriptors = 0;  // that the process may have open; 0: as many as the system allows
};

/// Bounds on what clients, and peers that have not sent a readable frame yet, can make a process hold.
struct ConnectionLimits {
  std::size_t clientBytes = 0;        // of requests and answers, over all clients
  std::size_t clientConnections = 0;  // of clients, at once
  std::size_t receiveBytes = 0;       // that wait unread at one connection of a client
  std::size_t parsedBytes = 0;        // of one request's body, once it is read as JSON
  std::size_t unprovenPeerBytes = 0;  // of frames, over all unproven peers
  std::size_t unprovenPeers = 0;      // connections of them
  std::size_t descriptors = 0;        // for connections of clients and of peers together
};

ConnectionLimits connectionLimits(const ResourceLimits& limits);

/// What open jobs may hold of a scheduler's memory.
std::size_t jobBytes(const ResourceLimits& limits);

/// The descriptors that the process may have open: as set, and no more than the system allows.
std::int64_t usableDescriptors(std::int64_t set);

}  // namespace tulip
