#include "model/history.hpp"

namespace tulip::model {

Order orderOf(std::int64_t index) {
  const auto generation = static_cast<Version>(index / kOrdersPerNumber);
  return {index, generation, generation + 1};
}

void History::fail(std::string property, std::string detail) {
  constexpr std::size_t kMostViolations = 8;
  if (violations.size() < kMostViolations) violations.push_back({std::move(property), std::move(detail)});
}

const OrderRecord* History::recordOf(std::int64_t order) const {
  const auto found = orders.find(order);
  return found == orders.end() ? nullptr : &found->second;
}

}  // namespace tulip::model
