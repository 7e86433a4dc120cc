#include "base/settings.hpp"

#include <utility>

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fstream>
#include <optional>
#include <sstream>

#include "base/json.hpp"

namespace tulip {
namespace {

bool parseCount(std::string_view text, std::int64_t& value) {
  auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), value);
  return failed == std::errc() && end == text.data() + text.size();
}

bool plainName(std::string_view text) {
  if (text.empty() || text.size() > 64) return false;
  for (char c : text)
    if (!(isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.')) return false;
  return true;
}

constexpr const char* kMetricsAllowed = "a port, '/' and a path, such as 9100/metrics";
constexpr const char* kAnyHost = "127.0.0.1";  // to check the port before the own interface's host is known

struct CountKey {
  std::string_view key;
  std::int64_t low, high;
  void (*put)(Settings&, std::int64_t);
};

const CountKey counts[] = {
    {"term-ms", 200, 60000, [](Settings& e, std::int64_t v) { e.bounds.leaseMs = v; }},
    {"worker-term-ms", 200, 60000, [](Settings& e, std::int64_t v) { e.bounds.workerLeaseMs = v; }},
    {"stop-ms", 100, 600000, [](Settings& e, std::int64_t v) { e.bounds.stopMs = v; }},
    {"call-ms", 100, 600000, [](Settings& e, std::int64_t v) { e.bounds.callMs = v; }},
    {"ring-items", 64, 1048576, [](Settings& e, std::int64_t v) { e.ringItems = static_cast<std::size_t>(v); }},
    {"link-kbps", 8, 1000000000, [](Settings& e, std::int64_t v) { e.linkKbps = v; }},
    {"max-body-bytes", 1024, 67108864,
     [](Settings& e, std::int64_t v) { e.maxBodyBytes = static_cast<std::size_t>(v); }},
    {"memory-mb", 16, 1048576, [](Settings& e, std::int64_t v) { e.limits.memoryBytes = v << 20; }},
    {"file-handles", 64, 1048576, [](Settings& e, std::int64_t v) { e.limits.descriptors = v; }},
};

bool putKey(Settings& settings, const std::string& key, const std::string& value, std::string& allowed) {
  auto address = [&](Address& into) {
    allowed = "an IP number and a port, such as 127.0.0.1:7001";
    if (!validAddress(value)) return false;
    into = Address(value);
    return true;
  };
  if (key == "signal") return address(settings.peerAddress);
  if (key == "http") return address(settings.http);
  if (key == "cell" || key == "name" || key == "worker") {
    allowed = "1 to 64 letters, digits, '-', '_' or '.'";
    if (!plainName(value)) return false;
    if (key == "cell") settings.zone = ZoneName(value);
    if (key == "name") settings.name = value;
    if (key == "worker") settings.worker = value;
    return true;
  }
  if (key == "data-folder") {
    allowed = "a folder's path";
    settings.dataFolder = value;
    return !value.empty();
  }
  if (key == "seeds") {
    allowed = "three addresses of replicas, joined by commas";
    settings.seeds.clear();
    std::stringstream parts(value);
    for (std::string part; std::getline(parts, part, ',');) {
      if (!validAddress(part)) return false;
      for (const auto& seed : settings.seeds)
        if (seed.value == part) return false;
      settings.seeds.emplace_back(part);
    }
    return settings.seeds.size() == 3;
  }
  if (key == "metrics") {
    allowed = kMetricsAllowed;
    Settings checked;
    settings.metricsPath = value;
    return readMetricsSetting(value, kAnyHost, checked);
  }
  for (const auto& row : counts)
    if (row.key == key) {
      allowed = "a whole number from " + std::to_string(row.low) + " to " + std::to_string(row.high);
      std::int64_t number = 0;
      if (!parseCount(value, number) || number < row.low || number > row.high) return false;
      row.put(settings, number);
      return true;
    }
  allowed = "one of the known keys";
  return false;
}

struct GivenSetting {
  std::string value;
  std::string source;  // the file, or "flags"
};

using GivenSettings = std::map<std::string, GivenSetting>;

// A setting of the file as a flag would give it; empty where it has a type that no setting has.
std::optional<std::string> textOf(const json_t* value) {
  if (json_is_string(value)) return json_string_value(value);
  if (json_is_integer(value)) return std::to_string(json_integer_value(value));
  if (!json_is_array(value)) return {};
  std::string joined;
  for (std::size_t i = 0; i < json_array_size(value); ++i) {
    const char* part = json_string_value(json_array_get(value, i));
    joined += (i ? "," : "") + std::string(part ? part : "?");
  }
  return joined;
}

bool readFile(const std::string& file, GivenSettings& given, SettingsFault& fault) {
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  const Json root = in ? parseJson(text.str()) : nullptr;
  if (!json_is_object(root.get())) {
    fault = {file, "(whole file)", "one readable JSON object without repeated keys"};
    return false;
  }
  const char* key;
  json_t* value;
  json_object_foreach(root.get(), key, value) {
    auto setting = textOf(value);
    if (!setting) {
      fault = {file, key, "a text, a whole number or a list of texts"};
      return false;
    }
    given[key] = {std::move(*setting), file};
  }
  return true;
}

bool nothingMissing(const Settings& settings, SettingsFault& fault) {
  const std::string whole = settings.settingsFile.empty() ? "flags" : settings.settingsFile;
  const auto need = [&](bool present, const char* key, const char* allowed) {
    if (!present) fault = {whole, key, allowed};
    return present;
  };
  return need(!settings.peerAddress.empty(), "signal", "must be given") &&
         need(!settings.http.empty(), "http", "must be given") &&
         need(settings.http != settings.peerAddress, "http", "an address other than signal") &&
         need(!settings.zone.empty(), "cell", "must be given") &&
         need(settings.seeds.size() == 3, "seeds", "must be given: three addresses of replicas") &&
         need(settings.role != Role::replica || !settings.dataFolder.empty(), "data-folder",
              "must be given to a replica") &&
         need(settings.role != Role::agent || !settings.worker.empty(), "worker",
              "must be given to a agent: the worker's name");
}

/// The listener for metrics stands at the machine of the own interface, which may be given after it.
bool placeMetrics(Settings& settings, SettingsFault& fault) {
  const auto text = std::exchange(settings.metricsPath, {});
  const auto& http = settings.http.value;
  const bool placed = readMetricsSetting(text, http.substr(0, http.rfind(':')), settings);
  if (!placed) fault = {settings.settingsFile.empty() ? "flags" : settings.settingsFile, "metrics", kMetricsAllowed};
  return placed;
}

}  // namespace

bool validAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  boost::system::error_code failed;
  boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), failed);
  std::int64_t port = 0;
  return !failed && parseCount(text.substr(colon + 1), port) && port >= 1 && port <= 65535;
}

