#include "model/choice.hpp"

#include <charconv>
#include <sstream>

namespace tulip::model {
namespace {

enum class Operands { amount, link, node, nodeWithClock, nodes, none, nodeWithAmount };

struct ActionRow {
  Action action;
  std::string_view name;
  Operands operands;
};

constexpr ActionRow kActions[] = {
    {Action::run, "run", Operands::amount},
    {Action::advance, "advance", Operands::amount},
    {Action::deliver, "deliver", Operands::link},
    {Action::drop, "drop", Operands::link},
    {Action::duplicate, "duplicate", Operands::link},
    {Action::delay, "delay", Operands::link},
    {Action::sync, "sync", Operands::node},
    {Action::failSync, "fail-sync", Operands::node},
    {Action::kill, "kill", Operands::node},
    {Action::losePower, "lose-power", Operands::node},
    {Action::start, "start", Operands::nodeWithClock},
    {Action::wipe, "wipe", Operands::node},
    {Action::replace, "replace", Operands::node},
    {Action::cut, "cut", Operands::nodes},
    {Action::heal, "heal", Operands::none},
    {Action::order, "order", Operands::nodeWithAmount},
    {Action::stop, "stop", Operands::node},
};

const ActionRow& rowOf(Action action) {
  for (const auto& row : kActions)
    if (row.action == action) return row;
  return kActions[0];
}

bool readAmount(const std::string& word, std::int64_t& amount) {
  const auto* end = word.data() + word.size();
  const auto [at, failed] = std::from_chars(word.data(), end, amount);
  return failed == std::errc() && at == end && amount >= 0;
}

bool readOperands(const std::vector<std::string>& words, Operands operands, Choice& choice) {
  const auto count = words.size() - 1;
  switch (operands) {
    case Operands::none:
      return count == 0;
    case Operands::amount:
      return count == 1 && readAmount(words[1], choice.amount);
    case Operands::node:
      if (count != 1) return false;
      choice.node = words[1];
      return true;
    case Operands::nodeWithClock:
      if (count != 1 && count != 2) return false;
      choice.node = words[1];
      if (count == 2) choice.kind = words[2];
      return choice.kind.empty() || choice.kind == kClockLower || choice.kind == kClockHigher;
    case Operands::nodes:
      if (count != 1 && count != 2) return false;
      choice.node = words[1];
      if (count == 2) choice.other = words[2];
      return true;
    case Operands::nodeWithAmount:
      if (count != 2) return false;
      choice.node = words[1];
      return readAmount(words[2], choice.amount);
    case Operands::link:
      if (count != 3) return false;
      choice.node = words[1];
      choice.other = words[2];
      choice.kind = words[3];
      return true;
  }
  return false;
}

}  // namespace

std::string textOf(const Choice& choice) {
  const auto& row = rowOf(choice.action);
  std::string text(row.name);
  for (const auto* word : {&choice.node, &choice.other, &choice.kind})
    if (!word->empty()) text += " " + *word;
  if (row.operands == Operands::amount || row.operands == Operands::nodeWithAmount)
    text += " " + std::to_string(choice.amount);
  return text;
}

std::optional<Choice> parseChoice(std::string_view line) {
  std::istringstream in{std::string(line)};
  std::vector<std::string> words;
  for (std::string word; in >> word;) words.push_back(word);
  if (words.empty()) return std::nullopt;
  for (const auto& row : kActions) {
    if (row.name != words.front()) continue;
    Choice choice;
    choice.action = row.action;
    if (!readOperands(words, row.operands, choice)) return std::nullopt;
    return choice;
  }
  return std::nullopt;
}

std::optional<Path> parsePath(std::string_view text, std::size_t& badLine) {
  Path path;
  std::istringstream in{std::string(text)};
  std::size_t number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    if (line.empty() || line.front() == '#') continue;
    const auto choice = parseChoice(line);
    if (!choice) {
      badLine = number;
      return std::nullopt;
    }
    path.push_back(*choice);
  }
  return path;
}

}  // namespace tulip::model
