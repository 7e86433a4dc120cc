#pragma once
/// What differs between two texts of a configuration, told without parsing what is the same in both.
///
/// The texts are JSON as it is kept: without spaces, keys in order. A text of any other form has no difference that is
/// told here, and has to be read whole.
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tulip::config {

/// A section of named entries of which some are the same in both texts.
struct KeptSection {
  std::string_view name;
  std::vector<std::string_view> dropped;  // entries of the earlier text that are gone or changed
};

struct TextDifference {
  std::string changed;            // as JSON: the small sections, and of the others the entries that are new or changed
  std::vector<KeptSection> kept;  // their other entries are those of the earlier text
};

/// The views are into `earlier` and `next`.
std::optional<TextDifference> differenceOf(std::string_view earlier, std::string_view next);

}  // namespace tulip::config
