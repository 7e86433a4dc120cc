#pragma once
/// What a process tells of itself to those who watch it: the counters that its nodes keep anyway, as metrics.
/// docs/operators.md names the ten figures to watch.
#include <span>
#include <string>

#include "daemon/node.hpp"
#include "http/http.hpp"

namespace tulip::daemon {

/// The metrics of a process with these nodes. Each sample of a node carries its role and its zone.
std::string metricsOf(std::span<const Node* const> nodes, const http::HttpCounts& http, transport::Now now);

}  // namespace tulip::daemon
