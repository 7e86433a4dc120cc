#pragma once
/// Which tenant a caller's key is of.
#include <string_view>

#include "config/config.hpp"

namespace tulip::config {

/// The tenant that has the key; null when none does. How long it takes doesn't tell how much of a key was right.
const Tenant* tenantOf(const Config& config, std::string_view key);

}  // namespace tulip::config
