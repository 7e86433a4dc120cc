#pragma once
#include <atomic>
#include <cstdint>

namespace tulip::transport {

/// What the connections of a process have carried, and what they hold; read by any thread.
struct WireCounts {
  std::atomic<std::uint64_t> sent{0}, received{0}, dropped{0}, malformed{0}, foreign{0}, writes{0};
  std::atomic<std::uint64_t> superseded{0};      // frames left out of a queue for another that says the same or more
  std::atomic<std::uint64_t> closedUnproven{0};  // connections that sent nothing readable and gave way to others
  std::atomic<std::uint64_t> queuedBytes{0};     // now waiting for their connections
};

}  // namespace tulip::transport
