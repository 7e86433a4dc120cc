#pragma once
#include <cstdint>
#include <optional>

#include "model/properties.hpp"

namespace tulip::model {

/// A world whose cluster has formed and that no order has reached.
World formedWorld(const WorldPlan& plan);

/// A world whose cluster has formed, leads and has acknowledged its first
/// order.
World settledWorld(const WorldPlan& plan);

/// What a path led to: the first violation, or none, and the choices that meant
/// something.
struct PathResult {
  Path taken;
  std::vector<Violation> violations;
};

/// Takes the path's choices in turn, passing over those that mean nothing, and
/// checks progress at its end.
PathResult takePath(World world, const Path& path);

struct WalkPlan {
  std::uint64_t seed = 1;
  int walks = 100;
  int choices = 40;  ///< of one walk
};

struct WalkResult {
  int walks = 0;
  std::uint64_t choices = 0;
  std::uint64_t failingSeed = 0;
  PathResult failure;  ///< of the first failing walk; without violations when
                       ///< none failed
};

/// Random walks from the world until one fails or all are done; the walk of a
/// seed is always the same.
WalkResult runWalks(const World& from, const WalkPlan& plan);

/// The shortest path found by leaving out choices and shortening spans that
/// still breaks the same property.
Path shrink(const World& from, const Path& path, std::string_view property);

}  // namespace tulip::model
