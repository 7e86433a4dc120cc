#pragma once
#include "bearing/env.hpp"

namespace tulip::roles {

int runDaemon(Role role, const EnvFlags& flags);
int runStevedore(int argc, char** argv);
int runHelm(int argc, char** argv);
int runRoadstead(int argc, char** argv);
int runDrydock(int argc, char** argv);
std::string freshName();

}  // namespace tulip::roles
