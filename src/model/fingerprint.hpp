#pragma once
#include <cstdint>

#include "model/world.hpp"

namespace tulip::model {

/// A hash of all that decides what a world can do next. Times count relative to
/// the world's own, so that worlds that differ only by when they were reached
/// are one state.
std::uint64_t fingerprintOf(const World& world);

}  // namespace tulip::model
