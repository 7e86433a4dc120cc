#pragma once
/// Which daemon answers a read of the configuration, or takes a change of it, that came in through a protocol adapter.
///
/// A configuration of hundreds of queues takes a narrow link longer than a caller waits, and the daemon's own
/// heartbeats wait behind it. Such a daemon sends the caller on to the machine of the replica that grants its session:
/// that one has a session of its own, or says at once that it has none. A large change is sent on for the same reason:
/// it would pass the narrow link once more on its way to the replica that proposes it.
#include <optional>

#include "control/client.hpp"

namespace tulip::daemon {

/// The listener that answers instead of this daemon; none where this daemon answers itself.
std::optional<Address> configReader(const control::ControlClient& client);

/// The listener that is to take a change with a body of so many bytes; none where this daemon takes it.
std::optional<Address> configEditor(const control::ControlClient& client, std::size_t bodyBytes);

}  // namespace tulip::daemon
