#pragma once
#include "simulator/day.hpp"

namespace tulip::simulator {

struct Variant {
  std::string name;
  std::string patch;
};

struct Figure {
  std::string name;
  double value = 0;
};

std::vector<Figure> figuresOf(const DayResult& result, const std::vector<Arrival>& arrivals);
std::string sideBySide(const std::vector<std::pair<std::string, std::vector<Figure>>>& columns);

}  // namespace tulip::simulator
