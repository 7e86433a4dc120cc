#include "http/routes.hpp"

#include <algorithm>
#include <cctype>

namespace tulip::http {
namespace {

bool leads(const config::Queue& line, std::string_view host, std::string_view path) {
  return !line.prefix.empty() && line.host == host && path.starts_with(line.prefix);
}

}  // namespace

std::string plainHost(std::string_view host) {
  std::string plain(host.substr(0, host.rfind(':')));
  std::ranges::transform(plain, plain.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return plain;
}

void Routes::readAgain(const config::Config& config) {
  seen_ = &config;
  operatorVersion_ = config.operatorVersion;
  count_ = config.queues.size();
  byHost_.clear();
  for (const auto& [name, line] : config.queues)
    if (!line.prefix.empty()) byHost_[line.host].push_back({line.prefix, name});
  for (auto& [host, routes] : byHost_)
    std::ranges::sort(routes, [](const Route& a, const Route& b) { return a.prefix.size() > b.prefix.size(); });
}

const config::Queue* Routes::find(const config::Config& config, std::string_view host, std::string_view path) {
  if (seen_ != &config || operatorVersion_ != config.operatorVersion || count_ != config.queues.size())
    readAgain(config);
  const auto plain = plainHost(host);
  if (const auto routes = byHost_.find(plain); routes != byHost_.end())
    for (const auto& route : routes->second) {
      if (!path.starts_with(route.prefix)) continue;
      const auto line = config.queues.find(route.name);
      if (line != config.queues.end() && leads(line->second, plain, path)) return &line->second;
      break;
    }
  // Not there, or another chart came to lie where the one read before did.
  const config::Queue* longest = nullptr;
  for (const auto& [name, line] : config.queues)
    if (leads(line, plain, path) && (!longest || line.prefix.size() > longest->prefix.size())) longest = &line;
  if (longest) readAgain(config);
  return longest;
}

}  // namespace tulip::http
