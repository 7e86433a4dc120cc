#include "simulator/sim.hpp"

namespace tulip::simulator {

using namespace transport;

void Sim::cutOff(const Host& host) {
  for (const auto& other : hosts_) {
    if (other->machine == host.machine) continue;
    cut(host, *other);
    cut(*other, host);
  }
}

void Sim::carry(Host& from, const Send& send) {
  auto found = bySignal_.find(send.to);
  if (found == bySignal_.end()) return;
  Host& to = *found->second;
  ++frames_;
  const bool local = to.machine == from.machine;
  if (!local && (isCut(from, to) || chance(plan.network.drop))) return;
  std::size_t bytes = 0;
  const auto heard = weighed(from, to, send, bytes);
  if (local) return after(1, [this, &to, heard] { give(to, heard); });
  if (plan.links.timed()) return travelTimed(from, to, heard, bytes);
  const int copies = chance(plan.network.duplicate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Micros spanUs = travelTime();
    if (chance(plan.network.late)) spanUs += below(plan.network.lateUs);
    travel(from, to, heard, spanUs);
  }
}

/// What the addressee hears, and the size of its frame where links or a meter ask for it.
Heard Sim::weighed(Host& from, Host& to, const Send& send, std::size_t& bytes) {
  const auto incarnation = from.node->incarnations.self;
  Heard heard{from.id, from.settings.peerAddress, send.message, send.to, incarnation, send.toIncarnation};
  const auto encoded = [&] {
    return encode(Frame{protocolVersionOf(send.message), from.id, from.settings.peerAddress, send.to, send.message,
                        incarnation, send.toIncarnation});
  };
  constexpr std::uint64_t kCodecEvery = 16;
  const bool decodes = meter || frames_ % kCodecEvery == 0;
  if (!decodes && !plan.links.timed()) return heard;
  auto fromNs = meter ? threadNs() : 0;
  const auto text = encoded();
  bytes = text.size();
  Frame frame;
  if (meter) {
    auto& out = meter->rows[{roleAt(from), std::string(messageName(send.message))}];
    out.encodeNs += meter->since(fromNs);
    ++out.sent;
    out.sentBytes += bytes;
    fromNs = threadNs();
  }
  if (decodes) {
    if (decode(text, frame) != Decoded::ok) std::abort();
    heard.message = std::move(frame.message);
  }
  if (meter) {
    auto& in = meter->rows[{roleAt(to), std::string(messageName(send.message))}];
    in.decodeNs += meter->since(fromNs);
    in.receivedBytes += bytes;
  }
  return heard;
}

void Sim::travel(Host& from, Host& to, const Heard& heard, Micros spanUs) {
  after(spanUs, [this, &from, &to, heard, sentUs = now_] { arrive(from, to, heard, sentUs); });
}

/// Over a connection: what was under way when the receiver's process ended or the sender's machine lost power is lost.
void Sim::travelTimed(Host& from, Host& to, const Heard& heard, std::size_t bytes) {
  constexpr std::size_t kHeaderBytes = 64;
  const auto arrivalUs = links_.arrivalUs(from.machine, to.machine, bytes + kHeaderBytes, travelTime(), now_);
  if (!arrivalUs) return;
  at(*arrivalUs, [this, &from, &to, heard, sentUs = now_, life = to.lives] {
    if (to.lives == life && from.powered) arrive(from, to, heard, sentUs);
  });
}

void Sim::arrive(const Host& from, Host& to, const Heard& heard, Micros sentUs) {
  if (isCut(from, to) || network_.lostByReset(from.machine, to.machine, sentUs)) return;
  const auto readableUs = network_.readableAt(from.machine, to.machine, now_);
  if (readableUs == now_) return give(to, heard);
  if (readableUs > now_) at(readableUs, [this, &to, heard] { give(to, heard); });
}

/// How long a call's request or answer takes between its caller and the machine.
Micros Sim::callTravelUs(const Host& host, std::size_t bytes, bool answer) {
  const auto travelUs = travelTime();
  if (!plan.links.timed() || host.settings.role == Role::agent) return travelUs;
  constexpr std::size_t kHeaderBytes = 300;
  const auto sized = bytes + kHeaderBytes;
  const auto arrivalUs = answer ? links_.sentUs(host.machine, sized, now_) + travelUs
                                : links_.receivedUs(host.machine, sized, now_ + travelUs);
  return arrivalUs - now_;
}

void Sim::stallLink(const Host& from, const Host& to, Micros spanUs) {
  trouble();
  network_.stall(from.machine, to.machine, now_ + spanUs);
}

void Sim::resetConnections(Host& host) {
  if (!host.up) return;
  mark("reset connections " + host.name);
  trouble();
  network_.reset(host.machine, now_ - below(plan.network.mostUs), now_);
  links_.disconnect(host.machine, now_);
  for (auto* node : nodesBeside(host)) loseCallers(*node, 1.0);
}

}  // namespace tulip::simulator
