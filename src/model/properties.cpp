#include "model/properties.hpp"

#include <algorithm>

#include "base/json.hpp"
#include "model/order_adapter.hpp"

namespace tulip::model {

using namespace transport;

namespace {

std::string textOf(const Ballot& ballot) { return std::to_string(ballot.number) + " of " + ballot.owner; }

std::size_t hashOf(std::string_view text) { return std::hash<std::string_view>{}(text); }

// The key of a register that holds the voters' next membership is any but the
// configuration's.
bool votedForNextMembership(const storage::Image& image) {
  return std::any_of(image.registers.begin(), image.registers.end(), [&](const auto& each) {
    return each.first != control::kConfigKey &&
           storage::unpackMembership(each.second.value).version > image.membership.version;
  });
}

void observeInForce(History& history, const std::string& who, Version version, std::string_view text) {
  if (version == 0) return;
  const auto hash = hashOf(text);
  const auto found = history.inForce.find(version);
  if (found == history.inForce.end()) {
    const auto order = orderIn(text);
    history.inForce[version] = {hash, order};
    if (const auto* record = history.recordOf(order); record && record->refused)
      history.fail(std::string(property::kRefused),
                   "order " + std::to_string(order) + " was refused and is in force at " + who);
    return;
  }
  if (found->second.textHash != hash)
    history.fail(std::string(property::kOneConfiguration),
                 who + " has another configuration " + std::to_string(version) + " than was in force before");
}

Version versionIn(const Answer& answer) {
  const Json body = parseJson(answer.body);
  const json_t* version = json_object_get(body.get(), "revision");
  return json_is_integer(version) ? static_cast<Version>(json_integer_value(version)) : 0;
}

void onAcknowledged(History& history, std::int64_t index, const Answer& answer) {
  auto& record = history.orders[index];
  record.acknowledged = true;
  record.version = versionIn(answer);
  history.acknowledgedVersion = std::max(history.acknowledgedVersion, record.version);
  for (const auto& [other, otherRecord] : history.orders)
    if (other != index && otherRecord.acknowledged && orderOf(other).number == orderOf(index).number)
      history.fail(std::string(property::kOneNumber), "orders " + std::to_string(other) + " and " +
                                                          std::to_string(index) +
                                                          " have one number and were both acknowledged");
}

void onRefused(History& history, const PendingRequest& request, const Answer& answer) {
  auto& record = history.orders[request.order];
  if (request.resentAfterAcknowledgement) {
    if (history.newestVersion <= record.version)
      history.fail(std::string(property::kResend), "order " + std::to_string(request.order) +
                                                       " was acknowledged, sent again and refused as " +
                                                       std::string(rowOf(answer.kind).name));
    return;
  }
  if (record.acknowledged) return;
  record.refused = true;
  for (const auto& [version, configuration] : history.inForce)
    if (configuration.order == request.order)
      history.fail(std::string(property::kRefused), "order " + std::to_string(request.order) +
                                                        " is in force and was refused as " +
                                                        std::string(rowOf(answer.kind).name));
}

const control::ControlClient* clientOf(const Machine& machine) {
  if (!machine.node) return nullptr;
  if (machine.node->replica) return &machine.node->replica->client;
  return &machine.node->scheduler->client;
}

bool leads(const World& world, const Machine& machine) {
  return machine.node && machine.node->scheduler && scheduler::leads(*machine.node->scheduler, world.clockOf(machine));
}

void checkLeaders(World& world) {
  const Machine* first = nullptr;
  for (const auto& machine : world.machines()) {
    if (!leads(world, machine)) continue;
    if (first)
      world.history().fail(std::string(property::kOneLeader), first->name + " and " + machine.name + " both lead");
    first = &machine;
  }
}

void checkSessions(World& world) {
  const auto acknowledged = world.history().acknowledgedVersion;
  for (const auto& machine : world.machines()) {
    const auto* client = clientOf(machine);
    if (!client || !control::sessionLive(*client, world.clockOf(machine))) continue;
    if (client->configVersion < acknowledged)
      world.history().fail(std::string(property::kFresh), machine.name + " has a session with configuration " +
                                                              std::to_string(client->configVersion) + " after " +
                                                              std::to_string(acknowledged) + " was acknowledged");
  }
}

// Voters of one membership that may vote and do not know the newest
// acknowledged configuration: were they a majority, they could choose another
// in its place.
void checkKnowledge(World& world) {
  const auto acknowledged = world.history().acknowledgedVersion;
  if (acknowledged == 0) return;
  std::map<Version, std::size_t> ignorant;
  std::map<Version, std::size_t> voters;
  for (const auto& machine : world.machines()) {
    const auto& image = *machine.disk;
    if (machine.settings.role != Role::replica || image.empty()) continue;
    const auto& members = image.membership.voters;
    voters[image.membership.version] = members.size();
    const bool voter =
        std::any_of(members.begin(), members.end(), [&](const Voter& each) { return each.id == image.id; });
    if (voter && image.voting && machine.configOnDisk < acknowledged && !votedForNextMembership(image))
      ++ignorant[image.membership.version];
  }
  for (const auto& [version, count] : ignorant)
    if (count >= control::majority(voters[version]))
      world.history().fail(std::string(property::kKnowledge),
                           std::to_string(count) + " voters of membership " + std::to_string(version) +
                               " don't know the acknowledged configuration " + std::to_string(acknowledged));
}

void checkChosen(History& history, const Machine& machine, const control::ControlClient& client,
                 const control::Proposal& proposal) {
  const auto votes = history.durableVotes.find({proposal.key, proposal.ballot});
  const auto& voters = client.membership.voters;
  const auto synced = std::count_if(voters.begin(), voters.end(), [&](const Voter& voter) {
    return votes != history.durableVotes.end() && votes->second.contains(voter.id);
  });
  if (static_cast<std::size_t>(synced) < control::majority(voters.size()))
    history.fail(std::string(property::kDurableMajority), machine.name + " takes ballot " + textOf(proposal.ballot) +
                                                              " for chosen; " + std::to_string(synced) +
                                                              " voters have synced it");
}

}  // namespace

const std::vector<PropertyRow>& propertyRows() {
  static const std::vector<PropertyRow> rows{
      {property::kOneValue, "one value is proposed under a ballot"},
      {property::kDurableMajority, "a value counts as chosen only when a majority has synced it"},
      {property::kOneConfiguration, "no two configurations of one version are ever in force"},
      {property::kRefused, "an order that was refused never comes into force"},
      {property::kOneNumber, "of two orders with one number one at most is acknowledged"},
      {property::kResend,
       "an acknowledged order that is sent again is not "
       "refused while it is the newest"},
      {property::kKnowledge, "no majority of any membership lacks what was acknowledged"},
      {property::kFresh,
       "no session stands on a configuration older than the "
       "newest acknowledged one"},
      {property::kOneLeader, "no two schedulers lead at one moment"},
      {property::kFencedTerm, "a replica takes no batch of a term older than it has promised"},
      {property::kProgress,
       "with the faults ended a majority forms, one "
       "leads, all catch up and an order is taken"},
      {property::kRecovery, "with the faults ended one leads within two leases, and keeps its term"},
  };
  return rows;
}

void observeSend(History& history, const Machine& machine, const Message& message) {
  if (const auto* accept = std::get_if<RegisterAccept>(&message)) {
    const auto [found, fresh] =
        history.proposedValues.try_emplace({accept->key, accept->ballot}, hashOf(accept->value));
    if (!fresh && found->second != hashOf(accept->value))
      history.fail(std::string(property::kOneValue), "two values under ballot " + textOf(accept->ballot));
    if (fresh && accept->key == control::kConfigKey)
      history.newestVersion = std::max(history.newestVersion, config::readStored(accept->value).version);
    return;
  }
  const auto* accepted = std::get_if<JobLogAccepted>(&message);
  if (accepted && accepted->ok && machine.node->replica && accepted->term < machine.node->replica->image.jobLogPromised)
    history.fail(std::string(property::kFencedTerm), machine.name + " takes a batch of term " + textOf(accepted->term) +
                                                         " after a promise to " +
                                                         textOf(machine.node->replica->image.jobLogPromised));
}

void observeAnswer(History& history, const Machine& machine, std::size_t index, const Answer& answer) {
  const auto found = history.requests.find({index, machine.lives, answer.requestId});
  if (found == history.requests.end()) return;
  const auto request = found->second;
  history.requests.erase(found);
  if (answer.kind == Kind::ok) onAcknowledged(history, request.order, answer);
  if (answer.kind == Kind::raced || answer.kind == Kind::invalidConfig) onRefused(history, request, answer);
}

void observeSync(History& history, Machine& machine, const Persist& persist) {
  for (const auto& disk : persist.entries) {
    if (disk.kind != "accept") continue;
    history.durableVotes[{disk.entry.key, disk.entry.version.ballot}].insert(machine.id);
  }
  const auto config = machine.disk->registers.find(control::kConfigKey);
  machine.configOnDisk = config == machine.disk->registers.end() ? 0 : config::readStored(config->second.value).version;
}

void observeMachine(History& history, const Machine& machine) {
  const auto* client = clientOf(machine);
  if (!client) return;
  observeInForce(history, machine.name, client->configVersion, client->configText);
  if (machine.node->replica)
    observeInForce(history, machine.name, machine.node->replica->learned.version, machine.node->replica->learned.text);
  for (const auto& proposal : client->proposals)
    if (proposal.phase == control::Phase::learn &&
        history.countedAsChosen.insert({proposal.key, proposal.ballot}).second)
      checkChosen(history, machine, *client, proposal);
}

void observeWorld(World& world) {
  checkLeaders(world);
  checkSessions(world);
  checkKnowledge(world);
}

}  // namespace tulip::model
