#include "model/replays.hpp"

#include <charconv>
#include <sstream>

namespace tulip::model {
namespace {

constexpr std::string_view kWorldLine = "world ";
constexpr std::string_view kSpares = "spares=";
constexpr int kMostSpares = 4;

bool readWord(std::string_view word, Replay& replay) {
  if (word == "formed" || word == "settled") {
    replay.settled = word == "settled";
    return true;
  }
  if (!word.starts_with(kSpares)) return false;
  word.remove_prefix(kSpares.size());
  const auto [at, failed] = std::from_chars(word.data(), word.data() + word.size(), replay.plan.spares);
  return failed == std::errc() && at == word.data() + word.size() && replay.plan.spares >= 0 &&
         replay.plan.spares <= kMostSpares;
}

bool readWorld(std::string_view line, Replay& replay) {
  std::istringstream in{std::string(line.substr(kWorldLine.size()))};
  for (std::string word; in >> word;)
    if (!readWord(word, replay)) return false;
  return true;
}

}  // namespace

const std::vector<NamedReplay>& namedReplays() {
  static const std::vector<NamedReplay> replays{
      {"lower-clock-after-power-loss",
       "a voter comes back from a loss of power with a lower clock, then "
       "another voter is replaced",
       "world spares=0 settled\n"
       "lose-power r1\n"
       "run 2000\n"
       "start r1 lower\n"
       "run 5000\n"
       "replace r2\n"
       "run 5000\n"},
      {"lower-clocks-after-power-loss-of-all",
       "all nodes lose power and come back with lower clocks; messages of the "
       "lives before arrive late",
       "world spares=1 settled\n"
       "advance 50\n"
       "lose-power all\n"
       "start all lower\n"},
      {"replaced-voter-returns-with-a-lower-clock",
       "a voter is replaced while an order is under way, and the one before comes back with a lower clock",
       "world spares=0 settled\nrun 300\nrun 300\nrun 100\nrun 5\nrun 5\nrun 20\nrun 300\nrun 20\n"
       "order s2 0\nreplace r1\nlose-power r1\nadvance 1100\nrun 300\n"
       "run 50\nstart r1 lower\nrun 100\norder r2 5\nduplicate r2 r3 RegisterPrepare\nadvance 1100\n"},
      {"two-power-losses-in-turn",
       "one voter after the other loses power and comes back with a lower "
       "clock",
       "world spares=1 settled\n"
       "lose-power r2\n"
       "start all lower\n"
       "run 5000\n"
       "lose-power r3\n"},
      {"acknowledgement-of-an-earlier-life",
       "answers to a question of a scheduler's earlier life arrive at the "
       "later one, which asks under the same number",
       "world spares=0 formed\n"
       "order s1 0\n"
       "run 60\n"
       "duplicate r1 s1 AckState\n"
       "duplicate r2 s1 AckState\n"
       "duplicate r3 s1 AckState\n"
       "delay r1 s1 AckState\n"
       "delay r2 s1 AckState\n"
       "delay r3 s1 AckState\n"
       "kill s1\n"
       "start s1\n"
       "run 300\n"
       "order s1 4\n"
       "run 20\n"
       "deliver r1 s1 AckState\n"
       "deliver r2 s1 AckState\n"
       "deliver r3 s1 AckState\n"},
  };
  return replays;
}

std::optional<Replay> parseReplay(std::string_view text, std::size_t& badLine) {
  Replay replay;
  std::size_t first = 0;
  std::size_t lines = 0;
  // Comments may stand before the world.
  while (first < text.size() && text[first] == '#') {
    const auto end = text.find('\n', first);
    first = end == std::string_view::npos ? text.size() : end + 1;
    ++lines;
  }
  text.remove_prefix(first);
  if (text.starts_with(kWorldLine)) {
    const auto end = std::min(text.find('\n'), text.size());
    ++lines;
    if (!readWorld(text.substr(0, end), replay)) {
      badLine = lines;
      return std::nullopt;
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  auto path = parsePath(text, badLine);
  if (!path) {
    badLine += lines;
    return std::nullopt;
  }
  replay.path = std::move(*path);
  return replay;
}

std::string textOf(const Replay& replay) {
  std::string text = "world spares=" + std::to_string(replay.plan.spares) + (replay.settled ? " settled" : " formed");
  for (const auto& choice : replay.path) text += "\n" + textOf(choice);
  return text + "\n";
}

World startOf(const Replay& replay) { return replay.settled ? settledWorld(replay.plan) : formedWorld(replay.plan); }

PathResult takeReplay(const Replay& replay) { return takePath(startOf(replay), replay.path); }

}  // namespace tulip::model
