#include "control/client.hpp"

#include <algorithm>
#include <utility>

namespace tulip::control {

using namespace transport;

std::size_t majority(std::size_t count) { return count / 2 + 1; }

ControlClient makeControlClient(const Settings& settings, const DaemonId& id, std::string incarnation) {
  ControlClient client;
  client.settings = settings;
  client.id = id;
  client.incarnation = std::move(incarnation);
  client.process = incarnationOf(client.incarnation);
  return client;
}

std::vector<Address> voterAddresses(const ControlClient& client) {
  std::vector<Address> all;
  for (const auto& voter : client.membership.voters) all.push_back(voter.peerAddress);
  return all;
}

std::vector<Address> replicaAddresses(const ControlClient& client) {
  if (client.settings.role == Role::replica) return {client.settings.peerAddress};
  auto all = voterAddresses(client);
  for (const auto* more : {&client.settings.seeds, &client.referred})
    for (const auto& address : *more)
      if (std::find(all.begin(), all.end(), address) == all.end()) all.push_back(address);
  return all;
}

void answerKind(Outbox& out, std::uint64_t requestId, Kind kind, const Bounds& bounds, std::string_view detail) {
  const auto& row = rowOf(kind);
  Json root(json_object());
  json_object_set_new(root.get(), "error", jsonText(row.name));
  json_object_set_new(root.get(), "meaning", jsonText(row.meaning));
  if (!detail.empty()) json_object_set_new(root.get(), "detail", jsonText(detail));
  out.answer(requestId, row.status, dumpJson(root.get()),
             static_cast<Millis>(row.retryLeases * static_cast<double>(bounds.leaseMs)), kind);
}

bool clientHeard(ControlClient& client, const Heard& heard, Now now, Outbox& out) {
  if (const auto* grant = std::get_if<SessionGrant>(&heard.message))
    heardGrant(client, heard.from, *grant, now, out);
  else if (const auto* referral = std::get_if<Referral>(&heard.message))
    heardReferral(client, heard.from, *referral);
  else if (const auto* promise = std::get_if<RegisterPromise>(&heard.message))
    heardPromise(client, heard.from, *promise, now, out);
  else if (const auto* accepted = std::get_if<RegisterAccepted>(&heard.message))
    heardAccepted(client, heard.from, *accepted, now, out);
  else if (const auto* acks = std::get_if<AckState>(&heard.message))
    heardAckState(client, heard.from, *acks, now, out);
  else if (const auto* answer = std::get_if<EditAnswer>(&heard.message))
    heardEditAnswer(client, *answer, now, out);
  else if (const auto* piece = std::get_if<ConfigPiece>(&heard.message))
    heardConfigPiece(client, heard.from, *piece, now, out);
  else
    return false;
  return true;
}

void clientTick(ControlClient& client, Now now, Outbox& out) {
  sessionTick(client, now, out);
  configTransferTick(client, now, out);
  forwardedEditsTick(client, now, out);
  proposalsTick(client, now, out);
}

}  // namespace tulip::control
