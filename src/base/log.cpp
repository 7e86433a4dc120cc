#include "base/log.hpp"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <chrono>

namespace tulip {
namespace {

constexpr std::size_t kMostLines = 512;

struct LogRing {
  std::mutex guard;
  std::deque<std::string> lines;
  std::size_t unwritten = 0;
  std::string who;
  bool open = false;
  bool wanted = false;        // something went wrong
  log4cxx::LoggerPtr logger;  // made when first written to, since most processes never do
};

LogRing& logRing() {
  static auto* one = new LogRing;
  return *one;
}

std::string stamped(const std::string& text) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
          .count();
  return std::to_string(ms) + " " + text;
}

void keep(LogRing& book, std::string line) {
  book.lines.push_back(std::move(line));
  if (book.lines.size() > kMostLines) book.lines.pop_front();
  book.unwritten = std::min(book.unwritten + 1, book.lines.size());
}

void makeLogger(LogRing& book) {
  auto layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("%d ") + log4cxx::LogString(book.who.begin(), book.who.end()) + LOG4CXX_STR(" %m%n"));
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
  book.logger = log4cxx::Logger::getRootLogger();
  book.logger->removeAllAppenders();
  book.logger->addAppender(appender);
}

void writeOut(LogRing& book) {
  if (!book.open || !book.wanted) return;
  if (!book.logger) makeLogger(book);
  for (auto at = book.lines.end() - static_cast<std::ptrdiff_t>(book.unwritten); at != book.lines.end(); ++at)
    LOG4CXX_WARN(book.logger, *at);
  book.unwritten = 0;
  book.wanted = false;
}

}  // namespace

void openLedger(const std::string& who) {
  auto& book = logRing();
  std::lock_guard lock(book.guard);
  book.who = who;
  book.open = true;
  writeOut(book);
}

void note(const std::string& text) {
  auto& book = logRing();
  std::lock_guard lock(book.guard);
  keep(book, stamped(text));
}

void alarm(const std::string& text) {
  auto& book = logRing();
  std::lock_guard lock(book.guard);
  keep(book, stamped("ALARM " + text));
  book.wanted = true;
  writeOut(book);
}

std::vector<std::string> ledgerLines() {
  auto& book = logRing();
  std::lock_guard lock(book.guard);
  return {book.lines.begin(), book.lines.end()};
}

}  // namespace tulip
