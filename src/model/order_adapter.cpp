#include "model/order_adapter.hpp"

#include "base/json.hpp"

namespace tulip::model {
namespace {

// A section of the configuration that the daemons keep and don't read: it says
// which order made the configuration.
constexpr const char* kSection = "origin";
constexpr const char* kField = "order";

std::string bodyOf(const Order& order) { return R"({"origin":{"order":)" + std::to_string(order.index) + "}}"; }

class OrderAdapter final : public http::ProtocolAdapter {
 public:
  http::HeaderNames headers() const override { return {}; }

  http::Wanted read(const transport::Ask& ask, const config::Config&) const override {
    const Order order = orderOf(std::stoll(ask.query));
    http::Wanted wanted;
    wanted.call = http::Call::putConfig;
    wanted.edit.whole = true;
    wanted.edit.sections = true;
    wanted.edit.body = ask.body;
    wanted.edit.name = ask.requestName;
    wanted.edit.operatorVersion = order.number;
    wanted.edit.basedOn = order.basedOn;
    return wanted;
  }

  transport::Answer write(http::Call, transport::Answer answer) const override { return answer; }
};

}  // namespace

transport::Ask requestOf(const Order& order, std::uint64_t requestId, Millis deadlineMs) {
  transport::Ask ask;
  ask.requestId = requestId;
  ask.method = "PUT";
  ask.path = "/configuration";
  ask.query = std::to_string(order.index);
  ask.body = bodyOf(order);
  ask.requestName = "order-" + std::to_string(order.index);
  ask.deadlineMs = deadlineMs;
  ask.face = FaceKind::control;
  return ask;
}

std::int64_t orderIn(std::string_view configText) {
  const Json root = parseJson(configText);
  const json_t* found = json_object_get(json_object_get(root.get(), kSection), kField);
  return json_is_integer(found) ? json_integer_value(found) : -1;
}

std::shared_ptr<const http::ProtocolAdapter> orderAdapter() {
  static const auto adapter = std::make_shared<const OrderAdapter>();
  return adapter;
}

}  // namespace tulip::model
