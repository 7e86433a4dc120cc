#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/walk.hpp"

namespace tulip::model {

/// A path and the world that it starts from.
struct Replay {
  WorldPlan plan = usualPlan();
  bool settled = true;  ///< from a world that has its first configuration;
                        ///< otherwise from one that has just formed
  Path path;
};

struct NamedReplay {
  std::string_view name;
  std::string_view meaning;
  std::string_view text;
};

/// Paths that have broken a property before; each must hold now.
const std::vector<NamedReplay>& namedReplays();

/// Reads a replay: an optional line `world spares=N formed|settled`, then one
/// choice a line.
std::optional<Replay> parseReplay(std::string_view text, std::size_t& badLine);
std::string textOf(const Replay& replay);

World startOf(const Replay& replay);
PathResult takeReplay(const Replay& replay);

}  // namespace tulip::model
