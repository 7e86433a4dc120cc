#include "config/pools.hpp"

#include <algorithm>

namespace tulip::config {

namespace {

void beMoreCareful(SilencePolicy& policy, const std::map<std::string, Pool>& pools) {
  for (const auto& [name, pool] : pools) {
    policy.selfStop = policy.selfStop && pool.selfStop;
    policy.lostAfterLeases = std::max(policy.lostAfterLeases, pool.lostAfterLeases);
  }
}

}  // namespace

const Pool* poolOf(const Config& config, const PoolName& name) {
  if (const auto found = config.pools.find(name.value); found != config.pools.end()) return &found->second;
  const auto removed = config.former.pools.find(name.value);
  return removed == config.former.pools.end() ? nullptr : &removed->second;
}

bool isRemoved(const Config& config, const PoolName& name) {
  return !config.pools.contains(name.value) && config.former.pools.contains(name.value);
}

SilencePolicy silencePolicy(const Config& config, const PoolName* pool) {
  if (pool) {
    const auto* known = poolOf(config, *pool);
    return known ? SilencePolicy{known->selfStop, known->lostAfterLeases} : SilencePolicy{};
  }
  SilencePolicy strictest{!config.pools.empty(), 1};
  beMoreCareful(strictest, config.pools);
  beMoreCareful(strictest, config.former.pools);
  return strictest;
}

}  // namespace tulip::config
