#include "storage/disk.hpp"

#include <algorithm>
#include <cerrno>
#include <map>

#include "storage/version_file.hpp"

namespace tulip::storage {
namespace fs = std::filesystem;

namespace {

constexpr std::uint64_t kCompactFloorBytes = 1 << 20;
constexpr std::uint64_t kBlockBytes = 4096;  // a file takes whole blocks of a disk
constexpr std::uint64_t kFirstSeq = 1;
constexpr std::string_view kAsideSuffix = ".aside";

using VersionSizes = std::map<std::uint64_t, std::uint64_t>;  // bytes by number

/// The version files of a folder.
struct Versions {
  VersionSizes fulls, deltas;
  bool empty() const { return fulls.empty() && deltas.empty(); }
  std::uint64_t newest() const {
    return std::max(fulls.empty() ? 0 : fulls.rbegin()->first, deltas.empty() ? 0 : deltas.rbegin()->first);
  }
};

std::uint64_t wholeBlocks(std::uint64_t bytes) { return (bytes + kBlockBytes - 1) / kBlockBytes * kBlockBytes; }

std::error_code refused(Disk& disk, const std::error_code& cause, std::string_view what) {
  disk.cause = cause;
  disk.detail = std::string(what) + ": " + cause.message();
  return Kind::diskFailed;
}

std::error_code syncFolder(Disk& disk) {
  if (auto failed = disk.files->syncFolder(disk.folder)) return refused(disk, failed, "sync of the folder");
  ++disk.counts.syncs;
  return {};
}

// The content is synced before the file gets its name, so a file under a version's name is always whole.
std::error_code writeVersion(Disk& disk, const VersionName& name, VersionEncoder& encoder, std::uint64_t& bytes) {
  const auto parts = encoder.finish(disk.image.id, name.seq);
  const auto file = disk.folder / fileName(name);
  auto aside = file;
  aside += kAsideSuffix;
  if (auto failed = disk.files->write(aside, parts)) {
    disk.files->remove(aside);
    return refused(disk, failed, aside.filename().string());
  }
  ++disk.counts.syncs;
  if (auto failed = disk.files->rename(aside, file)) return refused(disk, failed, file.filename().string());
  if (auto failed = syncFolder(disk)) return failed;
  bytes = parts[0].size() + parts[1].size();
  disk.counts.bytes += bytes;
  ++(name.kind == VersionKind::full ? disk.counts.fulls : disk.counts.deltas);
  return {};
}

std::error_code listVersions(Disk& disk, Versions& versions) {
  std::vector<FolderItem> items;
  if (auto failed = disk.files->list(disk.folder, items)) return refused(disk, failed, "list of the folder");
  for (const auto& item : items) {
    if (item.name.ends_with(kAsideSuffix)) disk.files->remove(disk.folder / item.name);
    if (const auto name = parseFileName(item.name))
      (name->kind == VersionKind::full ? versions.fulls : versions.deltas)[name->seq] = item.bytes;
  }
  return {};
}

std::error_code readVersion(Disk& disk, const VersionName& name, Image& image) {
  const auto text = fileName(name);
  std::string bytes;
  if (auto failed = disk.files->read(disk.folder / text, bytes)) return refused(disk, failed, text);
  DaemonId owner = image.id;
  if (decodeVersion(bytes, name.seq, owner, [&](const auto& entry) { apply(image, entry); }) && owner == image.id)
    return {};
  disk.detail = text;
  return Kind::tornFile;
}

// Reads the full version of this number and every delta after it, without gaps, up to the newest file there is.
std::error_code readChain(Disk& disk, const Versions& versions, std::uint64_t fullSeq) {
  Image image;
  if (auto failed = readVersion(disk, {fullSeq, VersionKind::full}, image)) return failed;
  std::uint64_t reached = fullSeq, deltaBytes = 0;
  for (auto delta = versions.deltas.upper_bound(fullSeq); delta != versions.deltas.end(); ++delta) {
    const VersionName name{delta->first, VersionKind::delta};
    if (name.seq != reached + 1) {
      disk.detail = fileName({reached + 1, VersionKind::delta});
      return Kind::tornFile;
    }
    if (auto failed = readVersion(disk, name, image)) return failed;
    reached = name.seq;
    deltaBytes += wholeBlocks(delta->second);
  }
  if (reached != versions.newest()) return Kind::tornFile;
  disk.image = std::move(image);
  disk.lastSeq = reached;
  disk.fullBytes = versions.fulls.at(fullSeq);
  disk.deltaBytes = deltaBytes;
  disk.detail.clear();
  return {};
}

// An older full version serves where the newest one is torn and all deltas between them are still there.
std::error_code readNewest(Disk& disk, const Versions& versions, std::uint64_t& fullSeq) {
  std::error_code failed = Kind::tornFile;
  for (auto full = versions.fulls.rbegin(); full != versions.fulls.rend(); ++full) {
    failed = readChain(disk, versions, fullSeq = full->first);
    if (failed != make_error_code(Kind::tornFile)) return failed;
  }
  return failed;
}

// Not synced: what comes back after a loss of power is removed by the next start.
void removeBefore(Disk& disk, const Versions& versions, std::uint64_t fullSeq) {
  for (const auto& [seq, bytes] : versions.fulls)
    if (seq < fullSeq) disk.files->remove(disk.folder / fileName({seq, VersionKind::full}));
  for (const auto& [seq, bytes] : versions.deltas)
    if (seq <= fullSeq) disk.files->remove(disk.folder / fileName({seq, VersionKind::delta}));
}

std::error_code begin(Disk& disk, const DaemonId& freshId) {
  disk.image.id = freshId;
  disk.lastSeq = kFirstSeq;
  VersionEncoder encoder;
  encoder.add(entry::id(freshId));
  return writeVersion(disk, {kFirstSeq, VersionKind::full}, encoder, disk.fullBytes);
}

bool compactionDue(const Disk& disk) {
  return disk.deltaBytes > std::max(kCompactFloorBytes, disk.fullBytes) && disk.deltaBytes >= disk.compactAgainBytes;
}

std::error_code compact(Disk& disk) {
  VersionEncoder encoder;
  forEachEntry(disk.image, [&](const transport::DiskEntry& entry) { encoder.add(entry); });
  if (auto failed = writeVersion(disk, {disk.lastSeq, VersionKind::full}, encoder, disk.fullBytes)) return failed;
  disk.deltaBytes = 0;
  Versions versions;
  if (!listVersions(disk, versions)) removeBefore(disk, versions, disk.lastSeq);
  return {};
}

}  // namespace

std::error_code openDisk(Disk& disk, const fs::path& folder, const DaemonId& freshId, Files& files) {
  disk = Disk{};
  disk.files = &files;
  disk.folder = folder;
  if (auto failed = files.makeFolder(folder)) return refused(disk, failed, "making the folder");
  if (auto failed = files.lockFolder(folder, disk.lock)) {
    refused(disk, failed, "lock");
    return failed == std::errc::device_or_resource_busy ? Kind::folderInUse : Kind::diskFailed;
  }
  Versions versions;
  if (auto failed = listVersions(disk, versions)) return failed;
  if (versions.empty()) return begin(disk, freshId);
  std::uint64_t fullSeq = 0;
  if (auto failed = readNewest(disk, versions, fullSeq)) return failed;
  // An earlier process may have ended between naming the newest file and syncing the folder.
  if (auto failed = syncFolder(disk)) return failed;
  removeBefore(disk, versions, fullSeq);
  return {};
}

std::error_code writeDelta(Disk& disk, std::span<const transport::DiskEntry> entries) {
  VersionEncoder encoder;
  for (const auto& entry : entries) encoder.add(entry);
  std::uint64_t bytes = 0;
  if (auto failed = writeVersion(disk, {disk.lastSeq + 1, VersionKind::delta}, encoder, bytes)) return failed;
  ++disk.lastSeq;
  disk.deltaBytes += wholeBlocks(bytes);
  for (const auto& entry : entries) apply(disk.image, entry);
  return {};
}

std::error_code compactIfDue(Disk& disk) {
  if (!compactionDue(disk)) return {};
  const auto failed = compact(disk);
  disk.compactAgainBytes = failed ? disk.deltaBytes + kCompactFloorBytes : 0;
  return failed;
}

bool mayPass(const std::error_code& cause) {
  return cause == std::errc::no_space_on_device || cause == std::errc::io_error || cause == std::errc::file_too_large ||
         cause == std::error_code(EDQUOT, std::generic_category()) || cause == std::errc::timed_out ||
         cause == std::errc::interrupted || cause == std::errc::resource_unavailable_try_again;
}

}  // namespace tulip::storage
