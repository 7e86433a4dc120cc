#include "transport/peer_incarnations.hpp"

#include <algorithm>
#include <utility>

namespace tulip::transport {
namespace {

constexpr std::size_t kMostCandidates = 2;
constexpr std::size_t kMostHeld = 16;

Millis probePauseMs(const PeerIncarnations& state) { return std::max<Millis>(1, state.bounds.heartbeatMs() / 4); }

bool concernsIdentity(const Message& message) {
  return std::holds_alternative<IncarnationProbe>(message) || std::holds_alternative<IncarnationProof>(message);
}

void sendProbe(PeerIncarnations& state, const Address& to, Incarnation incarnation, std::uint64_t number, Outbox& out) {
  ++state.counts.probes;
  out.sends.push_back({to, IncarnationProbe{number}, incarnation});
}

IncarnationCandidate* findCandidate(PeerIncarnation& peer, Incarnation incarnation) {
  const auto found = std::ranges::find(peer.candidates, incarnation, &IncarnationCandidate::incarnation);
  return found == peer.candidates.end() ? nullptr : &*found;
}

// The candidate of this incarnation, probed at once when it is new and again when its probe has gone unanswered.
IncarnationCandidate& challenge(PeerIncarnations& state, PeerIncarnation& peer, const Heard& heard, Now now,
                                Outbox& out) {
  auto* candidate = findCandidate(peer, heard.incarnation);
  if (!candidate) {
    if (peer.candidates.size() >= kMostCandidates) peer.candidates.erase(peer.candidates.begin());
    peer.candidates.push_back({heard.incarnation, ++state.lastProbe, now.steadyMs - probePauseMs(state), 0, {}});
    candidate = &peer.candidates.back();
    state.unproved.insert(heard.from);
  }
  candidate->heardMs = now.steadyMs;
  if (now.steadyMs - candidate->probedMs >= probePauseMs(state)) {
    candidate->probedMs = now.steadyMs;
    sendProbe(state, heard.from, heard.incarnation, candidate->probe, out);
  }
  return *candidate;
}

// From here on this incarnation is the current one. Probes of other candidates were drawn before that and prove nothing
// any more, so they are forgotten; one that runs is heard again and probed anew.
void accept(PeerIncarnations& state, PeerIncarnation& peer, const Heard& heard, Now now, std::vector<Heard>& released) {
  if (peer.current != Incarnation{}) ++state.counts.superseded;
  if (auto* candidate = findCandidate(peer, heard.incarnation)) released = std::move(candidate->held);
  peer.current = heard.incarnation;
  peer.heardMs = now.steadyMs;
  peer.candidates.clear();
  state.unproved.erase(heard.from);
}

// Its sender knows an earlier process at this address. It learns of this one from the addresser of a probe.
void correct(PeerIncarnations& state, PeerIncarnation& peer, const Heard& heard, Now now, Outbox& out) {
  ++state.counts.misaddressed;
  if (heard.incarnation == Incarnation{}) return;
  if (heard.incarnation != peer.current) {
    challenge(state, peer, heard, now, out);
    return;
  }
  if (now.steadyMs - peer.correctedMs < probePauseMs(state)) return;
  peer.correctedMs = now.steadyMs;
  sendProbe(state, heard.from, heard.incarnation, ++state.lastProbe, out);
}

// A process of the protocol before incarnations can't be told from its delayed messages. It is believed unless an
// identified process was heard at its address within the time after which a silent peer's leases have run out.
bool admitUnidentified(PeerIncarnations& state, PeerIncarnation& peer, Now now) {
  if (peer.current != Incarnation{} && now.steadyMs - peer.heardMs < state.bounds.lapseMs()) {
    ++state.counts.unproved;
    return false;
  }
  peer.current = {};
  return true;
}

bool answersProbe(PeerIncarnation& peer, const Heard& heard) {
  const auto* proof = std::get_if<IncarnationProof>(&heard.message);
  const auto* candidate = findCandidate(peer, heard.incarnation);
  return proof && candidate && candidate->probe == proof->number;
}

}  // namespace

bool admit(PeerIncarnations& state, const Heard& heard, Now now, Outbox& out, std::vector<Heard>& released) {
  if (heard.from == state.address) return heard.incarnation == state.self || heard.incarnation == Incarnation{};
  auto& peer = state.peers[heard.from];
  const bool addressed = heard.toIncarnation == state.self;
  if (!addressed && heard.toIncarnation != Incarnation{}) {
    correct(state, peer, heard, now, out);
    return false;
  }
  if (heard.incarnation == Incarnation{}) return admitUnidentified(state, peer, now);
  if (const auto* probe = std::get_if<IncarnationProbe>(&heard.message); probe && addressed)
    out.sends.push_back({heard.from, IncarnationProof{probe->number}, heard.incarnation});
  if (heard.incarnation == peer.current) {
    peer.heardMs = now.steadyMs;
    return !concernsIdentity(heard.message);
  }
  const bool first = peer.current == Incarnation{};
  if (addressed && (first || answersProbe(peer, heard))) {
    accept(state, peer, heard, now, released);
    return !concernsIdentity(heard.message);
  }
  auto& candidate = challenge(state, peer, heard, now, out);
  ++state.counts.unproved;
  if (!concernsIdentity(heard.message) && candidate.held.size() < kMostHeld) candidate.held.push_back(heard);
  return false;
}

void retryProbes(PeerIncarnations& state, Now now, Outbox& out) {
  for (auto at = state.unproved.begin(); at != state.unproved.end();) {
    auto& candidates = state.peers[*at].candidates;
    std::erase_if(candidates, [&](const IncarnationCandidate& candidate) {
      return now.steadyMs - candidate.heardMs > state.bounds.leaseMs;
    });
    for (auto& candidate : candidates) {
      if (now.steadyMs - candidate.probedMs < probePauseMs(state)) continue;
      candidate.probedMs = now.steadyMs;
      sendProbe(state, *at, candidate.incarnation, candidate.probe, out);
    }
    at = candidates.empty() ? state.unproved.erase(at) : std::next(at);
  }
}

void addressTo(const PeerIncarnations& state, std::span<Send> sends) {
  for (auto& send : sends) {
    if (send.toIncarnation != Incarnation{}) continue;
    if (send.to == state.address) {
      send.toIncarnation = state.self;
      continue;
    }
    const auto found = state.peers.find(send.to);
    if (found != state.peers.end()) send.toIncarnation = found->second.current;
  }
}

}  // namespace tulip::transport
