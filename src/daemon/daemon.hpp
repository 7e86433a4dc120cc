#pragma once
#include "base/settings.hpp"

namespace tulip::daemon {

// Runs every node of one daemon process until it is asked to stop. Returns the process's exit code.
int runDaemon(Role role, const SettingsFlags& flags);

// A random name, unique for all practical purposes: incarnations and request names are made with it.
std::string freshName();

}  // namespace tulip::daemon
