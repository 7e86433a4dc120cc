#pragma once
#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>
#include <vector>

#include "chart/chart.hpp"

namespace tulip::gangway {

// The pending line that a host and a path lead to: the longest prefix goes first. Read again whenever the chart is another one.
class Routes {
 public:
  const chart::Pending* find(const chart::Chart& chart, std::string_view host, std::string_view path);

 private:
  struct Route {
    std::string prefix;
    std::string name;
  };
  void readAgain(const chart::Chart& chart);
  const chart::Chart* seen_ = nullptr;
  Revision edition_ = 0;
  std::size_t count_ = 0;
  absl::flat_hash_map<std::string, std::vector<Route>> byHost_;
};

std::string plainHost(std::string_view host);  // without its port, in small letters

}  // namespace tulip::gangway
