#pragma once
#include <memory>

#include "http/protocol_adapter.hpp"
#include "model/history.hpp"

namespace tulip::model {

/// The request by which an operator sends the order to a node.
transport::Ask requestOf(const Order& order, std::uint64_t requestId, Millis deadlineMs);

/// The order that made this configuration; -1 when none did.
std::int64_t orderIn(std::string_view configText);

/// Reads the requests that `requestOf` makes; answers pass through unchanged.
std::shared_ptr<const http::ProtocolAdapter> orderAdapter();

}  // namespace tulip::model
