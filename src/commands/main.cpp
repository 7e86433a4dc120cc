#include <tclap/CmdLine.h>

#include <iostream>
#include <map>
#include <memory>

#include "base/errors.hpp"
#include "commands/commands.hpp"
#include "daemon/daemon.hpp"

using namespace tulip;

namespace {

constexpr const char* kUsage =
    "usage: tulippitch ROLE [flags]\n"
    "  replica        keeps the registers and sessions on a machine with a disk\n"
    "  scheduler      takes calls; one scheduler leads\n"
    "  agent          stands beside a worker\n"
    "  stub-worker    a stand-in worker\n"
    "  ctl            asks and steers from the command line\n"
    "  simulate       the simulator\n"
    "  model          the model checker\n"
    "  local-cluster  a whole fleet on one machine\n"
    "'tulippitch ROLE --help' lists a role's flags\n";

struct RoleAlias {
  std::string_view old;
  std::string_view current;
};

// The role words of the releases before, accepted for one release more.
constexpr RoleAlias kRoleAliases[] = {
    {"quay", "replica"},          {"pilot", "scheduler"},  {"tender", "agent"},           {"helm", "ctl"},
    {"stevedore", "stub-worker"}, {"drydock", "simulate"}, {"roadstead", "local-cluster"}};

std::string currentRole(const std::string& role) {
  for (const auto& alias : kRoleAliases) {
    if (role != alias.old) continue;
    std::cerr << "'" << alias.old << "' is now called '" << alias.current
              << "'; the old word goes with the next release" << std::endl;
    return std::string(alias.current);
  }
  return role;
}

int daemonOf(Role role, int argc, char** argv) {
  SettingsFlags flags;
  if (argc < 2) return daemon::runDaemon(role, flags);
  try {
    TCLAP::CmdLine line(std::string(roleName(role)) + " of tulippitch; a settings file takes the same names, flags win",
                        ' ', "0.1.0");
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> args;
    auto add = [&](const std::string& key) {
      args.push_back(
          std::make_unique<TCLAP::ValueArg<std::string>>("", key, "see docs/operators.md", false, "", "VALUE", line));
    };
    add("env-file");
    for (const auto& key : settingsKeys()) add(key);
    line.setExceptionHandling(false);
    line.parse(argc, argv);
    for (const auto& arg : args)
      if (arg->isSet()) flags[arg->getName()] = arg->getValue();
  } catch (const TCLAP::ArgException& failed) {
    std::cerr << "flags: " << failed.argId() << ": " << failed.error() << std::endl;
    return rowOf(Kind::badSettings).exitCode;
  }
  return daemon::runDaemon(role, flags);
}

int dispatch(const std::string& role, int argc, char** argv) {
  if (role == "replica") return daemonOf(Role::replica, argc, argv);
  if (role == "scheduler") return daemonOf(Role::scheduler, argc, argv);
  if (role == "agent") return daemonOf(Role::agent, argc, argv);
  if (role == "stub-worker") return commands::runStubWorker(argc, argv);
  if (role == "ctl") return commands::runCtl(argc, argv);
  if (role == "simulate") return commands::runSimulate(argc, argv);
  if (role == "model") return commands::runModel(argc, argv);
  if (role == "local-cluster") return commands::runLocalCluster(argc, argv);
  std::cerr << kUsage;
  return role == "--help" || role == "help" ? 0 : 2;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return dispatch(currentRole(argc > 1 ? argv[1] : ""), argc - 1, argv + 1);
  } catch (const TCLAP::ExitException& over) {
    return over.getExitStatus();
  }
}
