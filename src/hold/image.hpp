#pragma once
#include <absl/container/btree_map.h>

#include <map>
#include <span>
#include <string>
#include <vector>

#include "signal/core.hpp"

namespace tulip::hold {

struct Register {
  Ballot promised;
  Ballot accepted;
  std::string value;
};

struct Image {
  DaemonId id;
  signal::Cohort cohort;
  signal::Form joined;  // the first cohort promised to, until one stands
  bool voting = false;
  Ballot learned;  // the newest ballot of the configuration's register that it was told is chosen
  Ballot rangePromised;
  Ballot rangeBase;
  Millis fleetMs = 0;
  Ballot fleetTerm;
  std::map<std::string, Register> registers;
  absl::btree_map<std::string, signal::Entry> jobs;

  bool empty() const { return cohort.seats.empty(); }
};

namespace entry {
signal::DiskEntry id(const DaemonId& id);
signal::DiskEntry cohort(const signal::Cohort& cohort);
signal::DiskEntry joined(const signal::Form& form);
signal::DiskEntry voting(bool voting);
signal::DiskEntry learned(const Ballot& ballot);
signal::DiskEntry rangePromise(const Ballot& term);
signal::DiskEntry rangeBase(const Ballot& term);
signal::DiskEntry fleet(const Ballot& term, Millis fleetMs);
signal::DiskEntry registerPromise(const std::string& key, const Ballot& ballot);
signal::DiskEntry registerAccept(const std::string& key, const Ballot& ballot, const std::string& value);
signal::DiskEntry clear();
signal::DiskEntry job(const signal::Entry& entry);
}  // namespace entry

void apply(Image& image, const signal::DiskEntry& entry);
std::vector<signal::DiskEntry> snapshot(const Image& image);
std::string packCohort(const signal::Cohort& cohort);
signal::Cohort unpackCohort(std::string_view bytes);

signal::RegisterPromise promise(const Image& image, const signal::RegisterPrepare& ask, std::vector<signal::DiskEntry>& writes);
signal::RegisterAccepted accept(const Image& image, const signal::RegisterAccept& ask, std::vector<signal::DiskEntry>& writes);

}  // namespace tulip::hold
