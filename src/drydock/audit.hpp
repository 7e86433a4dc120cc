#pragma once
#include "drydock/world.hpp"

namespace tulip::drydock {

// Asks for everything a last time, closes the judge's books and fills the day's result.
void audit(World& world);

}  // namespace tulip::drydock
