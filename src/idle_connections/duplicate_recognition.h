// Decides at which servers a duplicate response may be recognized by its body. No I/O, no clock.
#pragma once

#include <cstdint>
#include <unordered_map>

namespace fernward::idle_connections {

/// Tracks the servers whose consecutive responses were equal. Equal values of different keys look like
/// duplicates, and a request fails at each, so after an equal response the reuse delay applies for a while.
/// Times are milliseconds; `now` only advances. State: one entry for each server with an equal response.
class DuplicateRecognition {
 public:
  using EndpointId = std::uint32_t;

  /// Whether bodies may be compared at the server. False: its connections have the reuse delay.
  bool is_allowed(double now, EndpointId endpoint) const {
    const auto found = suspended_until_.find(endpoint);
    return found == suspended_until_.end() || now >= found->second;
  }
  /// Two consecutive responses on a connection were equal.
  void on_equal_responses(double now, EndpointId endpoint) {
    suspended_until_[endpoint] = now + kSuspensionMs;
  }
  /// The server was removed.
  void forget(EndpointId endpoint) { suspended_until_.erase(endpoint); }

 private:
  static constexpr double kSuspensionMs = 60000; // at most one request a minute fails for equal values

  std::unordered_map<EndpointId, double> suspended_until_;
};

} // namespace fernward::idle_connections
