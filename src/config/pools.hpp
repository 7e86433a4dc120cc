#pragma once
#include "config/config.hpp"

/// Looks up the pools of a configuration: those in force, and removed ones that accepted work may still need.
namespace tulip::config {

/// The pool as it is or, once it is removed, as it was last; null when neither is known.
const Pool* poolOf(const Config& config, const PoolName& name);

/// Whether the pool was removed and its last definition is known.
bool isRemoved(const Config& config, const PoolName& name);

/// How the workers of a pool behave when nobody renews their lease, and how many leases of silence make a worker lost.
struct SilencePolicy {
  bool selfStop = false;
  std::int64_t lostAfterLeases = 1;
};

/// The policy of a worker's pool. Where nobody knows which pool the worker is of (null), the most careful policy of all
/// pools holds. A pool without a known definition proves nothing by silence.
SilencePolicy silencePolicy(const Config& config, const PoolName* pool);

}  // namespace tulip::config
