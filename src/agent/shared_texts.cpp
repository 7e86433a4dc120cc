#include "agent/shared_texts.hpp"

#include <functional>

namespace tulip::agent {

transport::SharedText SharedTexts::share(std::string_view text) {
  auto& slot = texts_[std::hash<std::string_view>()(text)];
  if (auto known = slot.lock(); known && *known == text) return known;
  auto made = std::make_shared<const std::string>(text);
  slot = made;
  return made;
}

void SharedTexts::dropUnused() {
  absl::erase_if(texts_, [](const auto& row) { return row.second.expired(); });
}

}  // namespace tulip::agent
