// A change of a few hundred bytes held a daemon of a twentieth of a core for half a second, in which it sent no
// heartbeat, once the configuration had grown to half a megabyte: each version was parsed whole.
#include <CppUTest/TestHarness.h>

#include <random>

#include "config/config.hpp"
#include "config/text_difference.hpp"
#include "large_config.hpp"

using namespace tulip;
using namespace tulip::fixture;

namespace {

std::string asKept(std::string_view text) {
  const Json parsed = parseJson(text);
  return dumpJson(parsed.get());
}

std::string merged(const std::string& text, std::string_view patch) {
  const Json base = parseJson(text), change = parseJson(patch);
  const Json next = config::mergePatch(base.get(), change.get());
  return dumpJson(next.get());
}

config::Config read(std::string_view text) {
  config::Config made;
  std::vector<config::Fault> faults;
  CHECK(config::readConfigText(text, made, faults));
  return made;
}

/// Random changes of every section, some of them not allowed.
class RandomPatches {
 public:
  explicit RandomPatches(std::uint64_t seed) : random_(seed) {}

  std::string next() {
    const auto number = std::to_string(below(12));
    switch (below(12)) {
      case 0:
        return R"({"pendings":{"line-)" + number + R"(":null}})";
      case 1:
        return R"({"pendings":{"new-)" + number + R"(":{"pool":"pool-)" + number + R"("}}})";
      case 2:
        return R"({"pools":{"pool-)" + number + R"(":{"slots":)" + number + "}}}";
      case 3:
        return R"({"pools":{"pool-)" + number + R"(":null}})";
      case 4:
        return R"({"tenants":{"team-)" + number + R"(":{"keys":["key-)" + std::to_string(below(12)) + R"("]}}})";
      case 5:
        return R"({"tenants":null})";
      case 6:
        return R"({"admission":{"rule":"fifo","layout":"spread"}})";
      case 7:
        return R"({"admission":null,"cells":{"zone-)" + number + R"(":{"emptied":true}}})";
      case 8:
        return R"({"edition":)" + number + "}";
      case 9:
        return R"({"pendings":{"line-)" + number + R"(":{"prefix":"/a \"}{,:]/"}}})";
      case 10:
        return R"({"pendings":{"line-)" + number + R"(":{"rank":"high"}}})";
      default:
        return R"({"pendings":{"line-)" + number + R"(":{"rank":)" + number + "}}}";
    }
  }

 private:
  int below(int bound) { return static_cast<int>(random_() % static_cast<std::uint64_t>(bound)); }
  std::mt19937_64 random_;
};

}  // namespace

TEST_GROUP(config_text){};

TEST(config_text, a_change_of_one_entry_among_many_is_read_at_the_cost_of_that_entry) {
  const auto before = asKept(manyLines(1400));
  const auto after = merged(before, R"({"edition":4,"pendings":{"line-700":{"rank":-9}}})");
  CHECK(before.size() > 400000);
  const auto difference = config::differenceOf(before, after);
  CHECK(difference.has_value());
  CHECK(difference->changed.size() < 1000);
  const auto earlier = read(before);
  config::Config next;
  std::vector<config::Fault> faults;
  CHECK(config::readNextText({before, earlier}, after, next, faults));
  LONGS_EQUAL(-9, next.queues.at("line-700").rank);
  LONGS_EQUAL(1400, next.queues.size());
  CHECK(next == read(after));
}

TEST(config_text, reading_what_differs_gives_the_same_as_reading_all) {
  int faulty = 0, sound = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    RandomPatches patches(seed);
    auto text = asKept(manyLines(10));
    auto current = read(text);
    for (int step = 0; step < 60; ++step) {
      const auto after = merged(text, patches.next());
      config::Config whole, next;
      std::vector<config::Fault> wholeFaults, nextFaults;
      const bool good = config::readConfigText(after, whole, wholeFaults);
      CHECK(config::readNextText({text, current}, after, next, nextFaults) == good);
      CHECK(next == whole);
      LONGS_EQUAL(wholeFaults.size(), nextFaults.size());
      for (std::size_t i = 0; i < wholeFaults.size(); ++i)
        STRCMP_EQUAL(wholeFaults[i].path.c_str(), nextFaults[i].path.c_str());
      ++(good ? sound : faulty);
      if (!good) continue;
      text = after;
      current = next;
    }
  }
  CHECK(sound > 500);
  CHECK(faulty > 100);
}

TEST(config_text, a_text_that_is_not_as_it_is_kept_has_no_difference_that_is_told) {
  const std::string kept = R"({"edition":1,"pendings":{"a":{},"b":{}}})";
  CHECK(config::differenceOf(kept, kept).has_value());
  for (const std::string other :
       {R"({"pendings":{"a":{},"b":{}},"edition":1})", R"({"edition":1,"edition":2})", R"({"edition":1)",
        R"({"edition":1}})", R"([1])", R"({"edition": 1} )", R"({"edition":})", "", R"({"e\u0064":1})"})
    CHECK_FALSE(config::differenceOf(kept, other).has_value());
}

TEST(config_text, a_section_of_another_form_is_read_whole) {
  const std::string kept = R"({"edition":1,"pendings":{"a":{},"b":{}}})";
  const std::string other = R"({"edition":1,"pendings":{"b":{},"a":{}}})";
  const auto difference = config::differenceOf(kept, other);
  CHECK(difference.has_value());
  CHECK(difference->kept.empty());
  STRCMP_EQUAL(other.c_str(), difference->changed.c_str());
}
