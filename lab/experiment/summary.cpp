#include "lab/experiment/summary.h"

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <cstdio>
#include <stdexcept>

namespace fernward::lab {
namespace {

std::string percent(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f%%", value * 100);
  return text;
}
std::string milliseconds(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.0fms", value);
  return text;
}
std::string per_second(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f/s", value);
  return text;
}

double share(std::uint64_t part, std::uint64_t of) {
  return of > 0 ? static_cast<double>(part) / static_cast<double>(of) : 0;
}

} // namespace

const std::array<Column, kColumns>& columns() {
  static const std::array<Column, kColumns> all{{
      {"score", "score", true, [](const Result& r) { return r.findings.score; }, percent},
      {"service", "service", true, [](const Result& r) { return r.findings.whole; }, percent},
      {"worst 10 s", "worst_window", true, [](const Result& r) { return r.findings.worst_window; }, percent},
      {"worst tenant", "worst_tenant", true, [](const Result& r) { return r.findings.worst_tenant; },
       percent},
      {"refused", "refused", false,
       [](const Result& r) {
         const Tally t = r.figures.whole().tally;
         return share(t.refused(), t.drawn);
       },
       percent},
      {"failed", "failed", false,
       [](const Result& r) {
         const Tally t = r.figures.whole().tally;
         return share(t.failed(), t.drawn);
       },
       percent},
      {"p50", "p50_ms", false, [](const Result& r) { return r.figures.whole().tally.latency.quantile(0.5); },
       milliseconds},
      {"p99", "p99_ms", false, [](const Result& r) { return r.figures.whole().tally.latency.quantile(0.99); },
       milliseconds},
      {"hit ratio", "hit_ratio", true, [](const Result& r) { return hit_ratio(r.figures.whole()); }, percent},
      {"origin", "origin_per_s", false,
       [](const Result& r) {
         const Slice s = r.figures.whole();
         return static_cast<double>(s.fetches + s.writes) * 1000 / r.figures.duration_ms;
       },
       per_second},
  }};
  return all;
}

Row row_of(const Result& result) {
  Row row{};
  for (std::size_t i = 0; i < kColumns; ++i) row[i] = columns()[i].of(result);
  return row;
}

Paired compare(const std::vector<double>& a, const std::vector<double>& b) {
  if (a.size() != b.size() || a.empty())
    throw std::invalid_argument("a comparison needs one or more pairs of runs");
  Paired p;
  p.pairs = a.size();
  const auto n = static_cast<double>(a.size());
  for (std::size_t i = 0; i < a.size(); ++i) {
    p.mean_a += a[i] / n;
    p.mean_b += b[i] / n;
    p.mean += (b[i] - a[i]) / n;
  }
  p.low = p.high = p.mean;
  if (a.size() < 2) return p;
  double squares = 0;
  for (std::size_t i = 0; i < a.size(); ++i) squares += std::pow(b[i] - a[i] - p.mean, 2);
  const double error = std::sqrt(squares / (n - 1) / n);
  const double reach = boost::math::quantile(boost::math::students_t(n - 1), 0.975) * error;
  p.low = p.mean - reach;
  p.high = p.mean + reach;
  if (p.low > 0) p.says = Paired::Says::Higher;
  if (p.high < 0) p.says = Paired::Says::Lower;
  return p;
}

} // namespace fernward::lab
