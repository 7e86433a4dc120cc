#include "scheduler/promised_state.hpp"

#include <algorithm>
#include <string_view>

namespace tulip::scheduler {

using namespace transport;

namespace {

struct NewestEntry {
  const Entry* entry = nullptr;
  bool lacksValue = false;
};

using NewestEntries = std::map<std::string_view, NewestEntry>;

bool lacksValue(const JobLogPromise& promise, std::size_t at) {
  return !promise.leftOut.empty() && (at >= promise.leftOut.size() || promise.leftOut[at] > 0);
}

Ballot newestBase(const Promises& promises) {
  Ballot base;
  for (const auto& [id, promise] : promises) base = std::max(base, promise.base);
  return base;
}

// The highest version of each key among the promises of the newest base, with its value where one of them has it.
NewestEntries newestEntries(const Promises& promises) {
  NewestEntries newest;
  const auto base = newestBase(promises);
  for (const auto& [id, promise] : promises) {
    if (promise.base != base) continue;
    for (std::size_t at = 0; at < promise.entries.size(); ++at) {
      const auto& entry = promise.entries[at];
      const NewestEntry found{&entry, lacksValue(promise, at)};
      auto [slot, fresh] = newest.emplace(entry.key, found);
      if (fresh) continue;
      auto& known = slot->second;
      const bool bringsValue = known.entry->version == entry.version && known.lacksValue && !found.lacksValue;
      if (known.entry->version < entry.version || bringsValue) known = found;
    }
  }
  return newest;
}

}  // namespace

std::vector<DaemonId> holdersOfMissingValues(const Promises& promises) {
  const auto base = newestBase(promises);
  const auto newest = newestEntries(promises);
  const auto isMissing = [&](const Entry& entry) {
    const auto& known = newest.at(entry.key);
    return known.lacksValue && known.entry->version == entry.version;
  };
  std::vector<DaemonId> holders;
  for (const auto& [id, promise] : promises)
    if (promise.base == base && std::ranges::any_of(promise.entries, isMissing)) holders.push_back(id);
  return holders;
}

PromisedState takeNewest(Promises& promises) {
  PromisedState state;
  const auto base = newestBase(promises);
  const auto newest = newestEntries(promises);
  for (auto& [id, promise] : promises) {
    if (promise.base != base) continue;
    state.fleetMs = std::max(state.fleetMs, promise.fleetMs);
    for (auto& entry : promise.entries)
      if (newest.at(entry.key).entry == &entry)
        state.entries.emplace(entry.key, Entry{entry.key, entry.version, std::move(entry.value)});
  }
  return state;
}

}  // namespace tulip::scheduler
