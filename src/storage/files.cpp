#include "storage/files.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace tulip::storage {
namespace fs = std::filesystem;

namespace {

std::error_code lastError() { return {errno, std::generic_category()}; }

std::error_code writeAll(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto wrote = ::write(file, bytes.data(), bytes.size());
    if (wrote < 0 && errno == EINTR) continue;
    if (wrote < 0) return lastError();
    if (wrote == 0) return std::make_error_code(std::errc::no_space_on_device);
    bytes.remove_prefix(static_cast<std::size_t>(wrote));
  }
  return {};
}

std::error_code writeParts(int file, std::span<const std::string_view> parts) {
  for (const auto part : parts)
    if (auto failed = writeAll(file, part)) return failed;
  return ::fsync(file) == 0 ? std::error_code() : lastError();
}

std::error_code readAll(int file, std::string& bytes) {
  struct stat seen {};
  if (::fstat(file, &seen) != 0) return lastError();
  bytes.resize(static_cast<std::size_t>(seen.st_size));
  std::size_t filled = 0;
  while (filled < bytes.size()) {
    const auto got = ::read(file, bytes.data() + filled, bytes.size() - filled);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return lastError();
    if (got == 0) break;
    filled += static_cast<std::size_t>(got);
  }
  bytes.resize(filled);
  return {};
}

class SystemFiles final : public Files {
 public:
  std::error_code makeFolder(const fs::path& folder) override {
    std::vector<fs::path> missing;
    auto level = fs::absolute(folder).lexically_normal();
    if (!level.has_filename()) level = level.parent_path();
    const auto whole = level;
    std::error_code unknown;
    for (; level.has_relative_path() && !fs::exists(level, unknown); level = level.parent_path())
      missing.push_back(level);
    std::error_code failed;
    fs::create_directories(whole, failed);
    if (failed) return failed;
    for (const auto& made : missing)
      if (auto unsynced = syncFolder(made.parent_path())) return unsynced;
    // An earlier process may have ended between making the folder and syncing its parent. A parent that can't be
    // opened belongs to somebody else, who made the folder durable.
    if (missing.empty()) syncFolder(whole.parent_path());
    return {};
  }

  std::error_code lockFolder(const fs::path& folder, std::shared_ptr<void>& lock) override {
    const int handle = ::open((folder / "lock").c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0644);
    if (handle < 0) return lastError();
    if (::flock(handle, LOCK_EX | LOCK_NB) != 0) {
      ::close(handle);
      return std::make_error_code(std::errc::device_or_resource_busy);
    }
    lock = std::shared_ptr<void>(nullptr, [handle](void*) { ::close(handle); });
    return {};
  }

  std::error_code list(const fs::path& folder, std::vector<FolderItem>& items) override {
    std::error_code failed;
    for (fs::directory_iterator item(folder, failed), end; !failed && item != end; item.increment(failed)) {
      std::error_code unknown;
      const auto bytes = item->file_size(unknown);
      items.push_back({item->path().filename().string(), unknown ? 0 : bytes});
    }
    return failed;
  }

  std::error_code read(const fs::path& file, std::string& bytes) override {
    const int handle = ::open(file.c_str(), O_RDONLY | O_CLOEXEC);
    if (handle < 0) return lastError();
    const auto failed = readAll(handle, bytes);
    ::close(handle);
    return failed;
  }

  std::error_code write(const fs::path& file, std::span<const std::string_view> parts) override {
    const int handle = ::open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (handle < 0) return lastError();
    const auto failed = writeParts(handle, parts);
    ::close(handle);
    return failed;
  }

  std::error_code rename(const fs::path& from, const fs::path& to) override {
    return ::rename(from.c_str(), to.c_str()) == 0 ? std::error_code() : lastError();
  }

  std::error_code remove(const fs::path& file) override {
    return ::unlink(file.c_str()) == 0 ? std::error_code() : lastError();
  }

  std::error_code syncFolder(const fs::path& folder) override {
    const int handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle < 0) return lastError();
    const auto failed = ::fsync(handle) == 0 ? std::error_code() : lastError();
    ::close(handle);
    return failed;
  }
};

}  // namespace

Files& systemFiles() {
  static SystemFiles files;
  return files;
}

}  // namespace tulip::storage
