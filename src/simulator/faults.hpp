#pragma once
#include "simulator/world.hpp"

/// What strikes a simulated day, by name.
namespace tulip::simulator {

using Fault = void (*)(World&);
using FaultTable = std::map<std::string, Fault>;

FaultTable processesFaults();
FaultTable powerFaults();
FaultTable disksFaults();
FaultTable membershipFaults();
FaultTable workersFaults();
FaultTable networkFaults();
FaultTable callersFaults();
FaultTable queuesFaults();
FaultTable mixedFaults();

/// All of the tables above.
const FaultTable& faults();
/// What goes on while a place is struck.
const FaultTable& operations();
void strike(World& world, Host& host);

}  // namespace tulip::simulator
