#pragma once
#include "http/protocol_adapter.hpp"

/// Lets simulated callers and operators use the faces beside the own interface,
/// whose calls are passed to the leader as messages and whose configurations
/// carry an operator's number.
namespace tulip::simulator {

class CallAdapter final : public http::ProtocolAdapter {
 public:
  http::HeaderNames headers() const override { return {}; }
  http::Wanted read(const transport::Ask& ask, const config::Config& config) const override;
  transport::Answer write(http::Call call, transport::Answer answer) const override;
};

/// The request of an operator that changes the sections named in body under a
/// number of its own.
transport::Ask numberedChange(Version number, Version basedOn, const std::string& body);

}  // namespace tulip::simulator
