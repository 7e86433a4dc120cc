#pragma once
#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>
#include <vector>

#include "config/config.hpp"

namespace tulip::http {

// The pending line that a host and a path lead to: the longest prefix goes first. Read again whenever the chart is
// another one.
class Routes {
 public:
  const config::Queue* find(const config::Config& config, std::string_view host, std::string_view path);

 private:
  struct Route {
    std::string prefix;
    std::string name;
  };
  void readAgain(const config::Config& config);
  const config::Config* seen_ = nullptr;
  Version operatorVersion_ = 0;
  std::size_t count_ = 0;
  absl::flat_hash_map<std::string, std::vector<Route>> byHost_;
};

std::string plainHost(std::string_view host);  // without its port, in small letters

}  // namespace tulip::http
