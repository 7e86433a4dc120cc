#pragma once
#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace tulip::tests {

/// Makes inputs for decoders out of well-formed ones, by changes that damaged or hostile bytes may show. The same seed
/// makes the same inputs on every machine.
class Mutator {
 public:
  Mutator(std::uint64_t seed, std::vector<std::string> corpus) : state_(seed), corpus_(std::move(corpus)) {}

  std::string next() {
    std::string bytes = corpus_[below(corpus_.size())];
    // Half of the inputs have a single small change, so that a good share gets behind a decoder's first checks.
    if (below(2) == 0) {
      replaceCharacter(bytes);
      return bytes;
    }
    for (std::uint64_t changes = 1 + below(kMostChanges); changes > 0; --changes) change(bytes);
    return bytes;
  }

  /// A number below `bound`, which is above 0.
  std::uint64_t below(std::uint64_t bound) { return draw() % bound; }

 private:
  static constexpr std::uint64_t kMostChanges = 3;
  static constexpr std::uint64_t kMostInserted = 8;

  // splitmix64
  std::uint64_t draw() {
    state_ += 0x9e3779b97f4a7c15;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31);
  }

  void change(std::string& bytes) {
    enum Change : std::uint8_t { bit, byte, insert, drop, repeat, splice, cut, number, header, count };
    if (bytes.empty()) bytes.push_back('\0');
    const std::size_t at = below(bytes.size());
    switch (static_cast<Change>(below(Change::count))) {
      case Change::bit:
        bytes[at] = static_cast<char>(bytes[at] ^ (1 << below(8)));
        break;
      case Change::byte:
        bytes[at] = static_cast<char>(draw());
        break;
      case Change::insert:
        for (auto more = 1 + below(kMostInserted); more > 0; --more)
          bytes.insert(bytes.begin() + static_cast<std::ptrdiff_t>(at), static_cast<char>(draw()));
        break;
      case Change::drop:
        bytes.erase(at, 1 + below(kMostInserted));
        break;
      case Change::repeat:
        bytes.insert(at, bytes.substr(at, 1 + below(4 * kMostInserted)));
        break;
      case Change::splice: {
        const auto& other = corpus_[below(corpus_.size())];
        bytes = bytes.substr(0, at) + other.substr(below(other.size() + 1));
        break;
      }
      case Change::cut:
        bytes.resize(at);
        break;
      case Change::number:
        replaceNumber(bytes, at);
        break;
      case Change::header:
        replaceHeader(bytes, at);
        break;
      case Change::count:
        break;
    }
  }

  // Puts another digit, letter or byte in the place of one of its kind.
  void replaceCharacter(std::string& bytes) {
    if (bytes.empty()) return;
    auto& character = bytes[below(bytes.size())];
    if (character >= '0' && character <= '9')
      character = static_cast<char>('0' + below(10));
    else if (character >= 'a' && character <= 'z')
      character = static_cast<char>('a' + below(26));
    else
      character = static_cast<char>(character ^ (1 << below(8)));
  }

  // Puts a number at the edge of what a type holds in place of the next digits.
  void replaceNumber(std::string& bytes, std::size_t at) {
    static const std::array<const char*, 12> edges{"0",
                                                   "-1",
                                                   "1",
                                                   "255",
                                                   "65536",
                                                   "4294967296",
                                                   "9223372036854775807",
                                                   "-9223372036854775808",
                                                   "1e308",
                                                   "-0.0",
                                                   "1e-9",
                                                   "18446744073709551616"};
    constexpr const char* kDigits = "0123456789";
    const auto from = bytes.find_first_of(kDigits, at);
    if (from == std::string::npos) return;
    auto to = bytes.find_first_not_of(kDigits, from);
    if (to == std::string::npos) to = bytes.size();
    bytes.replace(from, to - from, edges[below(edges.size())]);
  }

  // Claims a huge string, list or map, or nothing at all, as msgpack would.
  void replaceHeader(std::string& bytes, std::size_t at) {
    static const std::array<std::string, 9> headers{std::string("\xdd\xff\xff\xff\xff", 5),
                                                    std::string("\xdf\x7f\xff\xff\xff", 5),
                                                    std::string("\xdb\xff\xff\xff\xf0", 5),
                                                    std::string("\xdd\x00\x10\x00\x00", 5),
                                                    std::string("\xdc\xff\xff", 3),
                                                    std::string("\x90", 1),
                                                    std::string("\x80", 1),
                                                    std::string("\xc0", 1),
                                                    std::string("\xcf\xff\xff\xff\xff\xff\xff\xff\xff", 9)};
    bytes.replace(at, 1, headers[below(headers.size())]);
  }

  std::uint64_t state_;
  std::vector<std::string> corpus_;
};

}  // namespace tulip::tests
