#pragma once
#include <string_view>

#include "base/types.hpp"

/// The parts of an address, "host:port".
namespace tulip {

inline std::string_view hostOf(const Address& address) { return address.view().substr(0, address.view().rfind(':')); }

inline std::string_view portOf(const Address& address) { return address.view().substr(address.view().rfind(':') + 1); }

}  // namespace tulip
