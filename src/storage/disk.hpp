#pragma once
#include <filesystem>
#include <memory>
#include <span>
#include <string>

#include "storage/files.hpp"
#include "storage/image.hpp"

namespace tulip::storage {

/// What was written since the folder was opened.
struct DiskCounts {
  std::uint64_t deltas = 0, fulls = 0, syncs = 0, bytes = 0;
};

/// An open data folder and the image that it holds. See docs/design/control.md for what it promises.
struct Disk {
  Files* files = nullptr;
  std::filesystem::path folder;
  Image image;
  std::uint64_t lastSeq = 0;            // of the newest durable version
  std::uint64_t fullBytes = 0;          // of the full version that the image starts from
  std::uint64_t deltaBytes = 0;         // of the deltas after it, in whole blocks
  std::uint64_t compactAgainBytes = 0;  // deltas wanted before a failed compaction is tried again
  DiskCounts counts;
  std::string detail;     // of the last failure, for the log
  std::error_code cause;  // of the last failure, where the system gave one
  std::shared_ptr<void> lock;
};

/// Reads a data folder, or begins one under `freshId`. What the image holds is durable once this has succeeded.
/// `tornFile`: something that was acknowledged may be missing. `folderInUse`: another process holds the folder.
/// `diskFailed`: the disk refused; the folder may be sound.
std::error_code openDisk(Disk& disk, const std::filesystem::path& folder, const DaemonId& freshId,
                         Files& files = systemFiles());

/// Makes a batch durable and applies it to the image. After a failure nothing has been applied; the same entries may
/// be written again, and may be found by the next `openDisk` even if they are not.
std::error_code writeDelta(Disk& disk, std::span<const transport::DiskEntry> entries);

/// Writes a full version in place of the deltas once they have outgrown the last one. A failure loses nothing.
std::error_code compactIfDue(Disk& disk);

/// Whether a failure may pass by itself: a disk that is full or gives errors, not a folder that may not be used.
bool mayPass(const std::error_code& cause);

}  // namespace tulip::storage
