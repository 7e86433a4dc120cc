#include "simulator/place.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace tulip::simulator {

namespace {

constexpr std::array<std::string_view, 29> kMessages{
    "SessionBeat",      "SessionGrant",     "RegisterPrepare", "RegisterPromise",
    "RegisterAccept",   "RegisterAccepted", "RegisterChosen",  "AckQuery",
    "AckState",         "RangePrepare",     "RangePromise",    "RangeAccept",
    "RangeAccepted",    "Resign",           "ReplicaBeat",     "Form",
    "CatchUpAsk",       "CatchUpGive",      "AgentReport",     "Orders",
    "CallAsk",          "CallAnswer",       "Referral",        "IncarnationProbe",
    "IncarnationProof", "EditAsk",          "EditAnswer",      "ConfigAsk",
    "ConfigPiece"};
static_assert(kMessages.size() == std::variant_size_v<transport::Message>);
constexpr std::array<std::string_view, 3> kSides{"before", "unsent", "sent"};
constexpr std::array<std::string_view, 5> kBlows{"crash", "power", "disk", "freeze", "cut"};

template <class Kind, std::size_t N>
bool among(const std::array<std::string_view, N>& names, const std::string& text, Kind& into) {
  const auto found = std::find(names.begin(), names.end(), text);
  into = static_cast<Kind>(found - names.begin());
  return found != names.end();
}

}  // namespace

std::string_view messageName(const transport::Message& message) { return kMessages[message.index()]; }

std::string pointOf(Role role, const transport::Event& event) {
  const std::string who(roleName(role));
  if (const auto* heard = std::get_if<transport::Heard>(&event))
    return who + "." + std::string(messageName(heard->message));
  if (std::holds_alternative<transport::Ask>(event)) return who + ".Ask";
  if (std::holds_alternative<transport::Persisted>(event)) return who + ".Persisted";
  return {};
}

std::string placeText(const Place& place) {
  return place.point + ":" + std::to_string(place.nth) + ":" +
         std::string(kSides[static_cast<std::size_t>(place.side)]) + ":" +
         std::string(kBlows[static_cast<std::size_t>(place.blow)]);
}

bool readPlace(const std::string& text, Place& place) {
  std::stringstream parts(text);
  std::string nth, side, blow;
  if (!std::getline(parts, place.point, ':') || !std::getline(parts, nth, ':') || !std::getline(parts, side, ':') ||
      !std::getline(parts, blow))
    return false;
  place.nth = std::atoi(nth.c_str());
  return place.nth > 0 && among(kSides, side, place.side) && among(kBlows, blow, place.blow);
}

std::vector<Place> allPlaces(const std::map<std::string, int>& points, int most, bool disks) {
  std::vector<Place> all;
  for (const auto& [point, count] : points)
    for (int nth = 1; nth <= std::min(count, most); ++nth)
      for (const auto side : {Side::before, Side::unsent, Side::sent})
        for (const auto blow : {Blow::crash, Blow::power, Blow::disk, Blow::freeze, Blow::cut}) {
          if (side == Side::unsent && (blow == Blow::freeze || blow == Blow::cut)) continue;
          if (blow == Blow::disk && (!disks || !point.starts_with("replica."))) continue;
          all.push_back({point, nth, side, blow});
        }
  return all;
}

}  // namespace tulip::simulator
