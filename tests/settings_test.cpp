// Parsing of the settings JSON, and validation of the parsed settings.
#include "simulator_adapter/settings.h"

#include <gtest/gtest.h>

#include <cmath>

#include "balancer_driver.h"
#include "simulator_adapter/wire.h"

namespace fernward {
namespace {

const char* const kFullSettings =
    R"({"balancers": 4, "me": 2, "my_zone": 1, "tick": 2.5, "over_share_worth": 0.2,
  "classes": [{"aim": 600.0, "dedup_scope": "zone", "give_up": 2000.0, "late_share": 0.25, "repeat": "keyed",
               "stream": true, "window": 5000.0, "worth": 10.0}],
  "extra": {"mode": "aside", "origin_kind": 2},
  "limits": {"max_attempts": 6, "may_cancel": true, "may_duplicate": true, "may_probe": true,
             "retry_after": true, "max_retry_after": 900.0, "connect_timeout": 200.0},
  "obligations": {"ask_every": 10000.0, "start_capacity": 0.32, "warm_after": 8100.0, "tip_after": 3000.0},
  "parties": [{"name": "x", "quota_per_s": 45.0, "share": 0.2}],
  "registry_mode": "ask", "weight_kind": "live",
  "telemetry": {"via": "on_probe", "columns": ["qps", "latency_ms", "queue", "x9"]}})";

TEST(SettingsJson, ReadsAllDocumentedKeys) {
  const Settings s = simulator_adapter::parse_settings(kFullSettings);
  EXPECT_EQ(s.router_count, 4u);
  EXPECT_EQ(s.zone, 1u);
  EXPECT_EQ(s.origin_kind, 2);
  EXPECT_EQ(s.max_attempts, 6u);
  EXPECT_DOUBLE_EQ(s.event_interval_ms, 2.5);
  EXPECT_DOUBLE_EQ(s.over_quota_weight, 0.2);
  EXPECT_DOUBLE_EQ(s.slow_start_ms, 8100);
  EXPECT_DOUBLE_EQ(s.max_retry_after_ms, 900);
  EXPECT_EQ(s.discovery, DiscoveryMode::Poll);
  EXPECT_EQ(s.weight_kind, WeightKind::Live);
  EXPECT_EQ(s.load_report_source, LoadReportSource::HealthChecks);
  EXPECT_EQ(s.load_report_fields,
            (std::vector<LoadReportField>{LoadReportField::RequestRate, LoadReportField::LatencyMs,
                                          LoadReportField::Queue, LoadReportField::Other}));
  ASSERT_EQ(s.classes.size(), 1u);
  EXPECT_EQ(s.classes[0].idempotency, Idempotency::WithKey);
  EXPECT_EQ(s.classes[0].idempotency_scope, IdempotencyScope::Zone);
  EXPECT_TRUE(s.classes[0].streaming);
  EXPECT_DOUBLE_EQ(s.classes[0].late_response_value_share, 0.25);
  ASSERT_EQ(s.tenants.size(), 1u);
  EXPECT_DOUBLE_EQ(s.tenants[0].quota_per_s, 45);
}

TEST(SettingsJson, ModeOtherThanAsideHasNoOriginKind) {
  std::string text = kFullSettings;
  text.replace(text.find("aside"), 5, "thru!");
  EXPECT_EQ(simulator_adapter::parse_settings(text).origin_kind, -1);
}

TEST(SettingsJson, RejectsWrongTypesAndMissingKeys) {
  EXPECT_THROW(simulator_adapter::parse_settings("[1, 2]"), simulator_adapter::BadInput);
  EXPECT_THROW(simulator_adapter::parse_settings(R"({"balancers": "three"})"), simulator_adapter::BadInput);
  std::string text = kFullSettings;
  text.replace(text.find("max_attempts"), 12, "min_attempts");
  EXPECT_THROW(simulator_adapter::parse_settings(text), simulator_adapter::BadInput);
}

TEST(Validate, NamesTheInvalidField) {
  const auto message = [](auto change) {
    Settings s = testing::plain_settings();
    change(s);
    try {
      Balancer balancer(s, 1);
    } catch (const std::invalid_argument& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  EXPECT_EQ(message([](Settings&) {}), "");
  EXPECT_NE(message([](Settings& s) { s.classes.clear(); }).find("classes"), std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.router_count = 0; }).find("nodes"), std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.router_count = 65537; }).find("nodes"), std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.classes[0].latency_objective_ms = -1; }).find("classes[0].aim_ms"),
            std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.classes[0].late_response_value_share = 1.5; }).find("late_share"),
            std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.slow_start_min_capacity = -0.1; }).find("start_capacity"),
            std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.slow_start_ms = std::nan(""); }).find("warm_after_ms"),
            std::string::npos);
  EXPECT_NE(message([](Settings& s) { s.max_attempts = 0; }).find("max_attempts"), std::string::npos);
}

} // namespace
} // namespace fernward
