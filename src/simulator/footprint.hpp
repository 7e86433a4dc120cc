#pragma once
#include <cstddef>

#include "daemon/node.hpp"

/// How much a daemon keeps in memory.
namespace tulip::simulator {

/// About the bytes that the node's state holds, found by visiting every field; what is shared within the node counts
/// once.
std::size_t footprintOf(const daemon::Node& node);

}  // namespace tulip::simulator
