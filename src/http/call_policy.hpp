/// The table of calls: which may be sent again, after what, why that is harmless, and what is answered when a call got
/// no answer. Every decision to send a call again goes through it; docs/design/calls.md explains its rows.
#pragma once
#include <cstdint>
#include <span>
#include <string_view>

#include "base/errors.hpp"
#include "transport/messages.hpp"

namespace tulip::http {

enum class CallClass : std::uint8_t {
  read,           ///< answered from state, changes nothing
  submitJob,      ///< named by the job's id and told from another by the digest of its content
  cancelJob,      ///< named by the job's id
  namedChange,    ///< a change of the configuration that carries the name of its request
  unnamedChange,  ///< a change of the configuration without a name: a second one is another change
  workerReport,   ///< numbered by the worker
  other,          ///< nothing is known of it
};

/// How a try of a call ended without the answer that was wanted.
enum class Loss : std::uint8_t {
  unreached,       ///< no connection came about, so nothing has left
  reset,           ///< the connection ended before a whole answer was there
  silence,         ///< no answer in time
  leaderMoved,     ///< the one that was asked no longer leads
  badGateway,      ///< status 502
  unavailable,     ///< status 503
  gatewayTimeout,  ///< status 504
  answered,        ///< any other status: the call is over
};

struct CallPolicy {
  CallClass call = CallClass::other;
  bool changes = true;      ///< carried out, it has an effect
  bool repeatable = false;  ///< arriving a second time, it has no second effect
  std::string_view reason;  ///< what makes the repeat harmless, or why it is not
};

std::span<const CallPolicy> callPolicies();
const CallPolicy& policyOf(CallClass call);

/// The class of a call of the own interface. `named`: it carries the name of its request.
CallClass classOfOwnCall(std::string_view method, std::string_view path, bool named);
/// The class of a call through a protocol adapter, of which only the method is known.
CallClass classOfAdapterCall(std::string_view method);
CallClass classOf(transport::CallKind call);

Loss lossOf(int status);
/// Whether a call whose try ended so may be sent again. One that has not left always may.
bool mayRepeat(CallClass call, Loss loss);
/// What is answered when no try got an answer. `left`: at least one try may have arrived.
Kind kindWithoutAnswer(CallClass call, bool left);
/// What is answered when a call is given up before its caller's deadline, because nobody answers who could know.
Kind kindOfGivenUp(CallClass call, bool left);
/// What is told of an answer while an earlier try of the call may still arrive elsewhere: a refusal by one daemon does
/// not say that the call had no effect.
Kind kindAfterRepeat(CallClass call, Kind answered);

}  // namespace tulip::http
