#pragma once
#include "simulator/world.hpp"

namespace tulip::simulator {

using Fault = void (*)(World&);

// By name: what strikes a day, and what a place is struck in.
const std::map<std::string, Fault>& faults();
const std::map<std::string, Fault>& operations();
void strike(World& world, Host& host);

}  // namespace tulip::simulator
