#pragma once
/// Changes of the configuration, judged and applied. Pure: nothing here knows of rounds, daemons or time.
#include <optional>
#include <string>

#include "base/errors.hpp"
#include "config/config.hpp"

namespace tulip::control {

/// An order to empty a zone or to take it back. It has no number of its own, so it names what it was made on.
struct ZoneOrder {
  std::string zone;
  bool emptied = false;
  Version madeOn = 0;  // the version that the daemon had confirmed when the order came
};

/// A change of the configuration as it was asked for.
struct Edit {
  bool whole = false;
  std::string body;
  std::optional<Version> expected;
  std::string name;
  bool sections = false;           // only the top-level sections that body names are replaced, each whole
  Version operatorVersion = 0;     // the operator's own number: must rise; 0: none given
  std::optional<Version> basedOn;  // the operator's number that must be current
  std::optional<ZoneOrder> zoneOrder;
  bool nameGiven = false;  // by the daemon: nobody can send the edit again under it
};

/// What became of an edit when it was judged by one value of the register.
struct EditOutcome {
  Kind kind = Kind::ok;
  int status = 200;
  std::string body;       // of the answer to the caller
  std::string value;      // what the register is to hold
  bool confirms = false;  // accepted, now or earlier: the answer waits until every live session has version
  Version version = 0;
};

/// Judges the edit by the register's value, in this order: was it taken before, is the expected version current, is the
/// number it was based on current, does its number rise, does the result pass its checks.
EditOutcome judgeEdit(const Edit& edit, const std::string& current);

}  // namespace tulip::control
