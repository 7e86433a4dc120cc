#include <tclap/CmdLine.h>

#include <iostream>
#include <map>
#include <memory>

#include "bearing/errors.hpp"
#include "roles/daemon.hpp"

using namespace tulip;

namespace {

constexpr const char* kUsage =
    "usage: tulippitch ROLE [flags]\n"
    "  quay       keeps registers and sessions on a disk machine\n"
    "  pilot      takes calls; one pilot leads\n"
    "  tender     stands beside a worker\n"
    "  stevedore  a stand-in worker\n"
    "  helm       asks and steers from the command line\n"
    "  drydock    the simulator\n"
    "  roadstead  a whole fleet on one machine\n"
    "'tulippitch ROLE --help' lists a role's flags\n";

int daemonOf(Role role, int argc, char** argv) {
  EnvFlags flags;
  if (argc < 2) return roles::runDaemon(role, flags);
  try {
    TCLAP::CmdLine line(std::string(roleName(role)) + " of tulippitch; a settings file takes the same names, flags win", ' ', "0.1.0");
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> args;
    auto add = [&](const std::string& key) {
      args.push_back(std::make_unique<TCLAP::ValueArg<std::string>>("", key, "see docs/operators.md", false, "", "VALUE", line));
    };
    add("env-file");
    for (const auto& key : envKeys()) add(key);
    line.setExceptionHandling(false);
    line.parse(argc, argv);
    for (const auto& arg : args)
      if (arg->isSet()) flags[arg->getName()] = arg->getValue();
  } catch (const TCLAP::ArgException& failed) {
    std::cerr << "flags: " << failed.argId() << ": " << failed.error() << std::endl;
    return rowOf(Kind::badEnv).exitCode;
  }
  return roles::runDaemon(role, flags);
}

int dispatch(const std::string& role, int argc, char** argv) {
  if (role == "quay") return daemonOf(Role::quay, argc, argv);
  if (role == "pilot") return daemonOf(Role::pilot, argc, argv);
  if (role == "tender") return daemonOf(Role::tender, argc, argv);
  if (role == "stevedore") return roles::runStevedore(argc, argv);
  if (role == "helm") return roles::runHelm(argc, argv);
  if (role == "drydock") return roles::runDrydock(argc, argv);
  if (role == "roadstead") return roles::runRoadstead(argc, argv);
  std::cerr << kUsage;
  return role == "--help" || role == "help" ? 0 : 2;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return dispatch(argc > 1 ? argv[1] : "", argc - 1, argv + 1);
  } catch (const TCLAP::ExitException& over) {
    return over.getExitStatus();
  }
}
