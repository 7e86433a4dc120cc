#pragma once
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "storage/files.hpp"

namespace tulip::storage {

/// A folder on a disk that loses power. Content is sure once it is synced, and a file's name once the folder is synced
/// after the file was made, renamed or removed. At a loss of power each change of a name since then is kept or lost by
/// itself, and bytes that were not synced are there, missing or torn.
class FolderModel : public Files {
 public:
  explicit FolderModel(std::uint64_t seed) : random_(seed) {}

  /// The share of operations that fail from now on, in percent.
  int failPercent = 0;
  /// While it is true nothing more can be written, but everything else can be done.
  bool full = false;
  /// The operations done so far, and the one after which the power is lost or the process is killed: none if negative.
  int operations = 0, stopAt = -1;
  /// True once the process may do nothing more.
  bool stopped = false;

  void killProcess() { start(); }

  void losePower() {
    for (const auto& change : unsynced_) {
      if (change.madeAs && chance(50)) durable_[*change.madeAs] = change.file;
      if (change.removedAs && chance(50) && durable_.contains(*change.removedAs) &&
          durable_[*change.removedAs] == change.file)
        durable_.erase(*change.removedAs);
    }
    for (auto& [name, file] : durable_) file->content = afterLoss(*file);
    names_ = durable_;
    unsynced_.clear();
    start();
  }

  std::uint64_t totalBytes() const {
    std::uint64_t bytes = 0;
    for (const auto& [name, file] : names_) bytes += file->content.size();
    return bytes;
  }
  std::size_t count() const { return names_.size(); }
  bool contains(const std::string& name) const { return names_.contains(name); }

  std::error_code makeFolder(const std::filesystem::path&) override { return proceed(); }
  std::error_code lockFolder(const std::filesystem::path&, std::shared_ptr<void>&) override { return proceed(); }

  std::error_code list(const std::filesystem::path&, std::vector<FolderItem>& items) override {
    if (auto failed = proceed()) return failed;
    for (const auto& [name, file] : names_) items.push_back({name, file->content.size()});
    return {};
  }

  std::error_code read(const std::filesystem::path& file, std::string& bytes) override {
    if (auto failed = proceed()) return failed;
    const auto found = names_.find(file.filename().string());
    if (found == names_.end()) return std::make_error_code(std::errc::no_such_file_or_directory);
    bytes = found->second->content;
    return {};
  }

  std::error_code write(const std::filesystem::path& path, std::span<const std::string_view> parts) override {
    std::string content;
    for (const auto part : parts) content += part;
    if (auto failed = proceed()) return failed;
    const auto name = path.filename().string();
    auto& file = names_[name];
    if (!file) {
      file = std::make_shared<File>();
      unsynced_.push_back({file, name, {}});
    }
    file->synced = false;
    if (full || chance(failPercent)) {
      file->content = content.substr(0, below(content.size() + 1));
      return std::make_error_code(full ? std::errc::no_space_on_device : std::errc::io_error);
    }
    file->content = std::move(content);
    if (auto failed = proceed()) return failed;  // the sync
    file->synced = true;
    file->syncedContent = file->content;
    return {};
  }

  std::error_code rename(const std::filesystem::path& from, const std::filesystem::path& to) override {
    if (auto failed = proceed()) return failed;
    const auto old = from.filename().string();
    const auto file = names_.at(old);
    names_.erase(old);
    names_[to.filename().string()] = file;
    unsynced_.push_back({file, to.filename().string(), old});
    return {};
  }

  std::error_code remove(const std::filesystem::path& path) override {
    if (auto failed = proceed()) return failed;
    const auto found = names_.find(path.filename().string());
    if (found == names_.end()) return std::make_error_code(std::errc::no_such_file_or_directory);
    unsynced_.push_back({found->second, {}, found->first});
    names_.erase(found);
    return {};
  }

  std::error_code syncFolder(const std::filesystem::path&) override {
    if (auto failed = proceed()) return failed;
    durable_ = names_;
    unsynced_.clear();
    return {};
  }

 private:
  struct File {
    std::string content, syncedContent;
    bool synced = false;
  };
  using FilePtr = std::shared_ptr<File>;

  /// A change of one file's names that the folder has not been synced after.
  struct Unsynced {
    FilePtr file;
    std::optional<std::string> madeAs, removedAs;
  };

  bool chance(int percent) { return static_cast<int>(random_() % 100) < percent; }
  std::size_t below(std::size_t bound) { return bound == 0 ? 0 : random_() % bound; }

  void start() {
    stopped = false;
    stopAt = -1;
  }

  std::error_code proceed() {
    if (stopped || operations == stopAt) {
      stopped = true;
      return std::make_error_code(std::errc::owner_dead);
    }
    ++operations;
    return chance(failPercent) ? std::make_error_code(std::errc::io_error) : std::error_code();
  }

  std::string afterLoss(File& file) {
    if (file.synced) return file.content;
    switch (random_() % 4) {
      case 0:
        return file.content;
      case 1:
        return file.syncedContent;
      case 2:
        return file.content.substr(0, below(file.content.size() + 1));
      default:
        return std::string(file.content.size(), '\0');
    }
  }

  std::mt19937_64 random_;
  std::map<std::string, FilePtr> names_, durable_;
  std::vector<Unsynced> unsynced_;
};

}  // namespace tulip::storage
