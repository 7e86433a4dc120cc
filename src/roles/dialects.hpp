#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "bearing/env.hpp"
#include "gangway/dialect.hpp"

namespace tulip::roles {

// A dialect as it is bound to the daemons: settings in a form of its own, and what is spoken on the faces.
struct DialectEntry {
  std::string (*settingsFile)() = nullptr;  // empty: none is there
  // The settings of every node that one process of the role hosts; a fault names the field and what is allowed.
  bool (*readSettings)(const std::string& file, Role role, std::vector<Env>& envs, EnvFault& fault) = nullptr;
  gangway::MakeDialect make = nullptr;
};

// Before main, by name; Env.dialect names the one that is spoken.
bool registerDialect(std::string_view name, DialectEntry entry);
const DialectEntry* dialectNamed(std::string_view name);
const DialectEntry* dialectWithSettings();

}  // namespace tulip::roles
