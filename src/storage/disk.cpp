#include "storage/disk.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <boost/crc.hpp>
#include <cstring>
#include <fstream>
#include <optional>

namespace tulip::storage {
namespace fs = std::filesystem;

namespace {

constexpr std::string_view kMagic = "TULIPHOLD1";
constexpr std::uint64_t kCompactFloorBytes = 1 << 20;

struct Header {
  std::string magic;
  std::string owner;
  std::uint64_t seq = 0;
  std::uint32_t sum = 0;
  std::string body;
  MSGPACK_DEFINE(magic, owner, seq, sum, body)
};

std::uint32_t checksum(const std::string& owner, std::uint64_t seq, std::string_view body) {
  boost::crc_32_type crc;
  crc.process_bytes(owner.data(), owner.size());
  crc.process_bytes(&seq, sizeof seq);
  crc.process_bytes(body.data(), body.size());
  return crc.checksum();
}

std::string fileName(std::uint64_t seq, bool full) {
  char text[64];
  std::snprintf(text, sizeof text, "v-%020llu.%s", static_cast<unsigned long long>(seq), full ? "full" : "delta");
  return text;
}

bool writeAll(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto wrote = ::write(file, bytes.data(), bytes.size());
    if (wrote < 0 && errno == EINTR) continue;
    if (wrote <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(wrote));
  }
  return true;
}

bool syncFolder(const fs::path& folder) {
  const int handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY);
  if (handle < 0) return false;
  const bool good = ::fsync(handle) == 0;
  ::close(handle);
  return good;
}

std::error_code writeVersion(Disk& disk, std::uint64_t seq, bool full, std::span<const transport::DiskEntry> entries) {
  msgpack::sbuffer body;
  msgpack::packer<msgpack::sbuffer> packer(body);
  packer.pack_array(static_cast<std::uint32_t>(entries.size()));
  for (const auto& entry : entries) packer.pack(entry);
  Header header{std::string(kMagic), disk.image.id.value, seq, 0, std::string(body.data(), body.size())};
  header.sum = checksum(header.owner, seq, header.body);
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, header);

  const auto name = fileName(seq, full);
  const auto aside = disk.folder / (name + ".aside");
  const int file = ::open(aside.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  if (file < 0) {
    disk.detail = std::strerror(errno);
    return Kind::diskFailed;
  }
  const bool good = writeAll(file, {bytes.data(), bytes.size()}) && ::fsync(file) == 0;
  if (!good) disk.detail = std::strerror(errno);
  ::close(file);
  std::error_code failed;
  if (!good) {
    fs::remove(aside, failed);
    return Kind::diskFailed;
  }
  fs::rename(aside, disk.folder / name, failed);
  if (failed || !syncFolder(disk.folder)) {
    disk.detail = failed ? failed.message() : "directory sync failed";
    return Kind::diskFailed;
  }
  disk.counts.syncs += 2;
  disk.counts.bytes += bytes.size();
  (full ? disk.fullBytes : disk.deltaBytes) = bytes.size() + (full ? 0 : disk.deltaBytes);
  ++(full ? disk.counts.fulls : disk.counts.deltas);
  return {};
}

std::optional<std::pair<std::string, std::vector<transport::DiskEntry>>> readVersion(const fs::path& path,
                                                                                     std::uint64_t seq) {
  std::ifstream in(path, std::ios::binary);
  const std::string bytes((std::istreambuf_iterator<char>(in)), {});
  try {
    const auto header = msgpack::unpack(bytes.data(), bytes.size()).get().as<Header>();
    if (header.magic != kMagic || header.seq != seq || header.sum != checksum(header.owner, seq, header.body))
      return {};
    return std::pair{
        header.owner,
        msgpack::unpack(header.body.data(), header.body.size()).get().as<std::vector<transport::DiskEntry>>()};
  } catch (const std::exception&) {
    return {};
  }
}

