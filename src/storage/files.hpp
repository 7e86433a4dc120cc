#pragma once
#include <cstdint>
#include <filesystem>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace tulip::storage {

/// A file of a data folder, as listed.
struct FolderItem {
  std::string name;
  std::uint64_t bytes = 0;
};

/// The file operations that a data folder is kept with. Tests put a model of a failing disk in their place.
class Files {
 public:
  virtual ~Files() = default;

  /// Makes the folder where it is missing, and makes its entry in its parent durable.
  virtual std::error_code makeFolder(const std::filesystem::path& folder) = 0;
  /// Holds the folder for this process until the last copy of `lock` is gone.
  virtual std::error_code lockFolder(const std::filesystem::path& folder, std::shared_ptr<void>& lock) = 0;
  virtual std::error_code list(const std::filesystem::path& folder, std::vector<FolderItem>& items) = 0;
  virtual std::error_code read(const std::filesystem::path& file, std::string& bytes) = 0;
  /// Makes a new file of these parts, one after the other, and syncs its content but not its folder.
  virtual std::error_code write(const std::filesystem::path& file, std::span<const std::string_view> parts) = 0;
  virtual std::error_code rename(const std::filesystem::path& from, const std::filesystem::path& to) = 0;
  virtual std::error_code remove(const std::filesystem::path& file) = 0;
  /// Makes every file made, renamed or removed so far durable.
  virtual std::error_code syncFolder(const std::filesystem::path& folder) = 0;
};

/// The machine's own file system.
Files& systemFiles();

}  // namespace tulip::storage
