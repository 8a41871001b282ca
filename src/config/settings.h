// The settings object: what the decision module and the network code need of it, checked, with defaults.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::config {

// What is wrong, in words that begin with the faulty key.
struct Error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The module's part. Unknown keys are passed over; throws Error for a needed key that is missing or for a
// value of the wrong type.
fernward::Settings parse_settings(const nlohmann::json& json);

// The network's part: names as they stand in headers and in discovery's list, and limits of connections.
struct Names {
  std::vector<std::string> classes, tenants, zones, kinds, report_fields;
};
// What a request is that does not say so in its headers; the first that fits counts.
struct Mapping {
  std::string path;        // that its path begins with
  std::string method;      // empty: any
  std::string cls, tenant; // empty: not said
  double timeout_ms = 0;   // 0: not said
};
struct Limits {
  double connect_timeout_ms = 250;
  double conn_idle_ms = 15000;
  double grace_to_answer_ms = 20;
  // After it is told that a server drains or is gone, nothing new may be sent there.
  double drain_grace_ms = 250;
  double open_cap = 20000;
};
Names parse_names(const nlohmann::json& json);
Limits parse_limits(const nlohmann::json& json);

} // namespace fernward::config
