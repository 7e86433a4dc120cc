#pragma once
#include "simulator/world.hpp"

namespace tulip::simulator {

// Asks for everything a last time, closes the judge's books and fills the day's
// result.
void audit(World& world);

}  // namespace tulip::simulator
