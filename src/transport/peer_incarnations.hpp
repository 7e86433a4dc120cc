#pragma once
#include <map>
#include <set>
#include <span>
#include <vector>

#include "transport/core.hpp"

/// Decides which process is the current one at each peer address, and drops what is meant for, or sent by, another.
///
/// Every process start draws an Incarnation. Incarnations are random, so they tell processes apart but don't order
/// them. Two observations order them, and neither needs a clock:
///
/// - A message that names this process as its addressee was sent after this process started. That admits the first
///   incarnation heard at an address.
/// - Any later incarnation at that address has to answer an IncarnationProbe whose number was drawn after the current
///   one was accepted. At most one process runs at an address at a time, so whoever answers started later.
///
/// Messages of an incarnation that has not answered yet are held, and handled in their order once it has.
namespace tulip::transport {

/// An incarnation at a peer address that has not yet shown that it runs there now.
struct IncarnationCandidate {
  Incarnation incarnation;
  std::uint64_t probe = 0;  // the number that its proof has to carry
  Millis probedMs = 0;
  Millis heardMs = 0;
  std::vector<Heard> held;
};

/// What is known of the processes at one peer address.
struct PeerIncarnation {
  Incarnation current;  // Incarnation{}: none yet, or a process of the protocol before incarnations
  Millis heardMs = 0;
  Millis correctedMs = -1000000;  // when the current one was last told that it addresses an earlier incarnation
  std::vector<IncarnationCandidate> candidates;
};

struct IncarnationCounts {
  std::uint64_t misaddressed = 0, unproved = 0, superseded = 0, probes = 0;
};

/// The identities of a node's peers, as one process of the node sees them.
struct PeerIncarnations {
  Incarnation self;
  Address address;
  Bounds bounds;
  std::map<Address, PeerIncarnation> peers;
  std::set<Address> unproved;  // addresses with candidates
  std::uint64_t lastProbe = 0;
  IncarnationCounts counts;
};

/// Whether the message is to be handled now. Messages that were held and are to be handled before it go to released.
bool admit(PeerIncarnations& state, const Heard& heard, Now now, Outbox& out, std::vector<Heard>& released);

/// Repeats probes that were not answered and forgets candidates that are no longer heard.
void retryProbes(PeerIncarnations& state, Now now, Outbox& out);

/// Writes the addressee's incarnation into each message that names none, where it is known.
void addressTo(const PeerIncarnations& state, std::span<Send> sends);

}  // namespace tulip::transport
