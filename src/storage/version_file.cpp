#include "storage/version_file.hpp"

#include <array>
#include <boost/crc.hpp>
#include <charconv>
#include <cstdio>

#include "base/unpack.hpp"

namespace tulip::storage {

namespace {

constexpr std::string_view kMagic = "TULIPHOLD1";
constexpr std::string_view kNamePrefix = "v-";
constexpr std::string_view kFullSuffix = ".full";
constexpr std::string_view kDeltaSuffix = ".delta";
constexpr std::size_t kSeqDigits = 20;
constexpr std::size_t kHeaderFields = 5;  // magic, owner, seq, checksum, body

std::uint32_t checksum(std::string_view owner, std::uint64_t seq, std::initializer_list<std::string_view> body) {
  boost::crc_32_type crc;
  crc.process_bytes(owner.data(), owner.size());
  crc.process_bytes(&seq, sizeof seq);
  for (const auto part : body) crc.process_bytes(part.data(), part.size());
  return crc.checksum();
}

std::string_view viewOf(const msgpack::sbuffer& buffer) { return {buffer.data(), buffer.size()}; }

// Strings stay in the bytes they are read from.
bool byReference(msgpack::type::object_type, std::size_t, void*) { return true; }

msgpack::object_handle unpackWhole(std::string_view bytes) {
  std::size_t used = 0;
  auto unpacked = msgpack::unpack(bytes.data(), bytes.size(), used, byReference, nullptr, unpackLimit(bytes.size()));
  if (used != bytes.size()) throw msgpack::parse_error("bytes after the end");
  return unpacked;
}

}  // namespace

std::string fileName(const VersionName& name) {
  char digits[kSeqDigits + 1];
  std::snprintf(digits, sizeof digits, "%020llu", static_cast<unsigned long long>(name.seq));
  std::string text(kNamePrefix);
  text += digits;
  text += name.kind == VersionKind::full ? kFullSuffix : kDeltaSuffix;
  return text;
}

std::optional<VersionName> parseFileName(std::string_view text) {
  if (!text.starts_with(kNamePrefix) || text.size() < kNamePrefix.size() + kSeqDigits) return {};
  const auto digits = text.substr(kNamePrefix.size(), kSeqDigits);
  const auto suffix = text.substr(kNamePrefix.size() + kSeqDigits);
  VersionName name;
  const auto [end, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), name.seq);
  if (failed != std::errc() || end != digits.data() + digits.size()) return {};
  if (suffix != kFullSuffix && suffix != kDeltaSuffix) return {};
  name.kind = suffix == kFullSuffix ? VersionKind::full : VersionKind::delta;
  return name;
}

void VersionEncoder::add(const transport::DiskEntry& entry) {
  msgpack::pack(entries_, entry);
  ++count_;
}

std::array<std::string_view, 2> VersionEncoder::finish(const DaemonId& owner, std::uint64_t seq) {
  msgpack::sbuffer count;
  msgpack::packer<msgpack::sbuffer>(count).pack_array(count_);
  msgpack::packer<msgpack::sbuffer> head(head_);
  head.pack_array(kHeaderFields);
  head.pack(kMagic);
  head.pack(owner.value);
  head.pack(seq);
  head.pack(checksum(owner.value, seq, {viewOf(count), viewOf(entries_)}));
  head.pack_str(static_cast<std::uint32_t>(count.size() + entries_.size()));
  head_.write(count.data(), count.size());
  return {viewOf(head_), viewOf(entries_)};
}

bool decodeVersion(std::string_view bytes, std::uint64_t seq, DaemonId& owner,
                   const std::function<void(const transport::DiskEntry&)>& take) {
  try {
    const auto header = unpackWhole(bytes);
    const auto [magic, from, number, sum, body] =
        header.get()
            .as<std::tuple<std::string_view, std::string_view, std::uint64_t, std::uint32_t, std::string_view>>();
    if (magic != kMagic || number != seq || sum != checksum(from, seq, {body})) return false;
    if (!owner.value.empty() && owner.view() != from) return false;
    owner = DaemonId(std::string(from));
    const auto entries = unpackWhole(body);
    if (entries.get().type != msgpack::type::ARRAY) return false;
    for (const auto& entry : entries.get().via.array) take(entry.as<transport::DiskEntry>());
    return true;
  } catch (const msgpack::unpack_error&) {
    return false;
  } catch (const msgpack::type_error&) {
    return false;
  }
}

}  // namespace tulip::storage
