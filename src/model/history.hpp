#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "transport/core.hpp"

namespace tulip::model {

/// A property that does not hold, and what was seen.
struct Violation {
  std::string property;
  std::string detail;
};

/// How many orders of different content share a number. The last is kept for
/// the checks of progress.
inline constexpr std::int64_t kOrdersPerNumber = 4;

/// A configuration change that operators send: it builds on operator version
/// `basedOn` and brings `number`.
struct Order {
  std::int64_t index = 0;
  Version basedOn = 0;
  Version number = 0;
};
Order orderOf(std::int64_t index);

/// What the operators know of one order.
struct OrderRecord {
  int sent = 0;
  bool acknowledged = false;
  bool refused = false;
  Version version = 0;  ///< the configuration that it was acknowledged in
};

/// One request that is under way: at which machine, in which of its lives.
struct RequestKey {
  std::size_t machine = 0;
  int life = 0;
  std::uint64_t requestId = 0;
  auto operator<=>(const RequestKey&) const = default;
};

struct PendingRequest {
  std::int64_t order = 0;
  bool resentAfterAcknowledgement = false;
};

/// A configuration as some daemon has had it in force.
struct ConfigurationInForce {
  std::size_t textHash = 0;
  std::int64_t order = -1;  ///< the order that made it; -1: none
};

using RegisterBallot = std::pair<std::string, Ballot>;

/// What outside observers have seen of a world so far; the properties are
/// stated over it.
struct History {
  std::map<RegisterBallot, std::size_t> proposedValues;       ///< hash of the value proposed under a ballot
  std::map<RegisterBallot, std::set<DaemonId>> durableVotes;  ///< replicas that synced a value under a ballot
  std::set<RegisterBallot> countedAsChosen;                   ///< ballots that some proposer took for chosen
  std::map<Version, ConfigurationInForce> inForce;
  std::map<std::int64_t, OrderRecord> orders;
  std::map<RequestKey, PendingRequest> requests;
  Version acknowledgedVersion = 0;  ///< newest configuration that an order was acknowledged in
  Version newestVersion = 0;        ///< newest configuration that was ever proposed
  std::vector<Violation> violations;

  void fail(std::string property, std::string detail);
  const OrderRecord* recordOf(std::int64_t order) const;
};

}  // namespace tulip::model
