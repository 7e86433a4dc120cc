#pragma once
#include <filesystem>
#include <memory>
#include <span>
#include <string>

#include "storage/image.hpp"

namespace tulip::storage {

struct DiskCounts {
  std::uint64_t deltas = 0, fulls = 0, syncs = 0, bytes = 0;
};

struct Disk {
  std::filesystem::path folder;
  Image image;
  std::uint64_t lastSeq = 0;
  std::uint64_t compactAgainBytes = 0, deltaBytes = 0;
  std::uint64_t fullBytes = 0;
  DiskCounts counts;
  std::string detail;
  std::shared_ptr<void> lock;
};

std::error_code openDisk(Disk& disk, const std::filesystem::path& folder, const DaemonId& freshId);
std::error_code writeDelta(Disk& disk, std::span<const transport::DiskEntry> entries);

}  // namespace tulip::storage
