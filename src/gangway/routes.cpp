#include "gangway/routes.hpp"

#include <algorithm>
#include <cctype>

namespace tulip::gangway {
namespace {

bool leads(const chart::Pending& line, std::string_view host, std::string_view path) {
  return !line.prefix.empty() && line.host == host && path.starts_with(line.prefix);
}

}  // namespace

std::string plainHost(std::string_view host) {
  std::string plain(host.substr(0, host.rfind(':')));
  std::ranges::transform(plain, plain.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return plain;
}

void Routes::readAgain(const chart::Chart& chart) {
  seen_ = &chart;
  edition_ = chart.edition;
  count_ = chart.pendings.size();
  byHost_.clear();
  for (const auto& [name, line] : chart.pendings)
    if (!line.prefix.empty()) byHost_[line.host].push_back({line.prefix, name});
  for (auto& [host, routes] : byHost_)
    std::ranges::sort(routes, [](const Route& a, const Route& b) { return a.prefix.size() > b.prefix.size(); });
}

const chart::Pending* Routes::find(const chart::Chart& chart, std::string_view host, std::string_view path) {
  if (seen_ != &chart || edition_ != chart.edition || count_ != chart.pendings.size()) readAgain(chart);
  const auto plain = plainHost(host);
  if (const auto routes = byHost_.find(plain); routes != byHost_.end())
    for (const auto& route : routes->second) {
      if (!path.starts_with(route.prefix)) continue;
      const auto line = chart.pendings.find(route.name);
      if (line != chart.pendings.end() && leads(line->second, plain, path)) return &line->second;
      break;
    }
  // Not there, or another chart came to lie where the one read before did.
  const chart::Pending* longest = nullptr;
  for (const auto& [name, line] : chart.pendings)
    if (leads(line, plain, path) && (!longest || line.prefix.size() > longest->prefix.size())) longest = &line;
  if (longest) readAgain(chart);
  return longest;
}

}  // namespace tulip::gangway