std::error_code compact(Disk& disk) {
  const auto all = snapshot(disk.image);
  if (auto failed = writeVersion(disk, disk.lastSeq, true, all)) return failed;
  disk.deltaBytes = 0;
  std::error_code ignored;
  for (const auto& item : fs::directory_iterator(disk.folder, ignored)) {
    const auto name = item.path().filename().string();
    std::uint64_t seq = 0;
    char kind[8] = {};
    if (std::sscanf(name.c_str(), "v-%20lu.%7s", &seq, kind) != 2) continue;
    const bool full = std::strcmp(kind, "full") == 0;
    if (seq < disk.lastSeq || (seq == disk.lastSeq && !full)) fs::remove(item.path(), ignored);
  }
  return {};
}

}  // namespace

std::error_code openDisk(Disk& disk, const fs::path& folder, const DaemonId& freshId) {
  disk = Disk{};
  disk.folder = folder;
  std::error_code failed;
  fs::create_directories(folder, failed);
  if (failed) {
    disk.detail = failed.message();
    return Kind::diskFailed;
  }
  const int lock = ::open((folder / "lock").c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0644);
  if (lock < 0 || ::flock(lock, LOCK_EX | LOCK_NB) != 0) {
    if (lock >= 0) ::close(lock);
    disk.detail = "the data folder is in use by another process";
    return Kind::diskFailed;
  }
  disk.lock = std::shared_ptr<void>(nullptr, [lock](void*) { ::close(lock); });
  std::map<std::uint64_t, fs::path> fulls, deltas;
  std::uint64_t newest = 0;
  for (const auto& item : fs::directory_iterator(folder, failed)) {
    const auto name = item.path().filename().string();
    if (name.ends_with(".aside")) {
      std::error_code ignored;
      fs::remove(item.path(), ignored);
      continue;
    }
    std::uint64_t seq = 0;
    char kind[8] = {};
    if (std::sscanf(name.c_str(), "v-%20lu.%7s", &seq, kind) != 2) continue;
    (std::strcmp(kind, "full") == 0 ? fulls : deltas)[seq] = item.path();
    newest = std::max(newest, seq);
  }
  if (fulls.empty() && deltas.empty()) {
    disk.image.id = freshId;
    disk.lastSeq = 1;
    const std::vector<transport::DiskEntry> first{entry::id(freshId)};
    return writeVersion(disk, 1, true, first);
  }
  for (auto full = fulls.rbegin(); full != fulls.rend(); ++full) {
    auto base = readVersion(full->second, full->first);
    if (!base) {
      disk.detail = full->second.filename().string();
      continue;
    }
    Image image;
    for (const auto& entry : base->second) apply(image, entry);
    std::uint64_t reached = full->first;
    bool torn = image.id.value != base->first;
    for (auto delta = deltas.upper_bound(full->first); delta != deltas.end() && !torn; ++delta) {
      auto step = readVersion(delta->second, delta->first);
      torn = delta->first != reached + 1 || !step || step->first != image.id.value;
      if (torn) {
        disk.detail = delta->second.filename().string();
        break;
      }
      for (const auto& entry : step->second) apply(image, entry);
      reached = delta->first;
    }
    if (!torn && reached == newest) {
      disk.image = std::move(image);
      disk.lastSeq = reached;
      disk.detail.clear();
      return {};
    }
  }
  return Kind::tornFile;
}

std::error_code writeDelta(Disk& disk, std::span<const transport::DiskEntry> entries) {
  if (auto failed = writeVersion(disk, disk.lastSeq + 1, false, entries)) return failed;
  ++disk.lastSeq;
  for (const auto& entry : entries) apply(disk.image, entry);
  if (disk.deltaBytes <= std::max<std::uint64_t>(kCompactFloorBytes, 2 * disk.fullBytes) ||
      disk.deltaBytes < disk.compactAgainBytes)
    return {};
  disk.compactAgainBytes = compact(disk) ? disk.deltaBytes + kCompactFloorBytes : 0;
  return {};
}

}  // namespace tulip::storage
