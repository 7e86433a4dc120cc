#pragma once
/// What the promises of a majority say of the job log. Voters beside the candidate give the values with their promise,
/// the others their versions alone, so that the state passes the candidate's link once and not once for each voter.
#include <absl/container/btree_map.h>

#include <map>
#include <string>
#include <vector>

#include "transport/messages.hpp"

namespace tulip::scheduler {

using Promises = std::map<DaemonId, transport::JobLogPromise>;

/// What the replicas of the newest base hold: everything that was ever committed.
struct PromisedState {
  absl::btree_map<std::string, transport::Entry> entries;
  Millis fleetMs = 0;
};

/// The voters that hold an entry of the newest state whose value no promise has brought; none: the state is whole.
std::vector<DaemonId> holdersOfMissingValues(const Promises& promises);

/// The newest state of promises that leave no value of it out. The promises keep their versions; the values are moved.
PromisedState takeNewest(Promises& promises);

}  // namespace tulip::scheduler