bool readMetricsSetting(std::string_view text, std::string_view ip, Settings& settings) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos || slash + 1 == text.size()) return false;
  const auto at = std::string(ip) + ":" + std::string(text.substr(0, slash));
  const auto path = text.substr(slash);
  if (!validAddress(at) || path.find_first_of(" ?#") != std::string_view::npos) return false;
  settings.faces.push_back({FaceKind::metrics, Address(at)});
  settings.metricsPath = path;
  return true;
}

const std::vector<std::string>& settingsKeys() {
  static const std::vector<std::string> keys = [] {
    std::vector<std::string> all{"signal", "http", "cell", "name", "worker", "data-folder", "seeds", "metrics"};
    for (const auto& row : counts) all.emplace_back(row.key);
    return all;
  }();
  return keys;
}

bool readSettings(Role role, const SettingsFlags& flags, Settings& settings, SettingsFault& fault) {
  settings = Settings{};
  settings.role = role;
  GivenSettings given;
  if (auto file = flags.find("env-file"); file != flags.end()) {
    settings.settingsFile = file->second;
    if (!readFile(file->second, given, fault)) return false;
  }
  for (const auto& [key, value] : flags)
    if (key != "env-file") given[key] = {value, "flags"};
  for (const auto& [key, setting] : given) {
    std::string allowed;
    if (!putKey(settings, key, setting.value, allowed)) {
      fault = {setting.source, key, allowed};
      return false;
    }
  }
  if (!nothingMissing(settings, fault)) return false;
  return settings.metricsPath.empty() || placeMetrics(settings, fault);
}

std::string faultLine(const SettingsFault& fault) {
  return fault.source + ": " + fault.key + ": allowed is " + fault.allowed;
}

}  // namespace tulip
