#pragma once
#include <array>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "storage/image.hpp"

namespace tulip::storage {

/// A full version holds a whole image, a delta what one synced batch added to the version before it.
enum class VersionKind { full, delta };

/// What a version file's name says.
struct VersionName {
  std::uint64_t seq = 0;
  VersionKind kind = VersionKind::delta;
  bool operator==(const VersionName&) const = default;
};

std::string fileName(const VersionName& name);
/// Empty for a name that is not exactly one that `fileName` makes.
std::optional<VersionName> parseFileName(std::string_view text);

/// The bytes of one version file, packed entry by entry so that no second copy of an image is held.
class VersionEncoder {
 public:
  void add(const transport::DiskEntry& entry);
  /// To be called once, after the last entry. The parts, written one after the other, are the file.
  std::array<std::string_view, 2> finish(const DaemonId& owner, std::uint64_t seq);

 private:
  msgpack::sbuffer head_, entries_;
  std::uint32_t count_ = 0;
};

/// Hands each entry of a version file to `take`. False if the file is not whole, not of this number or, where `owner`
/// is not empty, of another folder; entries may have been taken even so. `owner` becomes the file's own.
bool decodeVersion(std::string_view bytes, std::uint64_t seq, DaemonId& owner,
                   const std::function<void(const transport::DiskEntry&)>& take);

}  // namespace tulip::storage
