#include "simulator/sim.hpp"

namespace tulip::simulator {

using namespace transport;

void Sim::cutOff(const Host& host) {
  for (const auto& other : hosts_) {
    if (other.get() == &host) continue;
    cut(host, *other);
    cut(*other, host);
  }
}

void Sim::carry(Host& from, const Send& send) {
  auto found = bySignal_.find(send.to);
  if (found == bySignal_.end()) return;
  Host& to = *found->second;
  ++frames_;
  const bool self = &to == &from;
  if (!self && (isCut(from, to) || chance(plan.network.drop))) return;
  const auto incarnation = from.node->incarnations.self;
  Heard heard{from.id, from.settings.peerAddress, send.message, send.to, incarnation, send.toIncarnation};
  const auto frameOf = [&] {
    return Frame{protocolVersionOf(send.message),
                 from.id,
                 from.settings.peerAddress,
                 send.to,
                 send.message,
                 incarnation,
                 send.toIncarnation};
  };
  constexpr std::uint64_t kCodecEvery = 16;
  if (meter) {
    const std::string kind(messageName(send.message));
    auto& out = meter->rows[{roleAt(from), kind}];
    auto fromNs = threadNs();
    const auto bytes = encode(frameOf());
    out.encodeNs += meter->since(fromNs);
    ++out.sent;
    out.sentBytes += bytes.size();
    auto& in = meter->rows[{roleAt(to), kind}];
    Frame frame;
    fromNs = threadNs();
    if (decode(bytes, frame) != Decoded::ok) std::abort();
    in.decodeNs += meter->since(fromNs);
    in.receivedBytes += bytes.size();
    heard.message = std::move(frame.message);
  } else if (frames_ % kCodecEvery == 0) {
    Frame frame;
    if (decode(encode(frameOf()), frame) != Decoded::ok) std::abort();
    heard.message = std::move(frame.message);
  }
  const int copies = !self && chance(plan.network.duplicate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Micros span = self ? 1 : travelTime();
    if (!self && chance(plan.network.late)) span += below(plan.network.lateUs);
    if (self)
      after(span, [this, &to, heard] { give(to, heard); });
    else
      after(span, [this, &to, heard, name = from.name, sentUs = now_] { arrive(name, to, heard, sentUs); });
  }
}

void Sim::arrive(const std::string& from, Host& to, const Heard& heard, Micros sentUs) {
  if (network_.isCut(from, to.name) || network_.lostByReset(from, to.name, sentUs)) return;
  const auto readableUs = network_.readableAt(from, to.name, now_);
  if (readableUs == now_) return give(to, heard);
  if (readableUs > now_) at(readableUs, [this, &to, heard] { give(to, heard); });
}

void Sim::stallLink(const Host& from, const Host& to, Micros spanUs) {
  trouble();
  network_.stall(from.name, to.name, now_ + spanUs);
}

void Sim::resetConnections(Host& host) {
  if (!host.up) return;
  mark("reset connections " + host.name);
  trouble();
  network_.reset(host.name, now_ - below(plan.network.mostUs), now_);
  loseCallers(host, 1.0);
}

}  // namespace tulip::simulator
