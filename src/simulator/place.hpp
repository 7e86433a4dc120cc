#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "transport/core.hpp"

namespace tulip::simulator {

enum class Side { before, unsent, sent };
enum class Blow { crash, power, disk, freeze, cut };

struct Place {
  std::string point;
  int nth = 1;
  Side side = Side::before;
  Blow blow = Blow::crash;
};

/// The name of a kind of message, as places and the scale table print it.
std::string_view messageName(const transport::Message& message);
std::string pointOf(Role role, const transport::Event& event);
std::string placeText(const Place& place);
bool readPlace(const std::string& text, Place& place);
std::vector<Place> allPlaces(const std::map<std::string, int>& points, int most, bool disks);

}  // namespace tulip::simulator
