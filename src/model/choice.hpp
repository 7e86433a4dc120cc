#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tulip::model {

/// What the environment does next. Every nondeterministic event of a world is
/// one of these.
enum class Action : std::uint8_t {
  run,        ///< time passes for `amount` ms; every message is delivered in order and
              ///< every write is synced
  advance,    ///< time passes for `amount` ms; timers fire, nothing is delivered
              ///< or synced
  deliver,    ///< the oldest message of `kind` from `node` to `other` arrives
  drop,       ///< that message is lost
  duplicate,  ///< a copy of that message arrives and the message itself stays in
              ///< flight
  delay,      ///< that message is set aside: `run` passes over it, `deliver` still
              ///< finds it
  sync,       ///< the oldest unsynced write of `node` reaches its disk
  failSync,   ///< the oldest unsynced write of `node` fails
  kill,       ///< the process of `node` ends; what it wrote stays, its clock goes on
  losePower,  ///< `node` ends and loses its unsynced writes; its clock starts
              ///< anew
  start,      ///< `node` starts a new life; `kind` says where a clock that starts
              ///< anew begins
  wipe,       ///< the disk of `node`, which is down, is emptied
  replace,    ///< `node` ends for good; an empty one takes its place at another
              ///< address
  cut,        ///< nothing passes from `node` to `other`; without `other`: to and from
              ///< anyone
  heal,       ///< all cuts end
  order,      ///< an operator sends configuration change `amount` to `node`
  stop,       ///< `node` is asked to stop
};

struct Choice {
  Action action = Action::run;
  std::string node;
  std::string other;
  std::string kind;
  std::int64_t amount = 0;
  bool operator==(const Choice&) const = default;
};

using Path = std::vector<Choice>;

/// Names of the clock starts that `start` takes.
inline constexpr std::string_view kClockLower = "lower";
inline constexpr std::string_view kClockHigher = "higher";

/// One line, such as `deliver s1 r2 RegisterPrepare`.
std::string textOf(const Choice& choice);
std::optional<Choice> parseChoice(std::string_view line);

/// One choice a line; empty lines and those that start with '#' are passed
/// over. On failure `badLine` is set.
std::optional<Path> parsePath(std::string_view text, std::size_t& badLine);

}  // namespace tulip::model
