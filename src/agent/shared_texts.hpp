#pragma once
/// Texts that many attempts have, each held once for as long as one of them has it.
#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <string_view>

#include "transport/core.hpp"

namespace tulip::agent {

class SharedTexts {
 public:
  /// The one copy of the text.
  transport::SharedText share(std::string_view text);
  /// Forgets the texts that nobody has any more.
  void dropUnused();
  std::size_t size() const { return texts_.size(); }

 private:
  absl::flat_hash_map<std::size_t, std::weak_ptr<const std::string>> texts_;  // by digest
};

}  // namespace tulip::agent
