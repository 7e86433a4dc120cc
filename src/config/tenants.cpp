#include "config/tenants.hpp"

namespace tulip::config {

namespace {

/// Looks at every byte of the key, wherever the first difference is.
bool sameKey(std::string_view known, std::string_view given) {
  if (known.size() != given.size()) return false;
  unsigned char difference = 0;
  for (std::size_t at = 0; at < known.size(); ++at)
    difference = static_cast<unsigned char>(difference | (known[at] ^ given[at]));
  return difference == 0;
}

}  // namespace

const Tenant* tenantOf(const Config& config, std::string_view key) {
  const Tenant* owner = nullptr;
  for (const auto& [name, tenant] : config.tenants)
    for (const auto& known : tenant.keys)
      if (sameKey(known, key)) owner = &tenant;
  return owner;
}

}  // namespace tulip::config
