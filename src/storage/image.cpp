#include "storage/image.hpp"

#include <algorithm>
#include <charconv>

#include "base/unpack.hpp"

namespace tulip::storage {

using transport::DiskEntry;
using transport::Entry;

namespace {
template <class Value>
std::string packed(const Value& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return std::string(buffer.data(), buffer.size());
}
}  // namespace

std::string packMembership(const transport::Membership& membership) { return packed(membership); }

transport::Membership unpackMembership(std::string_view bytes) {
  if (bytes.empty()) return {};
  try {
    return unpackBounded(bytes).get().as<transport::Membership>();
  } catch (const std::exception&) {
    return {};
  }
}

namespace entry {
DiskEntry id(const DaemonId& id) { return {"id", {id.value, {}, {}}}; }
DiskEntry membership(const transport::Membership& membership) {
  return {"cohort", {{}, {}, packMembership(membership)}};
}
DiskEntry joined(const transport::BootstrapProposal& form) {
  return {"joined", {{}, {{form.number, {}}, 0}, packMembership(form.membership)}};
}
DiskEntry voting(bool voting) { return {"voting", {voting ? "yes" : "no", {}, {}}}; }
DiskEntry learned(const Ballot& ballot) { return {"learned", {{}, {ballot, 0}, {}}}; }
DiskEntry jobLogPromise(const Ballot& term) { return {"range", {{}, {term, 0}, {}}}; }
DiskEntry jobLogBase(const Ballot& term) { return {"base", {{}, {term, 0}, {}}}; }
DiskEntry fleet(const Ballot& term, Millis fleetMs) { return {"fleet", {std::to_string(fleetMs), {term, 0}, {}}}; }
DiskEntry registerPromise(const std::string& key, const Ballot& ballot) { return {"promise", {key, {ballot, 0}, {}}}; }
DiskEntry registerAccept(const std::string& key, const Ballot& ballot, const std::string& value) {
  return {"accept", {key, {ballot, 0}, value}};
}
DiskEntry clear() { return {"clear", {}}; }
DiskEntry job(const Entry& entry) { return {"job", entry}; }
}  // namespace entry

void apply(Image& image, const DiskEntry& disk) {
  const auto& [kind, entry] = disk;
  if (kind == "id")
    image.id = DaemonId(entry.key);
  else if (kind == "cohort") {
    image.membership = unpackMembership(entry.value);
    image.joined = {};
  } else if (kind == "joined")
    image.joined = {unpackMembership(entry.value), entry.version.ballot.number};
  else if (kind == "learned")
    image.learned = std::max(image.learned, entry.version.ballot);
  else if (kind == "voting")
    image.voting = entry.key == "yes";
  else if (kind == "range")
    image.jobLogPromised = std::max(image.jobLogPromised, entry.version.ballot);
  else if (kind == "base")
    image.jobLogBase = std::max(image.jobLogBase, entry.version.ballot);
  else if (kind == "fleet") {
    Millis fleetMs = 0;
    std::from_chars(entry.key.data(), entry.key.data() + entry.key.size(), fleetMs);
    const bool newer = image.fleetTerm < entry.version.ballot;
    if (newer || image.fleetTerm == entry.version.ballot)
      image.fleetMs = newer ? fleetMs : std::max<Millis>(image.fleetMs, fleetMs);
    if (newer) image.fleetTerm = entry.version.ballot;
  } else if (kind == "promise") {
    auto& slot = image.registers[entry.key];
    slot.promised = std::max(slot.promised, entry.version.ballot);
  } else if (kind == "accept") {
    auto& slot = image.registers[entry.key];
    slot.promised = std::max(slot.promised, entry.version.ballot);
    slot.accepted = entry.version.ballot;
    slot.value = entry.value;
  } else if (kind == "job") {
    auto found = image.jobs.find(entry.key);
    if (found != image.jobs.end() && entry.version <= found->second.version) return;
    if (entry.value.empty()) {
      if (found != image.jobs.end()) image.jobs.erase(found);
    } else if (found == image.jobs.end())
      image.jobs.emplace(entry.key, entry);
    else
      found->second = entry;
  } else if (kind == "clear") {
    image.jobs.clear();
    image.jobLogBase = Ballot{};
    image.registers.clear();
  }
}

void forEachEntry(const Image& image, const std::function<void(const DiskEntry&)>& take) {
  take(entry::id(image.id));
  take(entry::fleet(image.fleetTerm, image.fleetMs));
  take(entry::voting(image.voting));
  if (!image.empty()) take(entry::membership(image.membership));
  if (!image.joined.membership.voters.empty()) take(entry::joined(image.joined));
  if (image.learned != Ballot{}) take(entry::learned(image.learned));
  if (image.jobLogPromised != Ballot{}) take(entry::jobLogPromise(image.jobLogPromised));
  if (image.jobLogBase != Ballot{}) take(entry::jobLogBase(image.jobLogBase));
  for (const auto& [key, slot] : image.registers) {
    if (slot.accepted != Ballot{}) take(entry::registerAccept(key, slot.accepted, slot.value));
    if (slot.promised != slot.accepted) take(entry::registerPromise(key, slot.promised));
  }
  for (const auto& [key, entry] : image.jobs) take(entry::job(entry));
}

std::vector<DiskEntry> snapshot(const Image& image) {
  std::vector<DiskEntry> all;
  forEachEntry(image, [&](const DiskEntry& entry) { all.push_back(entry); });
  return all;
}

transport::RegisterPromise promise(const Image& image, const transport::RegisterPrepare& ask,
                                   std::vector<DiskEntry>& writes) {
  static const Register none;
  auto found = image.registers.find(ask.key);
  const Register& slot = found == image.registers.end() ? none : found->second;
  transport::RegisterPromise reply{ask.key, ask.ballot, false, slot.promised, slot.accepted, {}};
  reply.ok = slot.promised < ask.ballot || (slot.promised == ask.ballot && slot.accepted < ask.ballot);
  // A refused proposer starts anew and is given the value then.
  if (!reply.ok) return reply;
  if (slot.accepted != ask.known) reply.value = slot.value;
  writes.push_back(entry::registerPromise(ask.key, ask.ballot));
  return reply;
}

transport::RegisterAccepted accept(const Image& image, const transport::RegisterAccept& ask,
                                   std::vector<DiskEntry>& writes) {
  auto found = image.registers.find(ask.key);
  const Ballot promised = found == image.registers.end() ? Ballot{} : found->second.promised;
  transport::RegisterAccepted reply{ask.key, ask.ballot, !(ask.ballot < promised), promised};
  if (reply.ok) writes.push_back(entry::registerAccept(ask.key, ask.ballot, ask.value));
  return reply;
}

}  // namespace tulip::storage
