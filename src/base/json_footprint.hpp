#pragma once
/// How much memory a JSON text takes once it is read.
#include <cstddef>
#include <string_view>

namespace tulip {

/// An upper estimate, in bytes, of the tree that is made of the text. Costs one pass over it and no memory.
std::size_t jsonFootprint(std::string_view text);

}  // namespace tulip
