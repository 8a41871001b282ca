// Parses and validates the settings object for the load balancer and for the network code; fills in defaults.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::config {

// An invalid configuration. The message begins with the invalid key.
struct Error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The settings of the load balancer. Unknown keys are ignored. Throws Error for a missing required key or for
// a value of the wrong type.
fernward::Settings parse_settings(const nlohmann::json& json);

// The settings of the network code: names used in headers and in the endpoint list, and connection limits.
struct Names {
  std::vector<std::string> classes, tenants, zones, kinds, report_fields;
};
// Class and tenant of requests without these headers; the first matching entry applies.
struct Mapping {
  std::string path_prefix;             // prefix of the request's path
  std::string method;                  // empty: any
  std::string class_name, tenant_name; // empty: none
  double client_timeout_ms = 0;        // 0: none
};
struct Limits {
  double connect_timeout_ms = 250;
  double idle_timeout_ms = 15000;
  double response_grace_ms = 20;
  // After a report that a server drains or is removed, new attempts to it must stop within this time.
  double drain_grace_ms = 250;
  double max_active_requests = 20000;
};
Names parse_names(const nlohmann::json& json);
Limits parse_limits(const nlohmann::json& json);

} // namespace fernward::config
