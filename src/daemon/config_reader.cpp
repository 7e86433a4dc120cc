#include "daemon/config_reader.hpp"

#include <algorithm>

#include "base/address.hpp"

namespace tulip::daemon {
namespace {

constexpr std::size_t kBitsPerByte = 8;

/// How long a text holds this machine's own link; a kilobit a second is a bit a millisecond.
Millis transferMs(const Settings& settings, std::size_t bytes) {
  return static_cast<Millis>(bytes * kBitsPerByte) / settings.linkKbps;
}

/// The listener beside the replica that grants this daemon's session, where the text would hold the own link for longer
/// than the pause between two heartbeats.
std::optional<Address> listenerBesideHome(const control::ControlClient& client, std::size_t textBytes) {
  const auto& settings = client.settings;
  if (settings.linkKbps <= 0 || client.home.empty()) return {};
  if (transferMs(settings, textBytes) <= settings.bounds.heartbeatMs()) return {};
  const auto listener = std::ranges::find(settings.faces, FaceKind::control, &Face::kind);
  if (listener == settings.faces.end() || hostOf(client.home) == hostOf(listener->at)) return {};
  // Daemons that speak an adapter listen at the same ports on all machines.
  return Address(std::string(hostOf(client.home)) + ":" + std::string(portOf(listener->at)));
}

}  // namespace

std::optional<Address> configReader(const control::ControlClient& client) {
  return listenerBesideHome(client, client.configText.size());
}

std::optional<Address> configEditor(const control::ControlClient& client, std::size_t bodyBytes) {
  return listenerBesideHome(client, bodyBytes);
}

}  // namespace tulip::daemon
