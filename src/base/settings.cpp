#include "base/settings.hpp"

#include <utility>

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fstream>
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
    {"max-body-bytes", 1024, 67108864,
     [](Settings& e, std::int64_t v) { e.maxBodyBytes = static_cast<std::size_t>(v); }},
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

}  // namespace

bool validAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  boost::system::error_code failed;
  boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), failed);
  std::int64_t port = 0;
  return !failed && parseCount(text.substr(colon + 1), port) && port >= 1 && port <= 65535;
}

const std::vector<std::string>& settingsKeys() {
  static const std::vector<std::string> keys = [] {
    std::vector<std::string> all{"signal", "http", "cell", "name", "worker", "data-folder", "seeds"};
    for (const auto& row : counts) all.emplace_back(row.key);
    return all;
  }();
  return keys;
}

bool readSettings(Role role, const SettingsFlags& flags, Settings& settings, SettingsFault& fault) {
  settings = Settings{};
  settings.role = role;
  SettingsFlags merged;
  std::map<std::string, std::string> from;
  if (auto file = flags.find("env-file"); file != flags.end()) {
    settings.settingsFile = file->second;
    std::ifstream in(file->second);
    std::stringstream text;
    text << in.rdbuf();
    Json root = in ? parseJson(text.str()) : nullptr;
    if (!root || !json_is_object(root.get())) {
      fault = {file->second, "(whole file)", "one readable JSON object without repeated keys"};
      return false;
    }
    const char* key;
    json_t* value;
    json_object_foreach(root.get(), key, value) {
      std::string text;
      if (json_is_string(value))
        text = json_string_value(value);
      else if (json_is_integer(value))
        text = std::to_string(json_integer_value(value));
      else if (json_is_array(value)) {
        for (std::size_t i = 0; i < json_array_size(value); ++i) {
          const char* part = json_string_value(json_array_get(value, i));
          text += (i ? "," : "") + std::string(part ? part : "?");
        }
      } else {
        fault = {file->second, key, "a text, a whole number or a list of texts"};
        return false;
      }
      merged[key] = text;
      from[key] = file->second;
    }
  }
  for (const auto& [key, value] : flags)
    if (key != "env-file") {
      merged[key] = value;
      from[key] = "flags";
    }
  for (const auto& [key, value] : merged) {
    std::string allowed;
    if (!putKey(settings, key, value, allowed)) {
      fault = {from[key], key, allowed};
      return false;
    }
  }
  const std::string whole = settings.settingsFile.empty() ? "flags" : settings.settingsFile;
  auto need = [&](bool present, const char* key, const char* allowed) {
    if (present) return true;
    fault = {whole, key, allowed};
    return false;
  };
  if (!need(!settings.peerAddress.empty(), "signal", "must be given")) return false;
  if (!need(!settings.http.empty(), "http", "must be given")) return false;
  if (!need(settings.http != settings.peerAddress, "http", "an address other than signal")) return false;
  if (!need(!settings.zone.empty(), "cell", "must be given")) return false;
  if (!need(settings.seeds.size() == 3, "seeds", "must be given: three addresses of replicas")) return false;
  if (role == Role::replica && !need(!settings.dataFolder.empty(), "data-folder", "must be given to a replica"))
    return false;
  if (role == Role::agent && !need(!settings.worker.empty(), "worker", "must be given to a agent: the worker's name"))
    return false;
  return true;
}

std::string faultLine(const SettingsFault& fault) {
  return fault.source + ": " + fault.key + ": allowed is " + fault.allowed;
}

}  // namespace tulip
