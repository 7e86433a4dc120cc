#pragma once
#include <absl/container/btree_map.h>

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "transport/core.hpp"

namespace tulip::storage {

struct Register {
  Ballot promised;
  Ballot accepted;
  std::string value;
};

struct Image {
  DaemonId id;
  transport::Membership membership;
  transport::BootstrapProposal joined;  // the first membership promised to, until one stands
  bool voting = false;
  Ballot learned;  // the newest ballot of the configuration's register that it was told is chosen
  Ballot jobLogPromised;
  Ballot jobLogBase;
  Millis fleetMs = 0;
  Ballot fleetTerm;
  std::map<std::string, Register> registers;
  absl::btree_map<std::string, transport::Entry> jobs;

  bool empty() const { return membership.voters.empty(); }
};

namespace entry {
transport::DiskEntry id(const DaemonId& id);
transport::DiskEntry membership(const transport::Membership& membership);
transport::DiskEntry joined(const transport::BootstrapProposal& form);
transport::DiskEntry voting(bool voting);
transport::DiskEntry learned(const Ballot& ballot);
transport::DiskEntry jobLogPromise(const Ballot& term);
transport::DiskEntry jobLogBase(const Ballot& term);
transport::DiskEntry fleet(const Ballot& term, Millis fleetMs);
transport::DiskEntry registerPromise(const std::string& key, const Ballot& ballot);
transport::DiskEntry registerAccept(const std::string& key, const Ballot& ballot, const std::string& value);
transport::DiskEntry clear();
transport::DiskEntry job(const transport::Entry& entry);
}  // namespace entry

void apply(Image& image, const transport::DiskEntry& entry);
/// Hands over the entries that make up an image, one at a time: applied to an empty image, they give the same again.
void forEachEntry(const Image& image, const std::function<void(const transport::DiskEntry&)>& take);
std::vector<transport::DiskEntry> snapshot(const Image& image);
std::string packMembership(const transport::Membership& membership);
transport::Membership unpackMembership(std::string_view bytes);

transport::RegisterPromise promise(const Image& image, const transport::RegisterPrepare& ask,
                                   std::vector<transport::DiskEntry>& writes);
transport::RegisterAccepted accept(const Image& image, const transport::RegisterAccept& ask,
                                   std::vector<transport::DiskEntry>& writes);

}  // namespace tulip::storage
