#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "base/settings.hpp"
#include "http/protocol_adapter.hpp"

namespace tulip::daemon {

// A protocol adapter as it is bound to the daemons: settings in a form of its own, and what is spoken on the faces.
struct ProtocolAdapterEntry {
  std::string (*settingsFile)() = nullptr;  // empty: none is there
  // The settings of every node that one process of the role hosts; a fault names the field and what is allowed.
  bool (*readSettings)(const std::string& file, Role role, std::vector<Settings>& nodes,
                       SettingsFault& fault) = nullptr;
  http::MakeAdapter make = nullptr;
};

// Before main, by name; Env.protocol adapter names the one that is spoken.
bool registerAdapter(std::string_view name, ProtocolAdapterEntry entry);
const ProtocolAdapterEntry* adapterNamed(std::string_view name);
const ProtocolAdapterEntry* adapterWithSettings();

}  // namespace tulip::daemon
