#pragma once
#include <string_view>
#include <vector>

#include "model/world.hpp"

namespace tulip::model {

struct PropertyRow {
  std::string_view name;
  std::string_view meaning;
};

/// Every property that is checked, in the order in which it is listed.
const std::vector<PropertyRow>& propertyRows();

namespace property {
inline constexpr std::string_view kOneValue = "one-value";
inline constexpr std::string_view kDurableMajority = "durable-majority";
inline constexpr std::string_view kOneConfiguration = "one-configuration";
inline constexpr std::string_view kRefused = "refused-not-in-force";
inline constexpr std::string_view kOneNumber = "one-number";
inline constexpr std::string_view kResend = "resend";
inline constexpr std::string_view kKnowledge = "majority-knows";
inline constexpr std::string_view kFresh = "fresh-sessions";
inline constexpr std::string_view kOneLeader = "one-leader";
inline constexpr std::string_view kFencedTerm = "fenced-term";
inline constexpr std::string_view kProgress = "progress";
inline constexpr std::string_view kRecovery = "recovery";
}  // namespace property

/// What is seen of one step of one machine.
void observeSend(History& history, const Machine& machine, const transport::Message& message);
void observeAnswer(History& history, const Machine& machine, std::size_t index, const transport::Answer& answer);
void observeSync(History& history, Machine& machine, const transport::Persist& persist);
void observeMachine(History& history, const Machine& machine);

/// What must hold between all machines at one moment.
void observeWorld(World& world);

/// Ends the faults of a copy of the world and lets it run: in time it must
/// serve, lead and take orders again.
std::vector<Violation> checkProgress(World world);

/// Ends the faults of a copy of the world: one scheduler must lead within two
/// leases, and from then on the same one.
std::vector<Violation> checkRecovery(World world);

}  // namespace tulip::model
