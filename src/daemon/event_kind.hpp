#pragma once
/// The kinds of events that a process steps through, as its queue and its figures tell them apart.
#include <cstdint>
#include <string_view>

#include "transport/core.hpp"

namespace tulip::daemon {

enum class EventKind : std::uint8_t {
  tick,
  request,        ///< of a caller, an operator or a worker
  disk,           ///< a batch that was synced
  replication,    ///< leases of leaders, the job log
  session,        ///< heartbeats, grants, membership, identities of processes
  configuration,  ///< changes of registers and their acknowledgements
  report,         ///< of an agent
  orders,         ///< for an agent
  call,           ///< passed on to the leader, or its answer
  stop,           ///< the process is to end
};

inline constexpr std::size_t kEventKinds = static_cast<std::size_t>(EventKind::stop) + 1;

EventKind kindOf(const transport::Event& event);
std::string_view nameOf(EventKind kind);

/// Whether leases, sessions or acknowledgements of the configuration wait for it: it goes before work.
bool isUrgent(EventKind kind);

}  // namespace tulip::daemon
